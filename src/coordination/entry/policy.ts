/**
 * Limits, intervals and time constants of an entry VM. Limits that depend on the platform come from the
 * settings; `ENTRY_POLICY_DEFAULTS` has the others.
 */

export interface EntryPolicy {
  /** Fraction of a service's requests that may be retried, over `retryWindowMs`; from the settings. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries of a service that all VMs together may make in a window beyond the ratio; from the settings. */
  readonly retryReserve: number;
  /** Tolerated excess over rate and burst in a window, as a fraction and in tokens; from the settings. */
  readonly rateWindowMs: number;
  readonly rateExcessPart: number;
  readonly rateReserveTokens: number;
  /** Duration of the controller lease. A failed controller is replaced after the lease has expired. */
  readonly controllerLeaseMs: number;
  /** Time before a new controller sends orders to engines; 0 where engines reject outdated fencing tokens. */
  readonly takeoverWaitMs: number;
  /** Window and tolerance factor of the rate limit on loads from the weight store; from the settings. */
  readonly loadWindowMs: number;
  readonly loadFactor: number;
  /** Requests that a cold server may get in a second, as a multiple of its rate and beyond that; from the settings. */
  readonly coldExcessFactor: number;
  readonly coldReserve: number;
  /**
   * Time for which one call to the store waits for changes; from the settings. With the client's timeout and one retry,
   * a dead connection is replaced within the time for which the platform tolerates that a VM has no contact.
   */
  readonly watchWaitMs: number;
  /**
   * Time for which a VM uses contents of the store that were not confirmed again. What remains of the platform's bound is for
   * reading them from the store itself; from the settings.
   */
  readonly maxStoreAgeMs: number;
  /** Time from SIGTERM to SIGKILL; from the settings. */
  readonly stopGraceMs: number;
  /** Interval of the task that removes expired entries and retries waiting requests. */
  readonly tickMs: number;
  /** Interval of the gossip rounds; with nine VMs, three rounds reach nearly all of them. */
  readonly peerIntervalMs: number;
  /** Number of peers that each gossip round sends to. */
  readonly peerFanout: number;
  /** Time without messages after which a peer that the store does not list counts as failed. */
  readonly vmGoneMs: number;
  /**
   * Time after which a VM that the store does not list and that sends no reports loses its share of the shared
   * limits. Longer than network partitions, because a partitioned VM keeps using its share.
   */
  readonly sharingGoneMs: number;
  /** Interval of the controller's rounds. */
  readonly controllerTickMs: number;
  /**
   * Time constants of the decaying demand averages. Workspaces have the longer one because their shares of the rate
   * should be stable; the demand for models shifts faster.
   */
  readonly workspaceDecayMs: number;
  readonly modelDecayMs: number;
}

/** Retry-After time of a VM that is stopping: another VM accepts the request immediately. */
export const STOPPING_RETRY_AFTER_MS = 50;

/** The values that do not come from the settings. */
export const ENTRY_POLICY_DEFAULTS = {
  tickMs: 200,
  peerIntervalMs: 400,
  peerFanout: 2,
  vmGoneMs: 8_000,
  sharingGoneMs: 15_000,
  controllerTickMs: 200,
  /** Two seconds are the shortest lease, in whole seconds, that survives one failed renewal. */
  controllerLeaseMs: 2_000,
  workspaceDecayMs: 8_000,
  modelDecayMs: 3_000,
} as const;

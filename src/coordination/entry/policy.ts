/**
 * The limits that an entry VM's decisions work with. Those that the platform bounds come from the
 * settings; the others say where they come from.
 */

export interface EntryPolicy {
  /** Part of the requests of a service that may be sent again, over `retryWindowMs`; from the settings. */
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  /** Retries of a service over all VMs in a window, beyond the ratio; from the settings. */
  readonly retryReserve: number;
  /** Excess over rate and burst that is tolerated in a window, as a part and in tokens; from the settings. */
  readonly rateWindowMs: number;
  readonly rateExcessPart: number;
  readonly rateReserveTokens: number;
  /** Validity of the controller's lease. A dead controller is replaced after it. */
  readonly controllerLeaseMs: number;
  /** How long a new controller leaves the engines alone; none where they refuse old fences. */
  readonly takeoverWaitMs: number;
  /** Window and factor of the limit on loads from the weight store; from the settings. */
  readonly loadWindowMs: number;
  readonly loadFactor: number;
  /** Time from SIGTERM to SIGKILL; from the settings. */
  readonly stopGraceMs: number;
  /** Time between two sweeps of what expires. */
  readonly tickMs: number;
  /** Time between two rounds of peer messages; three rounds reach nearly all of nine VMs. */
  readonly peerIntervalMs: number;
  readonly peerFanout: number;
  /** A VM unheard for this time by peers and store is gone. */
  readonly vmGoneMs: number;
  /**
   * A VM that was neither listed nor heard for this time gives up its part of the shared limits: longer than
   * cuts, in which it goes on.
   */
  readonly sharingGoneMs: number;
  /** Time between two steps of the controller. */
  readonly controllerTickMs: number;
  /** Time constants of demand: of workspaces, whose parts should be steady, and of models, which move. */
  readonly workspaceDecayMs: number;
  readonly modelDecayMs: number;
}

/** What the settings do not state. */
export const ENTRY_POLICY_DEFAULTS = {
  tickMs: 200,
  peerIntervalMs: 400,
  peerFanout: 2,
  vmGoneMs: 8_000,
  sharingGoneMs: 15_000,
  controllerTickMs: 200,
  /** Two seconds are the shortest in whole seconds with a renewal to spare. */
  controllerLeaseMs: 2_000,
  workspaceDecayMs: 8_000,
  modelDecayMs: 3_000,
} as const;

/**
 * Backend servers: the entry that each server registers in the store, and the state that this VM keeps about it.
 */

import type { RateBucket } from './rateBucket.js';

/** A model that an engine has loaded, with the loaded adapters of that model. */
export interface ResidentModel {
  readonly name: string;
  readonly version: number;
  readonly adapters: readonly string[];
}

/** The entry with which a backend server registers itself. */
export interface BackendEntry {
  readonly id: string;
  /** Wall clock time at which the server started; with the id it identifies one incarnation of the server. */
  readonly bornAtWallMs: number;
  readonly service: string;
  /** Version of the server's software, not of the weights of its models. */
  readonly softwareVersion: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Time until the server is terminated, if the platform has announced that it will be. */
  readonly leavesInMs: number | null;
  /** Time for which the server stays cold, as of its entry. */
  readonly coldLeftMs: number;
  readonly models: readonly ResidentModel[];
  /** Models whose weights are cached in the engine's host memory or on its disk. */
  readonly hostCopies: readonly string[];
  readonly diskCopies: readonly string[];
}

/** The load that a backend server reports with a response. */
export interface BackendLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Duration of work on the server's machine now as a multiple of the usual; null if the server does not state it. */
  readonly pace: number | null;
}

/** The load of a backend server as it was seen last. */
export interface ServerLoadView {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Duration of work on the server's machine as a multiple of the usual. */
  readonly pace: number;
  readonly seenAtMs: number;
}

/** A limit that a backend server has stated for its requests from all VMs together. */
export interface ServerLimit {
  readonly requestsPerSecond: number;
  /** Holds this VM's share of the limit; each request takes one token. */
  readonly permits: RateBucket;
  /** Time until which no VM is asked to lend a permit, because one has just refused to. */
  noLoanUntilMs: number;
  /** Time of this VM's last request to the server, or of the limit's start. */
  usedAtMs: number;
}

/** A place at a brittle server that another VM has lent. */
export interface BorrowedPlace {
  readonly lenderVmId: string;
  /** Time until which requests may begin with it. */
  readonly untilMs: number;
}

/** The statement of a server that it ends when it has to reject too many requests in a second for want of room. */
export interface Brittleness {
  readonly maxRejectionsPerSecond: number;
  /** This VM's places at the server: the requests that it may have in flight there. */
  places: number;
  /** Ends of the loans to other VMs, of one place each, unless they return it. */
  lentUntilMs: number[];
  /** Places that other VMs have lent. */
  borrowed: readonly BorrowedPlace[];
  /** Time until which no VM is asked to lend a place, because one has just refused to. */
  noLoanUntilMs: number;
}

/** The coldness of a server, which takes fewer requests than usual until it ends. */
export interface Coldness {
  untilMs: number;
  /** Holds this VM's share of the requests that the server takes; each request takes one token. */
  readonly permits: RateBucket;
}

/** The state that this VM keeps about a backend server. Mutable; owned by the event loop. */
export interface Backend {
  entry: BackendEntry;
  /** Store revision of the entry, which orders by era first; only an entry of the same or a later revision replaces it. */
  revision: number;
  /** Time at which the server is dropped after its entry was removed; null while it is registered. */
  removeAtMs: number | null;
  /** True once the server is known to be leaving; an incarnation that leaves never accepts requests again. */
  isLeaving: boolean;
  /** True while the failure domain of the server is evacuated. */
  isEvacuated: boolean;
  /** Time until which the server wants no requests or orders of this VM. */
  pausedUntilMs: number;
  /** True until the end of the pause has been logged. */
  isPauseReported: boolean;
  /** Time of this VM's last dispatch to the server. */
  dispatchedAtMs: number;
  /** True once an answer of the server had a malformed statement, which is logged only once. */
  hasMalformedStatement: boolean;
  /** Requests of this VM that are in flight at the server. */
  inFlight: number;
  /** Prompt tokens of those requests that the server has not prefilled yet. */
  pendingPrefillTokens: number;
  /** Moving average of the prefill time per prompt token; null before the first sample. */
  prefillMsPerToken: number | null;
  /** Requests of other VMs at the server, from the load that the server reported last. */
  otherVmRequests: number;
  loadSeenAtMs: number;
  /** Null before the server has stated its load. */
  load: ServerLoadView | null;
  /** Exponential moving average of the pace; 1 before the first report. */
  usualPace: number;
  /** Times of this VM's dispatches that the known load does not include, the oldest first; empty if the service is not paced. */
  unreportedDispatches: number[];
  /** Requests that the server had when it last rejected one as full; null if a later report has shown more. */
  fullRequests: number | null;
  /** Exponential moving average of the fraction of dispatches that failed, in [0, 1]. */
  failureRate: number;
  /** Time until which the server is used only if there is no other candidate. */
  avoidUntilMs: number;
  /** Time until which the server gets no requests, because its process has crashed. */
  crashedUntilMs: number;
  /** Null if the server states no limit. */
  limit: ServerLimit | null;
  /** Increases with each change of the limit that a VM has read from an answer; 0 if none was ever stated. */
  limitVersion: number;
  /** Time at which this VM learned of the last change. */
  limitChangedAtMs: number;
  /** Time until which the server has stated to be cold, whether or not its service has a rate for that. */
  coldUntilMs: number;
  /** Null unless the server is cold and its service has a rate for cold servers. */
  cold: Coldness | null;
  /** Null unless the server is brittle. */
  brittleness: Brittleness | null;
  /** Increases with each change of the brittleness that a VM has read from an answer; 0 if none was ever read. */
  brittleVersion: number;
  /** Time at which this VM learned of the last change, also from another server of the service. */
  brittleChangedAtMs: number;
  /** Time until which the server, which is brittle, counts as full after a rejection. */
  fullUntilMs: number;
  /** Models and adapters that the server reported as not loaded, with the time until which that is assumed. */
  readonly missingUntilMs: Map<string, number>;
  /** Adapters that the controller reports as loaded before the entry lists them, as `model/adapter`. */
  controllerAdapters: Set<string>;
}

/** What a server has said of itself, which holds for its incarnation whether or not it is registered. */
export type StatedFacts = Pick<
  Backend,
  | 'isLeaving'
  | 'hasMalformedStatement'
  | 'pausedUntilMs'
  | 'isPauseReported'
  | 'limit'
  | 'limitVersion'
  | 'limitChangedAtMs'
  | 'coldUntilMs'
  | 'cold'
  | 'brittleness'
  | 'brittleVersion'
  | 'brittleChangedAtMs'
  | 'fullUntilMs'
>;

/** Returns what a server has said of itself. */
export function getStatedFacts(backend: Backend): StatedFacts {
  const { hasMalformedStatement, isLeaving, isPauseReported, limit } = backend;
  const { cold, coldUntilMs, limitChangedAtMs, limitVersion, pausedUntilMs } = backend;
  const { brittleChangedAtMs, brittleVersion, brittleness, fullUntilMs } = backend;
  return {
    isLeaving,
    hasMalformedStatement,
    pausedUntilMs,
    isPauseReported,
    limit,
    limitVersion,
    limitChangedAtMs,
    coldUntilMs,
    cold,
    brittleness,
    brittleVersion,
    brittleChangedAtMs,
    fullUntilMs,
  };
}

/** Creates the state of a server that was newly registered. */
export function createBackend(entry: BackendEntry, revision: number): Backend {
  return {
    entry,
    revision,
    removeAtMs: null,
    isLeaving: entry.isLeaving,
    isEvacuated: false,
    pausedUntilMs: Number.NEGATIVE_INFINITY,
    isPauseReported: false,
    dispatchedAtMs: Number.NEGATIVE_INFINITY,
    hasMalformedStatement: false,
    inFlight: 0,
    pendingPrefillTokens: 0,
    prefillMsPerToken: null,
    otherVmRequests: 0,
    loadSeenAtMs: Number.NEGATIVE_INFINITY,
    load: null,
    usualPace: 1,
    unreportedDispatches: [],
    fullRequests: null,
    failureRate: 0,
    avoidUntilMs: Number.NEGATIVE_INFINITY,
    crashedUntilMs: Number.NEGATIVE_INFINITY,
    limit: null,
    limitVersion: 0,
    limitChangedAtMs: Number.NEGATIVE_INFINITY,
    coldUntilMs: Number.NEGATIVE_INFINITY,
    cold: null,
    brittleness: null,
    brittleVersion: 0,
    brittleChangedAtMs: Number.NEGATIVE_INFINITY,
    fullUntilMs: Number.NEGATIVE_INFINITY,
    missingUntilMs: new Map(),
    controllerAdapters: new Set(),
  };
}

/** Returns the key of a model, or of an adapter of the model. */
export function getVariantKey(model: string, adapter: string | null): string {
  return adapter === null ? model : `${model}/${adapter}`;
}

/** Finds a model among those that an engine has loaded. */
export function findResidentModel(entry: BackendEntry, model: string): ResidentModel | undefined {
  return entry.models.find((resident) => resident.name === model);
}

/** Returns whether an engine has loaded a model, or an adapter of it, according to this VM's state. */
export function holdsVariant(
  backend: Backend,
  model: string,
  adapter: string | null,
  nowMs: number,
): boolean {
  const resident = findResidentModel(backend.entry, model);
  if (resident === undefined) {
    return false;
  }
  const key = getVariantKey(model, adapter);
  if ((backend.missingUntilMs.get(key) ?? backend.missingUntilMs.get(model) ?? 0) > nowMs) {
    return false;
  }
  return (
    adapter === null || resident.adapters.includes(adapter) || backend.controllerAdapters.has(key)
  );
}

/** Returns whether two entries belong to the same incarnation of a server. */
export function isSameIncarnation(a: BackendEntry, b: BackendEntry): boolean {
  return a.id === b.id && a.bornAtWallMs === b.bornAtWallMs && a.address === b.address;
}

/**
 * Defines the state of one entry VM. The event loop owns it: only event handlers change it, one event at a time.
 */
import type { Diagnostic } from '../../state/diagnostics.js';
import type { LifeEvidence } from '../../state/entry/serverLife.js';
import type { SpoilReason } from '../../state/entry/spoiledStreams.js';
import type { BackendLists } from '../../state/entry/backendLists.js';
import type { Backend, BackendEntry, StatedFacts } from '../../state/entry/backends.js';
import type {
  Deployment,
  ForwardRoute,
  ForwardService,
  ForwardWorkspace,
} from '../../state/entry/deployment.js';
import {
  createCrashEvidence,
  type CrashEvidence,
  type LostConnections,
  type Quarantine,
} from '../../state/entry/crashEvidence.js';
import type { PassResult, PassTarget } from '../../state/entry/passTargets.js';
import { createLoadExchange, type LoadExchange } from '../../state/entry/loadExchange.js';
import type { ServiceLoad } from '../../state/entry/loadEstimate.js';
import type { RateBucket } from '../../state/entry/rateBucket.js';
import type { UrgencyTable } from '../../state/entry/routeUrgency.js';
import type { ServiceReach } from '../../state/entry/serviceReach.js';
import type {
  BoardVersion,
  FleetDemand,
  ModelDemand,
  PlacementBoard,
  VmReport,
} from '../../state/entry/reports.js';
import { createWaitingLists, type WaitingLists } from '../../state/entry/waitingLists.js';
import { createRandom, type RandomState } from '../../state/random.js';
import type { RunStatus } from '../../state/types.js';
import { createDemandTable, type DemandTable } from './exchange/demand.js';
import type { ControllerLeaseHolder, ForwardRequest } from './events.js';
import type { ListedEntryVm } from './peerMessage.js';
import { createPlacementState, type PlacementState } from './placement/placementState.js';
import type { EntryPolicy } from './policy.js';
import type { EarlyRejection } from './requests/roomForecast.js';
import type { WorkspaceUsage } from '../../state/entry/workspaceUsage.js';
import type { StopProgress } from './stopProgress.js';
import {
  createStreamVersionState,
  type StreamRecall,
  type StreamVersionState,
} from './requests/streamState.js';

/** Identity and address of this VM, from its settings. */
export interface EntryVmIdentity {
  readonly vmId: string;
  /** Changes at each start of the process. */
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  /** Processor time that the VM may use, in cores. */
  readonly processorShare: number;
}

/** Phase of a forwarded request. */
export const ForwardPhase = {
  /** This VM has asked another VM to lend the rate limit tokens that the workspace lacks here. */
  Charging: 'charging',
  /** It takes up a stream, and the software version that began it is being read from the store. */
  Recalling: 'recalling',
  /** No backend server can run it yet. */
  Waiting: 'waiting',
  Dispatched: 'dispatched',
  /** Its connection was lost, and it is being checked whether its backend server has crashed. */
  Verifying: 'verifying',
} as const;
export type ForwardPhase = (typeof ForwardPhase)[keyof typeof ForwardPhase];

/** State of a forwarded request from its admission to its end. */
export interface ForwardRecord {
  readonly request: ForwardRequest;
  readonly route: ForwardRoute;
  /** Replaced by the service that began the stream, once that is known. */
  service: ForwardService;
  readonly workspace: ForwardWorkspace | null;
  /** Names the request by its content, as `createRequestCause` returns it. */
  readonly requestCause: string;
  readonly costTokens: number;
  /** True once the cost has been taken from the workspace's token bucket. */
  isCharged: boolean;
  /** VMs that were asked to lend tokens for this request. */
  readonly askedLenders: string[];
  readonly arrivedAtMs: number;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly deadlineAtMs: number;
  phase: ForwardPhase;
  /** Place in the order of arrival at this VM. */
  sequence: number;
  /** True once a server of a paced service has rejected it as full. */
  wasFull: boolean;
  /** True if it is beyond the usual amount of its workspace; only on paced services. */
  isBeyondUsual: boolean;
  /** True while it waits because no room for it is expected on the servers that hold its model. */
  isHeldForRoom: boolean;
  attempt: number;
  backendId: string | null;
  /** The VM that has passed the request to this one; null if a caller sent it. */
  readonly passedBy: string | null;
  /** The VM that has the current attempt; null unless it was passed to one. */
  passedTo: string | null;
  /** VMs that it was passed to and that could not run it. */
  readonly triedVmIds: string[];
  /** Backend servers that refused a connection or could not be connected to; another VM may reach them. */
  readonly unreachedBackendIds: string[];
  /** True once one of them was not refused at once, as it would be by a server that is down. */
  hasSlowConnect: boolean;
  /** True once a server that has answered it refused a connection directly after it. */
  hasLostServer: boolean;
  /** True once an attempt may have reached a server, so that the next one is a repeat there. */
  hasArrived: boolean;
  /** Version of the software of the server of the last attempt; empty before the first. */
  softwareVersion: string;
  /** Version of the software that began the stream, which alone may go on with it; null if any may run the request. */
  streamVersion: string | null;
  /** What was asked since the request arrived to learn which version began its stream; null if nothing was. */
  recall: StreamRecall | null;
  /** Backend servers, and VMs that it was passed to, that may have run it. */
  possiblyRunBackendIds: string[];
  /** Backend servers that provably did not run it; cleared when it waits for a model that they lacked. */
  notRunBackendIds: string[];
  /** Number of attempts that provably did not run it. */
  notRunAttempts: number;
  /** Time until which it is not sent to a server, because a brittle one has just rejected it. */
  heldUntilMs: number;
  runStatus: RunStatus;
  firstEventAtMs: number | null;
  /** Time of the last event that was sent to the caller, as of the end of the last failed attempt. */
  lastEventAtMs: number | null;
  /** True once events that the caller has are in doubt, so that no other server can go on after them. */
  isPlaceDoubtful: boolean;
  /** Time of the first event or answer of the current attempt; null before it. */
  attemptAnsweredAtMs: number | null;
  /** Time of the last dispatch. */
  dispatchedAtMs: number;
  /** Prompt tokens that the server of the current attempt has yet to prefill. */
  pendingPrefillTokens: number;
  /** The lost connection that decides how to go on; null unless the phase is `Verifying`. */
  lostAttempt: LostAttempt | null;
  /** True if the request tests whether what is quarantined in it still crashes servers. */
  isTrial: boolean;
}

/** An attempt whose connection was lost before its answer had been running for some time. */
export interface LostAttempt {
  /** The process of the backend server, as `getProcessKey` returns it. */
  readonly processKey: string;
  readonly diagnostic: Diagnostic;
  readonly isAnswerBegun: boolean;
}

/** A backend server that this VM has dropped because its entry was removed. */
export interface DepartedServer {
  readonly entry: BackendEntry;
  readonly stated: StatedFacts;
  readonly atMs: number;
}

/**
 * The entry of a backend server in a copy from which the store was restored. What this VM knows of the server may be later;
 * the entry is applied at a time at which the server, if it is alive, has written a later one.
 */
export interface CopiedEntry {
  readonly entry: BackendEntry;
  readonly revision: number;
  readonly applyAtMs: number;
}

/** An evacuation of a failure domain: its servers get nothing until it is taken back. */
export interface Evacuation {
  readonly revision: number;
  readonly sinceMs: number;
  /** Time at which it ends because a restored store lacks it; null while the store has it. */
  endsAtMs: number | null;
}

/** Reachability of the store, as the watches on it report it. */
export interface StoreStatus {
  isReachable: boolean;
  /** Revision of the store up to which this VM knows its contents. */
  revision: number;
  /** A time until which this VM knows all that the store had; not finite before the first one. */
  knownAtMs: number;
  /** Time at which the store last confirmed what this VM knows of it, as far as known; not finite before the first time. */
  confirmedAtMs: number;
  /** Time of the last change from unreachable to reachable. */
  becameReachableAtMs: number;
  /** Time of the last change from reachable to unreachable. */
  becameUnreachableAtMs: number;
}

/** How a VM gets the contents of the store. */
export const RelayRole = {
  /** It reads the store itself. */
  Reader: 'reader',
  /** It is a relay, and gets the changes from the first relay of its failure domain. */
  Standby: 'standby',
  /** It gets the changes from a relay, which also reports its demands. */
  Relayed: 'relayed',
} as const;
export type RelayRole = (typeof RelayRole)[keyof typeof RelayRole];

/** The last report of another VM and the time of its receipt. */
export interface PeerRecord {
  report: VmReport;
  /** Time of the receipt at the VM that received it from its sender. */
  reportReceivedAtMs: number;
  /** True if this VM relays for the VM, and so reports its demands. */
  isRelayedHere: boolean;
  /** The version of the board that the VM had when it last sent a message; null if it had none. */
  knownBoard: BoardVersion | null;
}

/** The demands for models that another VM has reported. */
export interface ReportedModelDemands {
  readonly demands: readonly ModelDemand[];
  readonly receivedAtMs: number;
  readonly isRelayedHere: boolean;
}

/** Lifecycle of the process, which determines whether it accepts requests. */
export const EntryLifecycle = {
  Starting: 'starting',
  Running: 'running',
  /** Reports not ready, but still accepts requests, as callers may not have noticed yet. */
  Stopping: 'stopping',
  /** Rejects new requests and completes those in flight. */
  Draining: 'draining',
} as const;
export type EntryLifecycle = (typeof EntryLifecycle)[keyof typeof EntryLifecycle];

/** Returns true once a graceful shutdown has begun. */
export function isShuttingDown({ lifecycle }: Pick<EntryState, 'lifecycle'>): boolean {
  return lifecycle === EntryLifecycle.Stopping || lifecycle === EntryLifecycle.Draining;
}

/** Token bucket that limits the retries of one service; a retry costs one token. */
export interface RetryBudget {
  tokens: number;
}

/** The time at which the last rejected caller of one rank of urgency was told to come back. */
export interface ReturnTime {
  readonly rank: number;
  readonly atMs: number;
}

export interface EntryState {
  readonly self: EntryVmIdentity;
  /** Replaced when the settings are reloaded. */
  policy: EntryPolicy;
  readonly random: RandomState;
  readonly startedAtMs: number;
  /** The region of each failure domain. */
  readonly regionsByDomain: ReadonlyMap<string, string>;
  lifecycle: EntryLifecycle;
  isReady: boolean;
  /** Null until a graceful shutdown has begun. */
  stop: StopProgress | null;
  /** Time from which no request is dispatched any more, since this VM is about to stop. */
  noDispatchFromMs: number;
  deployment: Deployment | null;
  /** Store revision of the configuration in force. */
  deploymentRevision: number;
  /** Changed only by `backendRegistry.ts`, which keeps `backendLists` in step. */
  readonly backends: Map<string, Backend>;
  readonly backendLists: BackendLists;
  /** Whether this VM reaches the servers of each service. */
  readonly reach: Map<string, ServiceReach>;
  /** The VMs that requests were passed to, by id. */
  readonly passTargets: Map<string, PassTarget>;
  readonly passResults: Map<PassResult, number>;
  /** By failure domain. */
  readonly evacuations: Map<string, Evacuation>;
  /** Store revision up to which the evacuations are known; 0 before they were read. */
  evacuationsRevision: number;
  /** The services one of whose servers has stated its pace. */
  readonly pacedServices: Set<string>;
  /** What the load reports and the answers of each paced service have in common. */
  readonly serviceLoads: Map<string, ServiceLoad>;
  readonly loadExchange: LoadExchange;
  /** The urgencies of the paced services' requests, in the configuration in force. */
  readonly urgencyTables: Map<string, UrgencyTable>;
  /** By server id. */
  readonly copiedEntries: Map<string, CopiedEntry>;
  /** The servers that were dropped recently, by id. */
  readonly departedServers: Map<string, DepartedServer>;
  backendsRevision: number;
  areBackendsRead: boolean;
  readonly requests: Map<string, ForwardRecord>;
  /** Number of requests that have been opened so far. */
  openedRequests: number;
  /** The requests in the phase `Waiting`. */
  readonly waiting: WaitingLists<ForwardRecord>;
  /** The last time at which a rejected caller was told to come back, for each rank of urgency, by service and model. */
  readonly returnTimes: Map<string, readonly ReturnTime[]>;
  /** By name. */
  readonly workspaceUsage: Map<string, WorkspaceUsage>;
  readonly earlyRejections: Map<EarlyRejection, number>;
  readonly buckets: Map<string, RateBucket>;
  readonly workspaceDemand: DemandTable;
  /** Tokens that a lender could still spare when it answered a loan request, by VM and workspace. */
  readonly spareTokensByLender: Map<
    string,
    { readonly spareTokens: number; readonly atMs: number }
  >;
  readonly modelDemand: DemandTable;
  /** Like `modelDemand`, with more weight for requests whose route has a shorter latency objective. */
  readonly weightedModelDemand: DemandTable;
  readonly retryBudgets: Map<string, RetryBudget>;
  readonly store: StoreStatus;
  listedVms: readonly ListedEntryVm[];
  /** The VMs of all failure domains that read the store for the others. */
  relays: readonly ListedEntryVm[];
  readonly relayFailedUntilMs: Map<string, number>;
  /** Null until the list of VMs was first read. */
  relayRole: RelayRole | null;
  /** The relay from which this VM gets the changes of the store; empty if it reads the store itself. */
  relayId: string;
  /** The demands of the fleet as the relay last sent them. */
  fleetDemand: (FleetDemand & { readonly receivedAtMs: number }) | null;
  readonly modelDemandsByVm: Map<string, ReportedModelDemands>;
  /** Time of the last request for a newer configuration. */
  fetchedAtMs: number;
  readonly peers: Map<string, PeerRecord>;
  /**
   * Time at which each other VM was last listed in the store or sent a report. A VM keeps its share of the
   * shared limits for `sharingGoneMs` after that.
   */
  readonly vmsLastSeenAtMs: Map<string, number>;
  reportSequence: number;
  /** This VM's demand of each workspace in its last report to the peers, in tokens per second. */
  reportedDemands: ReadonlyMap<string, number>;
  board: PlacementBoard | null;
  controller: ControllerLeaseHolder | null;
  /** Time at which the controller was last asked to load each adapter. */
  readonly adapterRequestedAtMs: Map<string, number>;
  readonly placement: PlacementState;
  readonly crashEvidence: CrashEvidence;
  /** By the key of the process that is being probed. */
  readonly lostConnections: Map<string, LostConnections>;
  /** True while a timer is running that sends new evidence to peers. */
  isEvidenceSpreading: boolean;
  /** The quarantines in the store as last read, by their keys. */
  storedQuarantines: ReadonlyMap<string, Quarantine>;
  /** Version of the store's key of the quarantines; 0 if it does not exist. */
  storedQuarantinesVersion: number;
  quarantinesWrittenAtMs: number;
  /** The other VMs among which limits are divided, sorted; replaced when they change. */
  sharingVmIds: readonly string[];
  /** The value of `sharingVmIds` for which the shares of servers' request limits were last computed. */
  permitShareVmIds: readonly string[];
  /** The VMs with a share of each workspace's rate, and the value of `sharingVmIds` that they were selected from. */
  readonly rateHolders: Map<
    string,
    { readonly vmIds: readonly string[]; readonly holders: readonly string[] }
  >;
  /** Earliest time of the next trial of each quarantine, by its key. */
  readonly nextTrialAtMs: Map<string, number>;
  /** Number of streams that their servers have spoiled, by reason. */
  readonly spoiledStreams: Map<SpoilReason, number>;
  /** Number of answers without a length that ended in order, by what was found of their servers. */
  readonly unframedEnds: Map<LifeEvidence, number>;
  readonly streams: StreamVersionState;
}

/** Creates the state of a process that has just started. */
export function createEntryState(
  self: EntryVmIdentity,
  policy: EntryPolicy,
  seed: number,
  nowMs: number,
  regionsByDomain: ReadonlyMap<string, string> = new Map(),
): EntryState {
  return {
    self,
    policy,
    random: createRandom(seed),
    startedAtMs: nowMs,
    regionsByDomain,
    lifecycle: EntryLifecycle.Starting,
    isReady: false,
    stop: null,
    noDispatchFromMs: Number.POSITIVE_INFINITY,
    deployment: null,
    deploymentRevision: 0,
    backends: new Map(),
    backendLists: new Map(),
    reach: new Map(),
    passTargets: new Map(),
    passResults: new Map(),
    evacuations: new Map(),
    evacuationsRevision: 0,
    pacedServices: new Set(),
    serviceLoads: new Map(),
    urgencyTables: new Map(),
    loadExchange: createLoadExchange(nowMs),
    copiedEntries: new Map(),
    departedServers: new Map(),
    backendsRevision: 0,
    areBackendsRead: false,
    requests: new Map(),
    openedRequests: 0,
    waiting: createWaitingLists(),
    returnTimes: new Map(),
    workspaceUsage: new Map(),
    earlyRejections: new Map(),
    buckets: new Map(),
    workspaceDemand: createDemandTable(policy.workspaceDecayMs),
    spareTokensByLender: new Map(),
    modelDemand: createDemandTable(policy.modelDecayMs),
    weightedModelDemand: createDemandTable(policy.modelDecayMs),
    retryBudgets: new Map(),
    store: {
      isReachable: true,
      revision: 0,
      knownAtMs: Number.NEGATIVE_INFINITY,
      confirmedAtMs: Number.NEGATIVE_INFINITY,
      becameReachableAtMs: Number.NEGATIVE_INFINITY,
      becameUnreachableAtMs: Number.NEGATIVE_INFINITY,
    },
    listedVms: [],
    relays: [],
    relayFailedUntilMs: new Map(),
    relayRole: null,
    relayId: '',
    fleetDemand: null,
    modelDemandsByVm: new Map(),
    fetchedAtMs: Number.NEGATIVE_INFINITY,
    peers: new Map(),
    vmsLastSeenAtMs: new Map(),
    reportSequence: 0,
    reportedDemands: new Map(),
    board: null,
    controller: null,
    adapterRequestedAtMs: new Map(),
    placement: createPlacementState(),
    crashEvidence: createCrashEvidence(),
    lostConnections: new Map(),
    isEvidenceSpreading: false,
    storedQuarantines: new Map(),
    storedQuarantinesVersion: 0,
    quarantinesWrittenAtMs: Number.NEGATIVE_INFINITY,
    sharingVmIds: [],
    permitShareVmIds: [],
    rateHolders: new Map(),
    nextTrialAtMs: new Map(),
    spoiledStreams: new Map(),
    unframedEnds: new Map(),
    streams: createStreamVersionState(),
  };
}

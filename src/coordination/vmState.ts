/**
 * The state of one VM. The event loop owns it: only event handlers change it, one event at a time.
 */
import type { Configuration } from '../state/configuration.js';
import type { PlacementPlan } from '../state/placementPlan.js';
import { createRandom, type RandomState } from '../state/random.js';
import { EMPTY_SHARE_TABLE, type SharePledge, type ShareTable } from '../state/shareTable.js';
import type { Reservation, TokenSlice } from '../state/tokenSlice.js';
import type {
  LeavingServer,
  LoadReport,
  Member,
  RequestInfo,
  RunStatus,
  Workspace,
} from '../state/types.js';
import type { Policy } from './policy.js';

/** Identity of this VM, from its settings. */
export interface VmIdentity {
  readonly vmId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  /** Higher than every heartbeat that earlier processes of this VM sent. */
  readonly firstHeartbeat: number;
}

/** Phase of a request on this VM: waiting for tokens, claiming its idempotency key, or dispatched. */
export const RequestPhase = {
  AwaitingTokens: 'awaitingTokens',
  Claiming: 'claiming',
  Dispatched: 'dispatched',
} as const;
export type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

/** State of a request from its arrival to its end. */
export interface RequestRecord {
  readonly info: RequestInfo;
  readonly workspace: Workspace | null;
  /** Name of the requested model or route. */
  readonly targetName: string;
  readonly isIdempotent: boolean;
  readonly costTokens: number;
  readonly arrivedAtMs: number;
  phase: RequestPhase;
  reservation: Reservation | null;
  /** Borrowed tokens that can only be spent on this request. */
  undepositedLoanTokens: number;
  /** Time until which the borrowed tokens may be spent. */
  loanDeadlineMs: number;
  /** Earliest time at which a waiting request may borrow again. */
  nextLoanRequestAtMs: number;
  /** Loans that peers have not answered yet. */
  pendingLoans: number;
  borrowRounds: number;
  attempt: number;
  server: string | null;
  triedServers: string[];
  /** Set while this request holds the claim of its idempotency key. */
  claimId: string | null;
  /** Whether any attempt so far may have run on a backend server. */
  runStatus: RunStatus;
  firstTokenAtMs: number | null;
}

/** Another VM and when its latest heartbeat was received. */
export interface MemberRecord {
  member: Member;
  heartbeatReceivedAtMs: number;
}

/** A mark that a backend server is leaving, and when this VM last received a renewal of it. */
export interface LeavingRecord {
  readonly mark: LeavingServer;
  readonly lastRenewedAtMs: number;
}

/** State of a backend server as observed by this VM. */
export interface ServerRecord {
  /** In-flight requests of this VM on the server. */
  inFlight: number;
  /** True once a poll of the server has succeeded or failed. */
  isPolled: boolean;
  report: LoadReport | null;
  reportedAtMs: number;
  /** In-flight requests of this VM when the last report arrived; the report includes them. */
  inFlightAtReport: number;
  /** After a failure, the server is avoided until this time unless no other is available. */
  penaltyUntilMs: number;
}

/** Tokens of a workspace that a peer had left according to its last reply. */
export interface LenderRecord {
  leftTokens: number;
  recordedAtMs: number;
  /** Null if the peer did not respond. */
  roundTripMs: number | null;
}

/** Stages of a VM, from normal operation through graceful shutdown. */
export const Lifecycle = {
  Running: 'running',
  Unready: 'unready',
  Draining: 'draining',
  Releasing: 'releasing',
  Stopped: 'stopped',
} as const;
export type Lifecycle = (typeof Lifecycle)[keyof typeof Lifecycle];

/** Inputs of a share plan that left the table unchanged. */
export interface UnchangedPlanInputs {
  readonly version: number;
  readonly memberChangeCount: number;
  readonly configuration: Configuration | null;
  readonly pledge: SharePledge | null;
}

/** This VM's share of the workspace limits and its copy of the share table. */
export interface ShareState {
  /** Units that currently determine the size of the slices. */
  units: number;
  table: ShareTable;
  /** Units of each VM in `table`. */
  unitsByVmId: ReadonlyMap<string, number>;
  version: number;
  readAtMs: number | null;
  isWriting: boolean;
  isReading: boolean;
  /** True while the store holds an older table than this VM has already seen. */
  isStoreTableOutdated: boolean;
  /** This VM's pledge to spend less than its table entry allows. */
  pledge: SharePledge | null;
  /** Consecutive compare-and-swap writes of the table that lost to other writers or may have failed. */
  consecutiveWriteFailures: number;
  /** Earliest time of the next table write. */
  earliestWriteAtMs: number;
  /** Time since which the table has differed from the plan; null if it does not. */
  changeDueSinceMs: number | null;
  /** True while another VM may have declared this one gone. No tokens are spent or lent meanwhile. */
  isSuspended: boolean;
  /** Time since which each VM of the table has been missing from the platform's list. */
  missingSinceMs: Map<string, number>;
  listedVmIds: ReadonlySet<string> | null;
  /** Planning is skipped while its inputs equal these. */
  unchangedPlanInputs: UnchangedPlanInputs | null;
}

/** State of this VM as the controller of its failure domain. */
export interface ControllerState {
  /** Fencing token of the lease; null while this VM does not hold the lease. */
  fence: number | null;
  /** Answers with a lower fencing token are late and belong to earlier terms. */
  lowestFence: number;
  /** Time until which this VM relies on the lease. */
  leaseValidUntilMs: number;
  /** Time of the last attempt to acquire or renew the lease. */
  leaseRequestedAtMs: number;
  /** Null until the plan in the store has been rewritten under this VM's fencing token. */
  plan: PlacementPlan | null;
  planVersion: number;
  isWriting: boolean;
  /** Level of the token bucket that limits the rate of new model loads. */
  loadAllowance: number;
  loadAllowanceUpdatedAtMs: number;
  /** Last send time of each unanswered order, by order id. */
  readonly orderSentAtMs: Map<string, number>;
  /** Time since which a placed model has been missing from reports, by server and model tag. */
  readonly missingSinceMs: Map<string, number>;
  /** Time at which an engine accepted an unload order, by server and model tag. */
  readonly unloadedAtMs: Map<string, number>;
}

/** The whole state of one VM. */
export interface VmState {
  readonly self: VmIdentity;
  readonly policy: Policy;
  readonly random: RandomState;
  readonly startedAtMs: number;
  configuration: Configuration | null;
  isReady: boolean;
  lifecycle: Lifecycle;
  lifecycleSinceMs: number;
  heartbeat: number;
  readonly requests: Map<string, RequestRecord>;
  readonly slices: Map<string, TokenSlice>;
  readonly share: ShareState;
  readonly controller: ControllerState;
  readonly members: Map<string, MemberRecord>;
  /** Ids of the members received through gossip; messages sample them without a full scan. */
  readonly gossipMemberIds: { local: string[]; remote: string[] };
  /** Counts the member changes that affect the share plan. */
  memberChangeCount: number;
  readonly servers: Map<string, ServerRecord>;
  /** Names of the engines whose last report lists a model as loaded, by model tag. */
  readonly serversByTag: Map<string, Set<string>>;
  /** Number of live VMs, including this one. */
  liveVms: { inDomain: number; all: number };
  /** Size of `members` when the live VMs were last counted. */
  memberCountAtLastUpdate: number;
  /** Round-robin position of load polling, advanced in each round that polls only some engines. */
  pollCursor: number;
  readonly leavingServers: Map<string, LeavingRecord>;
  /** Ids of the requests that wait for tokens in arrival order, by workspace. */
  readonly tokenQueues: Map<string, string[]>;
  /** Last replies of lenders, by workspace and VM. */
  readonly lenders: Map<string, Map<string, LenderRecord>>;
  /** Workspaces whose tokens were requested on this VM since the last rebalancing of slices. */
  readonly usedWorkspaces: Set<string>;
  /** Time until which the whole fleet is considered short of a workspace's tokens. */
  readonly fleetShortUntilMs: Map<string, number>;
  /** Remaining retry budget. */
  retryTokens: number;
  lastEventAtMs: number;
  /** Last time at which the store returned or accepted a share table. */
  lastStoreContactAtMs: number;
  /** Last time at which a new heartbeat from this VM's failure domain was received. */
  lastDomainContactAtMs: number;
}

/** Creates the state of a VM that has just started, without a configuration or any members. */
export function createVmState(
  self: VmIdentity,
  policy: Policy,
  seed: number,
  nowMs: number,
): VmState {
  return {
    self,
    policy,
    random: createRandom(seed),
    startedAtMs: nowMs,
    configuration: null,
    isReady: false,
    lifecycle: Lifecycle.Running,
    lifecycleSinceMs: nowMs,
    heartbeat: self.firstHeartbeat,
    requests: new Map(),
    slices: new Map(),
    share: {
      units: 0,
      table: EMPTY_SHARE_TABLE,
      unitsByVmId: new Map(),
      version: 0,
      readAtMs: null,
      isWriting: false,
      isReading: false,
      isStoreTableOutdated: false,
      pledge: null,
      consecutiveWriteFailures: 0,
      earliestWriteAtMs: nowMs + policy.shareStartupDelayMs,
      changeDueSinceMs: null,
      isSuspended: false,
      missingSinceMs: new Map(),
      listedVmIds: null,
      unchangedPlanInputs: null,
    },
    controller: {
      fence: null,
      leaseValidUntilMs: 0,
      lowestFence: 0,
      leaseRequestedAtMs: nowMs,
      plan: null,
      planVersion: 0,
      isWriting: false,
      loadAllowance: 0,
      loadAllowanceUpdatedAtMs: nowMs,
      orderSentAtMs: new Map(),
      missingSinceMs: new Map(),
      unloadedAtMs: new Map(),
    },
    members: new Map(),
    gossipMemberIds: { local: [], remote: [] },
    memberChangeCount: 0,
    servers: new Map(),
    serversByTag: new Map(),
    liveVms: { inDomain: 1, all: 1 },
    memberCountAtLastUpdate: 0,
    pollCursor: 0,
    leavingServers: new Map(),
    tokenQueues: new Map(),
    lenders: new Map(),
    usedWorkspaces: new Set(),
    fleetShortUntilMs: new Map(),
    retryTokens: policy.retryBurst,
    lastEventAtMs: nowMs,
    lastStoreContactAtMs: nowMs,
    lastDomainContactAtMs: nowMs,
  };
}

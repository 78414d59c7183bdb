/**
 * The state of one VM. The loop owns it: only event handlers change it, one event at a time.
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
  RunClaim,
  Workspace,
} from '../state/types.js';
import type { Policy } from './policy.js';

/** What this VM is, from its settings. */
export interface Self {
  readonly vmId: string;
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  /** Over every heartbeat of earlier processes of this VM. */
  readonly firstHeartbeat: number;
}

/** Where a request stands on this VM. */
export const RequestPhase = {
  Borrowing: 'borrowing',
  Claiming: 'claiming',
  Dispatched: 'dispatched',
} as const;
export type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

/** A request from its arrival to its end. */
export interface RequestRecord {
  readonly info: RequestInfo;
  readonly workspace: Workspace | null;
  /** Model or route name. */
  readonly targetName: string;
  readonly isIdempotent: boolean;
  readonly costTokens: number;
  readonly arrivedAtMs: number;
  phase: RequestPhase;
  reservation: Reservation | null;
  /** Borrowed tokens that can only be spent on this request. */
  looseTokens: number;
  /** Until when loose tokens may be spent. */
  loanDeadlineMs: number;
  /** A waiting request does not ask again before this time. */
  askAgainAtMs: number;
  openLoans: number;
  borrowRounds: number;
  attempt: number;
  server: string | null;
  triedServers: string[];
  /** Set while this request holds the claim of its idempotency key. */
  claimId: string | null;
  /** What is proved of all attempts so far. */
  runClaim: RunClaim;
  firstTokenAtMs: number | null;
}

export interface MemberRecord {
  member: Member;
  heardAtMs: number;
}

/** Word that a backend server is leaving, and when it was last renewed. */
export interface LeavingRecord {
  readonly mark: LeavingServer;
  readonly markedAtMs: number;
}

/** What this VM knows of a backend server. */
export interface ServerRecord {
  /** Requests that this VM has there now. */
  inFlight: number;
  /** True once it has answered a poll or failed to. */
  isAsked: boolean;
  report: LoadReport | null;
  reportedAtMs: number;
  /** Own requests there when the last report came, and so in it. */
  inFlightAtReport: number;
  penaltyUntilMs: number;
}

/** What a peer had left of a workspace's tokens when it last said so. */
export interface LenderRecord {
  leftTokens: number;
  atMs: number;
  /** Null if it did not answer. */
  roundTripMs: number | null;
}

export const Lifecycle = {
  Running: 'running',
  Unready: 'unready',
  Draining: 'draining',
  Releasing: 'releasing',
  Stopped: 'stopped',
} as const;
export type Lifecycle = (typeof Lifecycle)[keyof typeof Lifecycle];

/** What a plan of the shares was made from that changed nothing. */
export interface SettledPlan {
  readonly version: number;
  readonly memberChanges: number;
  readonly configuration: Configuration | null;
  readonly pledge: SharePledge | null;
}

export interface ShareState {
  /** Units that the slices are cut by now. */
  units: number;
  table: ShareTable;
  /** Units of each VM in the table. */
  unitsByVmId: ReadonlyMap<string, number>;
  version: number;
  readAtMs: number | null;
  isWriting: boolean;
  isReading: boolean;
  /** Set while the store holds an older table than this VM has seen. */
  isRestored: boolean;
  /** This VM's promise to spend less than its entry allows. */
  pledge: SharePledge | null;
  /** Swaps that were lost to other writers in a row. */
  lostSwaps: number;
  notBeforeMs: number;
  /** Since when the table has been due to change. */
  differsSinceMs: number | null;
  /** Set while another VM may have declared this one gone; no token is spent meanwhile. */
  isSuspended: boolean;
  /** Since when each VM has been missing from the platform's list. */
  missingSinceMs: Map<string, number>;
  listedVmIds: ReadonlySet<string> | null;
  /** Spares the next plan while nothing that it depends on has changed. */
  settled: SettledPlan | null;
}

/** This VM's part as the controller of its failure domain. */
export interface ControllerState {
  /** Null while this VM does not hold the lease. */
  fence: number | null;
  validUntilMs: number;
  triedAtMs: number;
  /** Null until it has been taken over from the store. */
  plan: PlacementPlan | null;
  planVersion: number;
  isWriting: boolean;
  /** Loads that may be started now. */
  allowance: number;
  allowanceAtMs: number;
  readonly sentAtMs: Map<string, number>;
  /** By server and tag. */
  readonly missingSinceMs: Map<string, number>;
  readonly unloadedAtMs: Map<string, number>;
}

export interface NodeState {
  readonly self: Self;
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
  /** Ids of the members that have been heard of, so that gossip draws some without visiting all. */
  readonly heardMembers: { local: string[]; remote: string[] };
  /** Grows with each change of a member that the plan of the shares depends on. */
  memberChanges: number;
  readonly servers: Map<string, ServerRecord>;
  /** Names of the engines that last reported a model, by model tag. */
  readonly serversByTag: Map<string, Set<string>>;
  /** VMs that were heard of lately, this one among them. */
  liveVms: { inDomain: number; all: number };
  /** Members that were known at the last count. */
  countedMembers: number;
  /** The engine that the next round of polls begins with. */
  pollCursor: number;
  readonly leavingServers: Map<string, LeavingRecord>;
  /** Ids of the requests that wait for tokens, by workspace. */
  readonly tokenQueues: Map<string, string[]>;
  /** By workspace, then VM. */
  readonly lenders: Map<string, Map<string, LenderRecord>>;
  /** Workspaces with requests here since the last round of evening out. */
  readonly usedWorkspaces: Set<string>;
  /** Until when a workspace is known to be short over the whole fleet. */
  readonly shortUntilMs: Map<string, number>;
  retryTokens: number;
  lastEventAtMs: number;
  storeHeardAtMs: number;
  domainHeardAtMs: number;
}

/** Creates the state of a VM that has just started and knows nothing. */
export function createNodeState(
  self: Self,
  policy: Policy,
  seed: number,
  nowMs: number,
): NodeState {
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
      isRestored: false,
      pledge: null,
      lostSwaps: 0,
      notBeforeMs: nowMs + policy.shareSettleMs,
      differsSinceMs: null,
      isSuspended: false,
      missingSinceMs: new Map(),
      listedVmIds: null,
      settled: null,
    },
    controller: {
      fence: null,
      validUntilMs: 0,
      triedAtMs: nowMs,
      plan: null,
      planVersion: 0,
      isWriting: false,
      allowance: 0,
      allowanceAtMs: nowMs,
      sentAtMs: new Map(),
      missingSinceMs: new Map(),
      unloadedAtMs: new Map(),
    },
    members: new Map(),
    heardMembers: { local: [], remote: [] },
    memberChanges: 0,
    servers: new Map(),
    serversByTag: new Map(),
    liveVms: { inDomain: 1, all: 1 },
    countedMembers: 0,
    pollCursor: 0,
    leavingServers: new Map(),
    tokenQueues: new Map(),
    lenders: new Map(),
    usedWorkspaces: new Set(),
    shortUntilMs: new Map(),
    retryTokens: policy.retryBurst,
    lastEventAtMs: nowMs,
    storeHeardAtMs: nowMs,
    domainHeardAtMs: nowMs,
  };
}

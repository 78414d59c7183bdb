/**
 * The state of one entry VM. The loop owns it: only event handlers change it, one event at a time.
 */
import type { Backend } from '../../state/entry/backends.js';
import type {
  Deployment,
  ForwardRoute,
  ForwardService,
  ForwardWorkspace,
} from '../../state/entry/deployment.js';
import type { RateBucket } from '../../state/entry/rateBucket.js';
import type { PlacementBoard, VmReport } from '../../state/entry/reports.js';
import { createRandom, type RandomState } from '../../state/random.js';
import type { RunClaim } from '../../state/types.js';
import { createDemandTable, type DemandTable } from './demand.js';
import type { ControllerClaim, ForwardRequest, ListedEntryVm } from './events.js';
import { createPlacementState, type PlacementState } from './placementState.js';
import type { EntryPolicy } from './policy.js';

/** What this VM is, from its settings. */
export interface EntrySelf {
  readonly vmId: string;
  /** New at each start of the process. */
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
}

/** Where a request stands. */
export const ForwardPhase = {
  /** Another VM is asked for the tokens that its workspace lacks here. */
  Charging: 'charging',
  /** No backend server holds its model yet. */
  Waiting: 'waiting',
  Dispatched: 'dispatched',
} as const;
export type ForwardPhase = (typeof ForwardPhase)[keyof typeof ForwardPhase];

/** A request from its admission to its end. */
export interface ForwardRecord {
  readonly request: ForwardRequest;
  readonly route: ForwardRoute;
  readonly service: ForwardService;
  readonly workspace: ForwardWorkspace | null;
  readonly costTokens: number;
  /** True once the cost has been taken from the workspace's rate. */
  isCharged: boolean;
  /** VMs that were asked for tokens. */
  readonly lenders: string[];
  readonly arrivedAtMs: number;
  /** When the caller or the route gives it up. */
  readonly endsAtMs: number;
  phase: ForwardPhase;
  attempt: number;
  backendId: string | null;
  /** Backend servers that it was sent to and that may have run it. */
  usedBackends: string[];
  /** Backend servers that proved not to have run it; forgotten when it waits for one anew. */
  refusedBy: string[];
  /** Dispatches that proved not to have run it. */
  refusals: number;
  runClaim: RunClaim;
  firstEventAtMs: number | null;
  /** When it was last sent on, and the tokens of its prompt that its server has not read since. */
  sentAtMs: number;
  unreadTokens: number;
}

/** Whether the store answers this VM, as the watches see it. */
export interface StoreView {
  isReachable: boolean;
  /** When it answered again after a failure. */
  regainedAtMs: number;
  lostAtMs: number;
}

/** What is known of another VM. */
export interface PeerRecord {
  report: VmReport;
  heardAtMs: number;
}

/** Whether the process takes requests. */
export const EntryLifecycle = {
  Starting: 'starting',
  Running: 'running',
  /** Not ready, but callers may not have noticed yet. */
  Stopping: 'stopping',
  /** Only what is under way is served. */
  Draining: 'draining',
} as const;
export type EntryLifecycle = (typeof EntryLifecycle)[keyof typeof EntryLifecycle];

/** Tells whether a planned stop has begun. */
export function isLeaving({ lifecycle }: Pick<EntryState, 'lifecycle'>): boolean {
  return lifecycle === EntryLifecycle.Stopping || lifecycle === EntryLifecycle.Draining;
}

/** A budget of repeated requests for one service. */
export interface RetryBudget {
  tokens: number;
}

export interface EntryState {
  readonly self: EntrySelf;
  /** Replaced when the settings are read again. */
  policy: EntryPolicy;
  readonly random: RandomState;
  readonly startedAtMs: number;
  lifecycle: EntryLifecycle;
  isReady: boolean;
  deployment: Deployment | null;
  readonly backends: Map<string, Backend>;
  backendsRevision: number;
  areBackendsRead: boolean;
  readonly requests: Map<string, ForwardRecord>;
  readonly buckets: Map<string, RateBucket>;
  readonly workspaceDemand: DemandTable;
  /** Tokens that lenders had left when they answered, by VM and workspace. */
  readonly answeredSpares: Map<string, { readonly spareTokens: number; readonly atMs: number }>;
  readonly modelDemand: DemandTable;
  /** The same, with requests that are due sooner counting more. */
  readonly modelValue: DemandTable;
  readonly retryBudgets: Map<string, RetryBudget>;
  readonly store: StoreView;
  listedVms: readonly ListedEntryVm[];
  readonly peers: Map<string, PeerRecord>;
  /** When each other VM was last listed or heard; one that has gone keeps its part of shared limits a while. */
  readonly vmsSeenAtMs: Map<string, number>;
  reportSequence: number;
  /** Own demand of each workspace as the peers were last told, in tokens a second. */
  reportedDemands: ReadonlyMap<string, number>;
  board: PlacementBoard | null;
  controller: ControllerClaim | null;
  /** Adapters that the controller was asked for, with the time of the question. */
  readonly askedAdapters: Map<string, number>;
  readonly placement: PlacementState;
}

/** Creates the state of a fresh process. */
export function createEntryState(
  self: EntrySelf,
  policy: EntryPolicy,
  seed: number,
  nowMs: number,
): EntryState {
  return {
    self,
    policy,
    random: createRandom(seed),
    startedAtMs: nowMs,
    lifecycle: EntryLifecycle.Starting,
    isReady: false,
    deployment: null,
    backends: new Map(),
    backendsRevision: 0,
    areBackendsRead: false,
    requests: new Map(),
    buckets: new Map(),
    workspaceDemand: createDemandTable(policy.workspaceDecayMs),
    answeredSpares: new Map(),
    modelDemand: createDemandTable(policy.modelDecayMs),
    modelValue: createDemandTable(policy.modelDecayMs),
    retryBudgets: new Map(),
    store: {
      isReachable: true,
      regainedAtMs: Number.NEGATIVE_INFINITY,
      lostAtMs: Number.NEGATIVE_INFINITY,
    },
    listedVms: [],
    peers: new Map(),
    vmsSeenAtMs: new Map(),
    reportSequence: 0,
    reportedDemands: new Map(),
    board: null,
    controller: null,
    askedAdapters: new Map(),
    placement: createPlacementState(),
  };
}

/** Notes the VMs that are listed or heard of now, and drops those that have been gone for long. */
export function noteVmsSeen(state: EntryState, nowMs: number): void {
  const { vmsSeenAtMs } = state;
  state.listedVms.forEach(({ vmId }) => vmsSeenAtMs.set(vmId, nowMs));
  state.peers.forEach(({ heardAtMs }, vmId) => {
    vmsSeenAtMs.set(vmId, Math.max(heardAtMs, vmsSeenAtMs.get(vmId) ?? heardAtMs));
  });
  vmsSeenAtMs.delete(state.self.vmId);
  [...vmsSeenAtMs.entries()]
    .filter(([, seenAtMs]) => nowMs - seenAtMs > state.policy.sharingGoneMs)
    .forEach(([vmId]) => vmsSeenAtMs.delete(vmId));
}

/** Counts the VMs that shared limits are divided by, this one among them. */
export function countSharingVms({ vmsSeenAtMs }: EntryState): number {
  return vmsSeenAtMs.size + 1;
}

/** Returns the VMs that are taken to live: those that the store lists or that were heard lately. */
export function countLiveVms(state: EntryState, nowMs: number): number {
  const live = new Set(state.listedVms.map(({ vmId }) => vmId));
  state.peers.forEach(({ heardAtMs, report }, vmId) => {
    if (!report.isLeaving && nowMs - heardAtMs < state.policy.vmGoneMs) {
      live.add(vmId);
    }
  });
  live.add(state.self.vmId);
  return live.size;
}

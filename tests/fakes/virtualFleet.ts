/**
 * Many VMs' decision code in one process on a virtual time: what each orders is carried out on the
 * others by a plain schedule. There are no sockets, and an answer takes a fixed time.
 */
import {
  type Command,
  CommandKind,
  type CommandOf,
  EventKind,
  type NodeEvent,
  RequestOutcome,
} from '../../src/coordination/events.js';
import { stepNode } from '../../src/coordination/handlers.js';
import { createNodeState, type NodeState } from '../../src/coordination/nodeState.js';
import { DEFAULT_POLICY, type Policy } from '../../src/coordination/policy.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { hashText } from '../../src/state/random.js';
import { EMPTY_SHARE_TABLE, type ShareTable } from '../../src/state/shareTable.js';
import type { Document, Head, LoadReport, Refusal, RequestInfo } from '../../src/state/types.js';
import type { Receipt } from './bound.js';

/** How a fleet is made. */
export interface VirtualPlan {
  /** Failure domain of each VM. */
  readonly vms: readonly string[];
  readonly document: Document;
  /** Models that every engine of the document has loaded, as tags. */
  readonly loadedModels: readonly string[];
  readonly policy?: Partial<Policy>;
  readonly seed?: number;
  readonly latencyMs?: number;
  readonly answerMs?: number;
  /** The part of the reserved answer that is really generated. */
  readonly generatedPart?: number;
}

export interface VirtualVm {
  readonly vmId: string;
  readonly failureDomain: string;
  state: NodeState;
  isFrozen: boolean;
  isDead: boolean;
  /** What came while it was frozen. */
  readonly held: NodeEvent[];
  timers: Map<string, symbol>;
}

interface OpenRequest {
  readonly workspace: string;
  readonly receipt: Receipt;
}

export interface RefusalRecord {
  readonly requestId: string;
  readonly atMs: number;
  readonly refusal: Refusal;
}

/** What tests can do to a fleet, and what they can see of it. */
export interface VirtualFleet {
  readonly vms: VirtualVm[];
  readonly getNowMs: () => number;
  readonly runUntil: (untilMs: number) => void;
  readonly at: (atMs: number, action: () => void) => void;
  readonly arrive: (vm: number, request: RequestInfo) => void;
  /** Puts a document in force on some VMs, all by default. */
  readonly configure: (document: Document, revision: number, vms?: readonly number[]) => void;
  readonly setCut: (isCut: (from: VirtualVm, to: VirtualVm) => boolean) => void;
  readonly setStoreDown: (isDown: (vm: VirtualVm) => boolean) => void;
  readonly freeze: (vm: number) => void;
  readonly thaw: (vm: number) => void;
  readonly kill: (vm: number) => void;
  /** Starts a new process on a VM, which knows nothing. */
  readonly restart: (vm: number) => void;
  /** Takes a VM off the platform's list. */
  readonly unlist: (vm: number) => void;
  readonly receipts: ReadonlyMap<string, Receipt[]>;
  readonly refusals: readonly RefusalRecord[];
  readonly admitted: ReadonlySet<string>;
  readonly getTable: () => ShareTable;
  readonly counts: { borrows: number; storeReads: number; storeWrites: number; gossips: number };
}

const REPORT: Omit<LoadReport, 'loadedModels'> = {
  runningRequests: 0,
  queuedRequests: 0,
  usedMemoryMb: 0,
  loadingModels: [],
  leaving: false,
};

/** Creates the head of a revision. */
export function createTestHead(revision: number): Head {
  const sections = { operators: '', vms: '', models: '', workspaces: '' };
  return { revision, sections, recentEdits: [] };
}

/** Creates a fleet; nothing has happened yet. */
export function createVirtualFleet(plan: VirtualPlan): VirtualFleet {
  const policy = { ...DEFAULT_POLICY, ...plan.policy };
  const { answerMs = 50, generatedPart = 1, latencyMs = 1, seed = 1 } = plan;
  const schedule = new Map<number, (() => void)[]>();
  const receipts = new Map<string, Receipt[]>();
  const open = new Map<string, OpenRequest>();
  const refusals: RefusalRecord[] = [];
  const admitted = new Set<string>();
  const counts = { borrows: 0, storeReads: 0, storeWrites: 0, gossips: 0 };
  const costs = new Map<string, RequestInfo>();
  const loans = new Map<string, (granted: number, left: number) => void>();
  let nowMs = 0;
  let loanCount = 0;
  let starts = 0;
  let current = { document: plan.document, revision: 1 };
  let stored = { table: EMPTY_SHARE_TABLE, version: 0 };
  let listed: readonly string[] = plan.vms.map((_, i) => `vm-${i}`);
  let isCut = (_from: VirtualVm, _to: VirtualVm): boolean => false;
  let isStoreDown = (_vm: VirtualVm): boolean => false;

  const at = (atMs: number, action: () => void): void => {
    const time = Math.max(nowMs, Math.ceil(atMs));
    const actions = schedule.get(time) ?? [];
    actions.push(action);
    schedule.set(time, actions);
  };

  const createState = (i: number): NodeState => {
    starts += 1;
    const self = {
      vmId: `vm-${i}`,
      incarnation: `${i}/${starts}`,
      failureDomain: plan.vms[i]!,
      peerAddress: `vm-${i}`,
      firstHeartbeat: starts * 1_000_000,
    };
    return createNodeState(self, policy, hashText(`${seed}/${starts}`), nowMs);
  };

  const vms: VirtualVm[] = plan.vms.map((failureDomain, i) => ({
    vmId: `vm-${i}`,
    failureDomain,
    state: createState(i),
    isFrozen: false,
    isDead: false,
    held: [],
    timers: new Map(),
  }));
  const byId = new Map(vms.map((vm) => [vm.vmId, vm]));

  let carryOut = (_vm: VirtualVm, _command: Command): void => {};

  const post = (vm: VirtualVm, event: NodeEvent): void => {
    if (vm.isDead) {
      return;
    }
    if (vm.isFrozen) {
      vm.held.push(event);
      return;
    }
    stepNode(vm.state, event, nowMs).forEach((command) => carryOut(vm, command));
  };

  const postLater = (vm: VirtualVm, delayMs: number, event: NodeEvent): void => {
    const { incarnation } = vm.state.self;
    at(nowMs + delayMs, () => {
      if (vm.state.self.incarnation === incarnation) {
        post(vm, event);
      }
    });
  };

  /** Runs something on a peer after the latency, unless they are cut off from each other. */
  const reach = (from: VirtualVm, peer: VirtualVm | undefined, action: () => void): void => {
    at(nowMs + latencyMs, () => {
      if (peer !== undefined && !peer.isDead && !isCut(from, peer)) {
        action();
      }
    });
  };

  const borrow = (vm: VirtualVm, command: CommandOf<typeof CommandKind.Borrow>): void => {
    const { askedAtMs, peerVmId, requestId, spendWithinMs, tokens, workspace } = command;
    counts.borrows += 1;
    loanCount += 1;
    const loanId = String(loanCount);
    const { incarnation } = vm.state.self;
    let isAnswered = false;
    const answer = (grantedTokens: number, leftTokens: number | null): void => {
      if (isAnswered || vm.state.self.incarnation !== incarnation) {
        return;
      }
      isAnswered = true;
      const kind = EventKind.LoanAnswered;
      post(vm, {
        kind,
        requestId,
        peerVmId,
        workspace,
        askedAtMs,
        spendWithinMs,
        grantedTokens,
        leftTokens,
      });
    };
    const peer = byId.get(peerVmId);
    loans.set(loanId, (granted, left) => {
      if (peer !== undefined) {
        reach(peer, vm, () => answer(granted, left));
      }
    });
    reach(vm, peer, () => {
      post(peer!, { kind: EventKind.BorrowRequested, loanId, workspace, tokens, spendWithinMs });
    });
    at(nowMs + spendWithinMs, () => answer(0, null));
  };

  const dispatch = (vm: VirtualVm, command: CommandOf<typeof CommandKind.Dispatch>): void => {
    const { attempt, requestId, workspace } = command;
    const request = costs.get(requestId)!;
    const target = request.target.kind === 'model' ? request.target : null;
    const costTokens = (target?.promptTokens ?? 0) + (target?.maxTokens ?? 0);
    if (!open.has(requestId) && workspace !== null) {
      const receipt = { atMs: nowMs, tokens: costTokens };
      open.set(requestId, { workspace, receipt });
      receipts.set(workspace, [...(receipts.get(workspace) ?? []), receipt]);
      admitted.add(requestId);
    }
    const generatedTokens = Math.floor((target?.maxTokens ?? 0) * generatedPart);
    const started = { kind: EventKind.AnswerStarted, requestId, attempt };
    postLater(vm, answerMs / 2, started);
    const kind = EventKind.AnswerCompleted;
    postLater(vm, answerMs, {
      kind,
      requestId,
      attempt,
      generatedTokens,
      maxGapMs: 0,
      meanGapMs: 0,
    });
  };

  const EXECUTORS: {
    readonly [K in CommandKind]?: (vm: VirtualVm, command: CommandOf<K>) => void;
  } = {
    [CommandKind.Borrow]: borrow,
    [CommandKind.AnswerBorrow]: (_vm, { grantedTokens, leftTokens, loanId }) => {
      loans.get(loanId)?.(grantedTokens, leftTokens);
      loans.delete(loanId);
    },
    [CommandKind.Dispatch]: dispatch,
    [CommandKind.Refuse]: (_vm, { refusal, requestId }) => {
      refusals.push({ requestId, atMs: nowMs, refusal });
    },
    [CommandKind.RecordRequest]: (_vm, { measure, requestId }) => {
      const request = open.get(requestId);
      if (request !== undefined && measure.outcome === RequestOutcome.Completed) {
        request.receipt.tokens = measure.tokens;
      }
      open.delete(requestId);
      costs.delete(requestId);
    },
    [CommandKind.StartTimer]: (vm, { delayMs, event, timerId }) => {
      const mark = Symbol(timerId);
      vm.timers.set(timerId, mark);
      const { incarnation } = vm.state.self;
      at(nowMs + delayMs, () => {
        const isCurrent = vm.timers.get(timerId) === mark;
        if (isCurrent && vm.state.self.incarnation === incarnation) {
          vm.timers.delete(timerId);
          post(vm, event);
        }
      });
    },
    [CommandKind.CancelTimer]: (vm, { timerId }) => {
      vm.timers.delete(timerId);
    },
    [CommandKind.SendGossip]: (vm, { message, peerVmId }) => {
      counts.gossips += 1;
      const peer = byId.get(peerVmId);
      reach(vm, peer, () => {
        post(peer!, { kind: EventKind.GossipReceived, message, replyId: vm.vmId });
      });
    },
    [CommandKind.AnswerGossip]: (vm, { message, replyId }) => {
      const peer = byId.get(replyId);
      reach(vm, peer, () => {
        post(peer!, { kind: EventKind.GossipReceived, message, replyId: null });
      });
    },
    [CommandKind.ReadShareTable]: (vm) => {
      if (isStoreDown(vm)) {
        const diagnostic = createDiagnostic(Diagnostics.StoreUnavailable);
        postLater(vm, latencyMs, { kind: EventKind.StoreFailed, diagnostic });
        return;
      }
      counts.storeReads += 1;
      const { table, version } = stored;
      postLater(vm, latencyMs, { kind: EventKind.ShareTableRead, table, version });
      const listedVms = listed.map((vmId) => ({ vmId, peerAddress: vmId, state: 'live' as const }));
      postLater(vm, latencyMs, { kind: EventKind.VmListRead, vms: listedVms });
    },
    [CommandKind.WriteShareTable]: (vm, { expectedVersion, table }) => {
      const isWritten = !isStoreDown(vm) && stored.version === expectedVersion;
      counts.storeWrites += 1;
      if (isWritten) {
        stored = { table, version: stored.version + 1 };
      }
      const version = isWritten ? stored.version : null;
      postLater(vm, latencyMs, { kind: EventKind.ShareWriteAnswered, table, version });
    },
  };

  carryOut = (vm, command) => {
    const executor = EXECUTORS[command.kind] as ((v: VirtualVm, c: Command) => void) | undefined;
    executor?.(vm, command);
  };

  const configureVm = (vm: VirtualVm): void => {
    const { document, revision } = current;
    const head = createTestHead(revision);
    post(vm, { kind: EventKind.ConfigurationReceived, head, document });
    document.vms.backendServers.forEach(({ name }) => {
      const report = { ...REPORT, loadedModels: plan.loadedModels };
      post(vm, { kind: EventKind.LoadReported, server: name, report });
    });
  };

  const startVm = (vm: VirtualVm): void => {
    configureVm(vm);
    post(vm, { kind: EventKind.GossipTick });
    post(vm, { kind: EventKind.ShareTick });
  };

  vms.forEach((vm) => at(0, () => startVm(vm)));

  return {
    vms,
    getNowMs: () => nowMs,
    at,
    runUntil: (untilMs) => {
      for (; nowMs <= untilMs; nowMs += 1) {
        // Actions may add more for the same instant.
        for (let list = schedule.get(nowMs); list !== undefined; list = schedule.get(nowMs)) {
          schedule.delete(nowMs);
          list.forEach((action) => action());
        }
      }
    },
    arrive: (index, request) => {
      costs.set(request.requestId, request);
      post(vms[index]!, { kind: EventKind.RequestArrived, request });
    },
    configure: (document, revision, targets = vms.map((_, i) => i)) => {
      current = { document, revision };
      targets.forEach((i) => configureVm(vms[i]!));
    },
    setCut: (rule) => {
      isCut = rule;
    },
    setStoreDown: (rule) => {
      isStoreDown = rule;
    },
    freeze: (index) => {
      vms[index]!.isFrozen = true;
    },
    thaw: (index) => {
      const vm = vms[index]!;
      vm.isFrozen = false;
      vm.held.splice(0).forEach((event) => post(vm, event));
    },
    kill: (index) => {
      vms[index]!.isDead = true;
    },
    restart: (index) => {
      const vm = vms[index]!;
      vm.state = createState(index);
      vm.timers = new Map();
      vm.held.splice(0);
      vm.isDead = false;
      vm.isFrozen = false;
      startVm(vm);
    },
    unlist: (index) => {
      listed = listed.filter((vmId) => vmId !== vms[index]!.vmId);
    },
    receipts,
    refusals,
    admitted,
    getTable: () => stored.table,
    counts,
  };
}

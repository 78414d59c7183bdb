/**
 * Simulates a fleet in one process and in virtual time: runs the coordination code of many VMs and
 * executes their commands from a schedule. There are no sockets, and an answer takes a fixed time.
 */
import {
  type Command,
  CommandKind,
  type CommandOf,
  EventKind,
  type VmEvent,
  RequestOutcome,
} from '../../src/coordination/events.js';
import { stepVm } from '../../src/coordination/handlers.js';
import { createVmState, type VmState } from '../../src/coordination/vmState.js';
import { DEFAULT_POLICY, type Policy } from '../../src/coordination/policy.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { hashText } from '../../src/state/random.js';
import { EMPTY_SHARE_TABLE, type ShareTable } from '../../src/state/shareTable.js';
import type { Document, Head, LoadReport, Refusal, RequestInfo } from '../../src/state/types.js';
import type { Receipt } from './referenceRateLimit.js';

/** Options of a simulated fleet. */
export interface SimulatedFleetOptions {
  /** Failure domain of each VM. */
  readonly vms: readonly string[];
  readonly document: Document;
  /** Tags of the models that every engine of the document has loaded. */
  readonly loadedModels: readonly string[];
  readonly policy?: Partial<Policy>;
  readonly seed?: number;
  readonly latencyMs?: number;
  readonly answerMs?: number;
  /** Fraction of the reserved answer tokens that are generated. */
  readonly generatedFraction?: number;
}

export interface SimulatedVm {
  readonly vmId: string;
  readonly failureDomain: string;
  state: VmState;
  isFrozen: boolean;
  isDead: boolean;
  /** Events that arrived while the VM was frozen. */
  readonly heldEvents: VmEvent[];
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

/** The operations that tests apply to a fleet, and the state that they inspect. */
export interface SimulatedFleet {
  readonly vms: SimulatedVm[];
  readonly getNowMs: () => number;
  readonly runUntil: (untilMs: number) => void;
  readonly scheduleAt: (atMs: number, action: () => void) => void;
  readonly receiveRequest: (vm: number, request: RequestInfo) => void;
  /** Puts a document in force on the given VMs, by default on all. */
  readonly configure: (document: Document, revision: number, vms?: readonly number[]) => void;
  readonly setPartition: (isPartitioned: (from: SimulatedVm, to: SimulatedVm) => boolean) => void;
  readonly setStoreDown: (isDown: (vm: SimulatedVm) => boolean) => void;
  readonly freeze: (vm: number) => void;
  readonly thaw: (vm: number) => void;
  readonly kill: (vm: number) => void;
  /** Replaces the process of a VM by a new one with an empty state. */
  readonly restart: (vm: number) => void;
  /** Removes a VM from the platform's list. */
  readonly unlist: (vm: number) => void;
  readonly receipts: ReadonlyMap<string, Receipt[]>;
  readonly refusals: readonly RefusalRecord[];
  readonly admittedRequestIds: ReadonlySet<string>;
  readonly getShareTable: () => ShareTable;
  readonly counts: { borrows: number; storeReads: number; storeWrites: number; gossips: number };
}

const IDLE_REPORT: Omit<LoadReport, 'loadedModels'> = {
  runningRequests: 0,
  queuedRequests: 0,
  usedMemoryMb: 0,
  loadingModels: [],
  leaving: false,
};

/** Creates the head of a configuration revision. */
export function createTestHead(revision: number): Head {
  const sections = { operators: '', vms: '', models: '', workspaces: '' };
  return { revision, sections, recentEdits: [] };
}

/** Creates a fleet whose VMs start when `runUntil` is first called. */
export function createSimulatedFleet(options: SimulatedFleetOptions): SimulatedFleet {
  const policy = { ...DEFAULT_POLICY, ...options.policy };
  const { answerMs = 50, generatedFraction = 1, latencyMs = 1, seed = 1 } = options;
  const actionsByTime = new Map<number, (() => void)[]>();
  const receipts = new Map<string, Receipt[]>();
  const openRequests = new Map<string, OpenRequest>();
  const refusals: RefusalRecord[] = [];
  const admittedRequestIds = new Set<string>();
  const counts = { borrows: 0, storeReads: 0, storeWrites: 0, gossips: 0 };
  const requestsById = new Map<string, RequestInfo>();
  const loanAnswers = new Map<string, (granted: number, left: number) => void>();
  let nowMs = 0;
  let loanCount = 0;
  let processStarts = 0;
  let current = { document: options.document, revision: 1 };
  let stored = { table: EMPTY_SHARE_TABLE, version: 0 };
  let listed: readonly string[] = options.vms.map((_, i) => `vm-${i}`);
  let isPartitioned = (_from: SimulatedVm, _to: SimulatedVm): boolean => false;
  let isStoreDown = (_vm: SimulatedVm): boolean => false;

  const scheduleAt = (atMs: number, action: () => void): void => {
    const time = Math.max(nowMs, Math.ceil(atMs));
    const actions = actionsByTime.get(time) ?? [];
    actions.push(action);
    actionsByTime.set(time, actions);
  };

  const createState = (i: number): VmState => {
    processStarts += 1;
    const self = {
      vmId: `vm-${i}`,
      incarnation: `${i}/${processStarts}`,
      failureDomain: options.vms[i]!,
      peerAddress: `vm-${i}`,
      firstHeartbeat: processStarts * 1_000_000,
    };
    return createVmState(self, policy, hashText(`${seed}/${processStarts}`), nowMs);
  };

  const vms: SimulatedVm[] = options.vms.map((failureDomain, i) => ({
    vmId: `vm-${i}`,
    failureDomain,
    state: createState(i),
    isFrozen: false,
    isDead: false,
    heldEvents: [],
    timers: new Map(),
  }));
  const vmsById = new Map(vms.map((vm) => [vm.vmId, vm]));

  let executeCommand = (_vm: SimulatedVm, _command: Command): void => {};

  const deliver = (vm: SimulatedVm, event: VmEvent): void => {
    if (vm.isDead) {
      return;
    }
    if (vm.isFrozen) {
      vm.heldEvents.push(event);
      return;
    }
    stepVm(vm.state, event, nowMs).forEach((command) => executeCommand(vm, command));
  };

  const deliverLater = (vm: SimulatedVm, delayMs: number, event: VmEvent): void => {
    const { incarnation } = vm.state.self;
    scheduleAt(nowMs + delayMs, () => {
      if (vm.state.self.incarnation === incarnation) {
        deliver(vm, event);
      }
    });
  };

  /** Runs an action on a peer after the network latency, unless it is dead or unreachable. */
  const runOnPeer = (
    from: SimulatedVm,
    peer: SimulatedVm | undefined,
    action: () => void,
  ): void => {
    scheduleAt(nowMs + latencyMs, () => {
      if (peer !== undefined && !peer.isDead && !isPartitioned(from, peer)) {
        action();
      }
    });
  };

  const requestLoan = (
    vm: SimulatedVm,
    command: CommandOf<typeof CommandKind.RequestLoan>,
  ): void => {
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
      deliver(vm, {
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
    const peer = vmsById.get(peerVmId);
    loanAnswers.set(loanId, (granted, left) => {
      if (peer !== undefined) {
        runOnPeer(peer, vm, () => answer(granted, left));
      }
    });
    runOnPeer(vm, peer, () => {
      deliver(peer!, { kind: EventKind.LoanRequested, loanId, workspace, tokens, spendWithinMs });
    });
    scheduleAt(nowMs + spendWithinMs, () => answer(0, null));
  };

  const dispatch = (vm: SimulatedVm, command: CommandOf<typeof CommandKind.Dispatch>): void => {
    const { attempt, requestId, workspace } = command;
    const request = requestsById.get(requestId)!;
    const target = request.target.kind === 'model' ? request.target : null;
    const costTokens = (target?.promptTokens ?? 0) + (target?.maxTokens ?? 0);
    if (!openRequests.has(requestId) && workspace !== null) {
      const receipt = { atMs: nowMs, tokens: costTokens };
      openRequests.set(requestId, { workspace, receipt });
      receipts.set(workspace, [...(receipts.get(workspace) ?? []), receipt]);
      admittedRequestIds.add(requestId);
    }
    const generatedTokens = Math.floor((target?.maxTokens ?? 0) * generatedFraction);
    const started = { kind: EventKind.AnswerStarted, requestId, attempt };
    deliverLater(vm, answerMs / 2, started);
    const kind = EventKind.AnswerCompleted;
    deliverLater(vm, answerMs, {
      kind,
      requestId,
      attempt,
      generatedTokens,
      maxGapMs: 0,
      meanGapMs: 0,
    });
  };

  const COMMAND_EXECUTORS: {
    readonly [K in CommandKind]?: (vm: SimulatedVm, command: CommandOf<K>) => void;
  } = {
    [CommandKind.RequestLoan]: requestLoan,
    [CommandKind.ReplyToLoanRequest]: (_vm, { grantedTokens, leftTokens, loanId }) => {
      loanAnswers.get(loanId)?.(grantedTokens, leftTokens);
      loanAnswers.delete(loanId);
    },
    [CommandKind.Dispatch]: dispatch,
    [CommandKind.Refuse]: (_vm, { refusal, requestId }) => {
      refusals.push({ requestId, atMs: nowMs, refusal });
    },
    [CommandKind.RecordRequest]: (_vm, { measure, requestId }) => {
      const request = openRequests.get(requestId);
      if (request !== undefined && measure.outcome === RequestOutcome.Completed) {
        request.receipt.tokens = measure.tokens;
      }
      openRequests.delete(requestId);
      requestsById.delete(requestId);
    },
    [CommandKind.StartTimer]: (vm, { delayMs, event, timerId }) => {
      const timerToken = Symbol(timerId);
      vm.timers.set(timerId, timerToken);
      const { incarnation } = vm.state.self;
      scheduleAt(nowMs + delayMs, () => {
        const isCurrent = vm.timers.get(timerId) === timerToken;
        if (isCurrent && vm.state.self.incarnation === incarnation) {
          vm.timers.delete(timerId);
          deliver(vm, event);
        }
      });
    },
    [CommandKind.CancelTimer]: (vm, { timerId }) => {
      vm.timers.delete(timerId);
    },
    [CommandKind.SendGossip]: (vm, { message, peerVmId }) => {
      counts.gossips += 1;
      const peer = vmsById.get(peerVmId);
      runOnPeer(vm, peer, () => {
        deliver(peer!, { kind: EventKind.GossipReceived, message, replyId: vm.vmId });
      });
    },
    [CommandKind.ReplyToGossip]: (vm, { message, replyId }) => {
      const peer = vmsById.get(replyId);
      runOnPeer(vm, peer, () => {
        deliver(peer!, { kind: EventKind.GossipReceived, message, replyId: null });
      });
    },
    [CommandKind.ReadShareTable]: (vm) => {
      if (isStoreDown(vm)) {
        const diagnostic = createDiagnostic(Diagnostics.StoreUnavailable);
        deliverLater(vm, latencyMs, { kind: EventKind.StoreFailed, diagnostic });
        return;
      }
      counts.storeReads += 1;
      const { table, version } = stored;
      deliverLater(vm, latencyMs, { kind: EventKind.ShareTableRead, table, version });
      const listedVms = listed.map((vmId) => ({ vmId, peerAddress: vmId, state: 'live' as const }));
      deliverLater(vm, latencyMs, { kind: EventKind.VmListRead, vms: listedVms });
    },
    [CommandKind.WriteShareTable]: (vm, { expectedVersion, table }) => {
      const isWritten = !isStoreDown(vm) && stored.version === expectedVersion;
      counts.storeWrites += 1;
      if (isWritten) {
        stored = { table, version: stored.version + 1 };
      }
      const version = isWritten ? stored.version : null;
      deliverLater(vm, latencyMs, { kind: EventKind.ShareWriteAnswered, table, version });
    },
  };

  executeCommand = (vm, command) => {
    const executor = COMMAND_EXECUTORS[command.kind] as
      ((v: SimulatedVm, c: Command) => void) | undefined;
    executor?.(vm, command);
  };

  const configureVm = (vm: SimulatedVm): void => {
    const { document, revision } = current;
    const head = createTestHead(revision);
    deliver(vm, { kind: EventKind.ConfigurationReceived, head, document });
    document.vms.backendServers.forEach(({ name }) => {
      const report = { ...IDLE_REPORT, loadedModels: options.loadedModels };
      deliver(vm, { kind: EventKind.LoadReported, server: name, report });
    });
  };

  const startVm = (vm: SimulatedVm): void => {
    configureVm(vm);
    deliver(vm, { kind: EventKind.GossipTick });
    deliver(vm, { kind: EventKind.ShareTick });
  };

  vms.forEach((vm) => scheduleAt(0, () => startVm(vm)));

  return {
    vms,
    getNowMs: () => nowMs,
    scheduleAt,
    runUntil: (untilMs) => {
      for (; nowMs <= untilMs; nowMs += 1) {
        // An action may schedule further actions for the same millisecond.
        for (
          let list = actionsByTime.get(nowMs);
          list !== undefined;
          list = actionsByTime.get(nowMs)
        ) {
          actionsByTime.delete(nowMs);
          list.forEach((action) => action());
        }
      }
    },
    receiveRequest: (index, request) => {
      requestsById.set(request.requestId, request);
      deliver(vms[index]!, { kind: EventKind.RequestArrived, request });
    },
    configure: (document, revision, targets = vms.map((_, i) => i)) => {
      current = { document, revision };
      targets.forEach((i) => configureVm(vms[i]!));
    },
    setPartition: (rule) => {
      isPartitioned = rule;
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
      vm.heldEvents.splice(0).forEach((event) => deliver(vm, event));
    },
    kill: (index) => {
      vms[index]!.isDead = true;
    },
    restart: (index) => {
      const vm = vms[index]!;
      vm.state = createState(index);
      vm.timers = new Map();
      vm.heldEvents.splice(0);
      vm.isDead = false;
      vm.isFrozen = false;
      startVm(vm);
    },
    unlist: (index) => {
      listed = listed.filter((vmId) => vmId !== vms[index]!.vmId);
    },
    receipts,
    refusals,
    admittedRequestIds,
    getShareTable: () => stored.table,
    counts,
  };
}

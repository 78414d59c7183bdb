/**
 * Simulates the controllers and engines of a failure domain in virtual time: the coordination code
 * of some VMs, a fake store with a lease, and fake engines. Orders to the engines can be lost,
 * delayed or duplicated, and each load that overcommits an engine's memory is counted.
 */
import {
  type Command,
  CommandKind,
  type CommandOf,
  EventKind,
  type VmEvent,
  OrderOutcome,
} from '../../src/coordination/events.js';
import { stepVm } from '../../src/coordination/handlers.js';
import { createVmState, type VmState } from '../../src/coordination/vmState.js';
import { DEFAULT_POLICY } from '../../src/coordination/policy.js';
import { EMPTY_PLAN, type Order, type PlacementPlan } from '../../src/state/placementPlan.js';
import { createRandom, nextRandom, nextRandomInt } from '../../src/state/random.js';
import type { Document, LoadReport } from '../../src/state/types.js';
import { createTestHead } from './simulatedFleet.js';

/** The faults that a simulated failure domain injects. */
export interface DomainFaults {
  /** Fraction of the orders, and of the answers to plan writes, that are lost. */
  readonly lossProbability: number;
  /** Upper limit of the random delay of an order. */
  readonly maxDelayMs: number;
  /** Fraction of the orders that are sent twice. */
  readonly duplicateProbability: number;
}

export const NO_DOMAIN_FAULTS: DomainFaults = {
  lossProbability: 0,
  maxDelayMs: 5,
  duplicateProbability: 0,
};

const REPORT_DELAY_MS = 2_000;
const MODEL_LOAD_MS = 700;
const REPORT_INTERVAL_MS = 100;

/** A fake engine. */
export interface SimulatedEngine {
  readonly name: string;
  readonly memoryMb: number;
  readonly checksFencing: boolean;
  readonly loaded: Map<string, number>;
  readonly loading: Map<string, number>;
  readonly appliedOrderIds: Set<string>;
  readonly reports: { readonly atMs: number; readonly report: LoadReport }[];
  highestFencingToken: number;
  isLeaving: boolean;
  overcommits: number;
  loadCount: number;
}

export interface SimulatedController {
  state: VmState;
  isFrozen: boolean;
  isDead: boolean;
  readonly heldEvents: VmEvent[];
}

export interface SimulatedDomain {
  readonly engines: SimulatedEngine[];
  readonly controllers: SimulatedController[];
  readonly runFor: (durationMs: number) => void;
  readonly setFaults: (faults: DomainFaults) => void;
  readonly setStoreDown: (isDown: boolean) => void;
  readonly configure: (document: Document, revision: number) => void;
  readonly freeze: (vm: number) => void;
  readonly thaw: (vm: number) => void;
  readonly restart: (vm: number) => void;
  /** Returns the tags that are loaded on engines that are not leaving. */
  readonly getReachableTags: () => Set<string>;
  readonly getPlan: () => PlacementPlan;
  readonly getMaxConcurrentLoads: () => number;
}

function getUsedMb(engine: SimulatedEngine): number {
  const sizes = new Map([...engine.loaded, ...engine.loading]);
  return [...sizes.values()].reduce((sum, mb) => sum + mb, 0);
}

/** Creates a failure domain `fd-a` with VMs that compete for its controller lease. */
export function createSimulatedDomain(
  document: Document,
  vms: number,
  seed: number,
): SimulatedDomain {
  const random = createRandom(seed);
  const actionsByTime = new Map<number, (() => void)[]>();
  let nowMs = 1_000;
  let faults = NO_DOMAIN_FAULTS;
  let isStoreDown = false;
  let current = { document, revision: 1 };
  let stored = { plan: EMPTY_PLAN, version: 0 };
  let lease: { holder: string; fence: number; endsAtMs: number } | null = null;
  let storeVersion = 0;
  let processStarts = 0;
  let maxConcurrentLoads = 0;

  const scheduleAfter = (delayMs: number, action: () => void): void => {
    const time = nowMs + Math.max(1, Math.round(delayMs));
    actionsByTime.set(time, [...(actionsByTime.get(time) ?? []), action]);
  };

  const createEngine = (server: Document['vms']['backendServers'][number]): SimulatedEngine => ({
    name: server.name,
    memoryMb: server.memoryMb,
    checksFencing: server.checksFencing,
    loaded: new Map(),
    loading: new Map(),
    appliedOrderIds: new Set(),
    reports: [],
    highestFencingToken: 0,
    isLeaving: false,
    overcommits: 0,
    loadCount: 0,
  });
  const engines = document.vms.backendServers.map(createEngine);
  const enginesByName = new Map(engines.map((engine) => [engine.name, engine]));

  const createState = (index: number): VmState => {
    processStarts += 1;
    const self = {
      vmId: `vm-${index}`,
      incarnation: String(processStarts),
      failureDomain: 'fd-a',
      peerAddress: `vm-${index}`,
      firstHeartbeat: processStarts,
    };
    return createVmState(self, DEFAULT_POLICY, seed + processStarts, nowMs);
  };
  const controllers: SimulatedController[] = Array.from({ length: vms }, (_, index) => ({
    state: createState(index),
    isFrozen: false,
    isDead: false,
    heldEvents: [],
  }));

  const createReport = (engine: SimulatedEngine): LoadReport => ({
    runningRequests: 0,
    queuedRequests: 0,
    usedMemoryMb: getUsedMb(engine),
    loadedModels: [...engine.loaded.keys()],
    loadingModels: [...engine.loading.keys()],
    leaving: engine.isLeaving,
  });

  const applyOrder = (engine: SimulatedEngine, order: Order): void => {
    if (order.kind === 'unload') {
      engine.loaded.delete(order.tag);
      return;
    }
    engine.loadCount += 1;
    engine.loading.set(order.tag, order.memoryMb);
    engine.overcommits += getUsedMb(engine) > engine.memoryMb ? 1 : 0;
    const loading = engines.reduce((sum, { loading: tags }) => sum + tags.size, 0);
    maxConcurrentLoads = Math.max(maxConcurrentLoads, loading);
    scheduleAfter(MODEL_LOAD_MS, () => {
      engine.loading.delete(order.tag);
      engine.loaded.set(order.tag, order.memoryMb);
    });
  };

  const receiveOrder = (engine: SimulatedEngine, order: Order, fence: number): OrderOutcome => {
    if (engine.checksFencing && fence < engine.highestFencingToken) {
      return OrderOutcome.Fenced;
    }
    engine.highestFencingToken = Math.max(engine.highestFencingToken, fence);
    if (!engine.appliedOrderIds.has(order.orderId)) {
      engine.appliedOrderIds.add(order.orderId);
      applyOrder(engine, order);
    }
    return OrderOutcome.Accepted;
  };

  let executeCommand = (_vm: SimulatedController, _command: Command): void => {};

  const deliver = (vm: SimulatedController, event: VmEvent): void => {
    if (vm.isDead) {
      return;
    }
    if (vm.isFrozen) {
      vm.heldEvents.push(event);
      return;
    }
    stepVm(vm.state, event, nowMs).forEach((command) => executeCommand(vm, command));
  };

  const deliverLater = (vm: SimulatedController, delayMs: number, event: VmEvent): void => {
    const { incarnation } = vm.state.self;
    scheduleAfter(delayMs, () => {
      if (vm.state.self.incarnation === incarnation) {
        deliver(vm, event);
      }
    });
  };

  const sendOrder = (
    vm: SimulatedController,
    { fence, order, server }: CommandOf<typeof CommandKind.SendOrder>,
  ): void => {
    const engine = enginesByName.get(server);
    const copies = nextRandom(random) < faults.duplicateProbability ? 2 : 1;
    for (let i = 0; i < copies; i += 1) {
      if (engine === undefined || nextRandom(random) < faults.lossProbability) {
        deliverLater(vm, 50, {
          kind: EventKind.OrderAnswered,
          server,
          orderId: order.orderId,
          fence,
          outcome: OrderOutcome.Unconfirmed,
        });
      } else {
        scheduleAfter(nextRandomInt(random, faults.maxDelayMs), () => {
          const outcome = receiveOrder(engine, order, fence);
          const { orderId } = order;
          deliverLater(vm, 1, { kind: EventKind.OrderAnswered, server, orderId, fence, outcome });
        });
      }
    }
  };

  const acquireOrRenewLease = (
    vm: SimulatedController,
    { sentAtMs, ttlMs }: CommandOf<typeof CommandKind.AcquireOrRenewControllerLease>,
  ): void => {
    const { incarnation } = vm.state.self;
    const kind = EventKind.ControllerLeaseAnswered;
    if (isStoreDown) {
      deliverLater(vm, 10, { kind, fence: null, isLost: false, sentAtMs });
      return;
    }
    if (lease !== null && lease.endsAtMs < nowMs) {
      lease = null;
    }
    if (lease === null) {
      storeVersion += 1;
      lease = { holder: incarnation, fence: storeVersion, endsAtMs: nowMs + ttlMs };
    }
    const isOwn = lease.holder === incarnation;
    if (isOwn) {
      lease.endsAtMs = nowMs + ttlMs;
    }
    const fence = isOwn ? lease.fence : null;
    deliverLater(vm, 2, { kind, fence, isLost: !isOwn, sentAtMs });
  };

  const COMMAND_EXECUTORS: {
    readonly [K in CommandKind]?: (vm: SimulatedController, command: CommandOf<K>) => void;
  } = {
    [CommandKind.SendOrder]: sendOrder,
    [CommandKind.AcquireOrRenewControllerLease]: acquireOrRenewLease,
    [CommandKind.ReadPlan]: (vm) => {
      const { plan, version } = stored;
      if (!isStoreDown) {
        deliverLater(vm, 2, { kind: EventKind.PlanRead, plan, version });
      }
    },
    [CommandKind.WritePlan]: (vm, { expectedVersion, plan }) => {
      const isWritten = !isStoreDown && stored.version === expectedVersion;
      if (isWritten) {
        storeVersion += 1;
        stored = { plan, version: storeVersion };
      }
      // The answer of a write that took effect can be lost.
      const isAnswered = isWritten && nextRandom(random) >= faults.lossProbability;
      const version = isAnswered ? stored.version : null;
      deliverLater(vm, 2, { kind: EventKind.PlanWriteAnswered, plan, version });
    },
    [CommandKind.StartTimer]: (vm, { delayMs, event }) => deliverLater(vm, delayMs, event),
  };

  executeCommand = (vm, command) => {
    const executor = COMMAND_EXECUTORS[command.kind] as
      ((v: SimulatedController, c: Command) => void) | undefined;
    executor?.(vm, command);
  };

  const startVm = (vm: SimulatedController): void => {
    const head = createTestHead(current.revision);
    deliver(vm, { kind: EventKind.ConfigurationReceived, head, document: current.document });
    deliver(vm, { kind: EventKind.ControllerTick });
    deliver(vm, { kind: EventKind.GossipTick });
  };

  const deliverReports = (): void => {
    engines.forEach((engine) => {
      engine.reports.push({ atMs: nowMs, report: createReport(engine) });
      const limitMs = nowMs - REPORT_DELAY_MS;
      while (engine.reports.length > 1 && engine.reports[1]!.atMs <= limitMs) {
        engine.reports.shift();
      }
      const { report } = engine.reports[0]!;
      controllers.forEach((vm) =>
        deliver(vm, { kind: EventKind.LoadReported, server: engine.name, report }),
      );
    });
  };

  controllers.forEach(startVm);

  return {
    engines,
    controllers,
    runFor: (durationMs) => {
      const endMs = nowMs + durationMs;
      for (; nowMs < endMs; nowMs += 1) {
        const actions = actionsByTime.get(nowMs) ?? [];
        actionsByTime.delete(nowMs);
        actions.forEach((action) => action());
        if (nowMs % REPORT_INTERVAL_MS === 0) {
          deliverReports();
        }
      }
    },
    setFaults: (next) => {
      faults = next;
    },
    setStoreDown: (isDown) => {
      isStoreDown = isDown;
    },
    configure: (nextDocument, revision) => {
      current = { document: nextDocument, revision };
      const head = createTestHead(revision);
      controllers.forEach((vm) =>
        deliver(vm, { kind: EventKind.ConfigurationReceived, head, document: nextDocument }),
      );
    },
    freeze: (vm) => {
      controllers[vm]!.isFrozen = true;
    },
    thaw: (vm) => {
      const controller = controllers[vm]!;
      controller.isFrozen = false;
      controller.heldEvents.splice(0).forEach((event) => deliver(controller, event));
    },
    restart: (index) => {
      const vm = controllers[index]!;
      vm.state = createState(index);
      vm.heldEvents.splice(0);
      vm.isFrozen = false;
      startVm(vm);
    },
    getReachableTags: () =>
      new Set(
        engines.filter(({ isLeaving }) => !isLeaving).flatMap(({ loaded }) => [...loaded.keys()]),
      ),
    getPlan: () => stored.plan,
    getMaxConcurrentLoads: () => maxConcurrentLoads,
  };
}

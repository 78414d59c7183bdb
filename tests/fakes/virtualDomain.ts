/**
 * A failure domain's controllers and engines on a virtual time: the decision code of some VMs, a fake
 * store with leases, and fake engines whose orders can be lost, late or doubled. It traps an engine
 * whose memory is overcommitted.
 */
import {
  type Command,
  CommandKind,
  type CommandOf,
  EventKind,
  type NodeEvent,
  OrderOutcome,
} from '../../src/coordination/events.js';
import { stepNode } from '../../src/coordination/handlers.js';
import { createNodeState, type NodeState } from '../../src/coordination/nodeState.js';
import { DEFAULT_POLICY } from '../../src/coordination/policy.js';
import { EMPTY_PLAN, type Order, type PlacementPlan } from '../../src/state/placementPlan.js';
import { createRandom, nextRandom, nextRandomInt } from '../../src/state/random.js';
import type { Document, LoadReport } from '../../src/state/types.js';
import { createTestHead } from './virtualFleet.js';

/** How badly things go. */
export interface DomainFaults {
  /** Part of the orders that are lost. */
  readonly loss: number;
  /** The longest delay of an order. */
  readonly maxDelayMs: number;
  readonly doubled: number;
}

export const NO_DOMAIN_FAULTS: DomainFaults = { loss: 0, maxDelayMs: 5, doubled: 0 };

const REPORT_LAG_MS = 2_000;
const LOAD_MS = 700;
const TICK_MS = 100;

/** A fake engine. */
export interface VirtualEngine {
  readonly name: string;
  readonly memoryMb: number;
  readonly checksFencing: boolean;
  readonly loaded: Map<string, number>;
  readonly loading: Map<string, number>;
  readonly seen: Set<string>;
  readonly reports: { readonly atMs: number; readonly report: LoadReport }[];
  highestFence: number;
  isLeaving: boolean;
  overcommits: number;
  loads: number;
}

export interface VirtualController {
  state: NodeState;
  isFrozen: boolean;
  isDead: boolean;
  readonly held: NodeEvent[];
}

export interface VirtualDomain {
  readonly engines: VirtualEngine[];
  readonly controllers: VirtualController[];
  readonly runFor: (durationMs: number) => void;
  readonly setFaults: (faults: DomainFaults) => void;
  readonly setStoreDown: (isDown: boolean) => void;
  readonly configure: (document: Document, revision: number) => void;
  readonly freeze: (vm: number) => void;
  readonly thaw: (vm: number) => void;
  readonly restart: (vm: number) => void;
  /** Tags that some engine which stays answers for. */
  readonly getReachable: () => Set<string>;
  readonly getPlan: () => PlacementPlan;
  readonly mostLoadsAtOnce: () => number;
}

function getUsedMb(engine: VirtualEngine): number {
  const sizes = new Map([...engine.loaded, ...engine.loading]);
  return [...sizes.values()].reduce((sum, mb) => sum + mb, 0);
}

/** Creates a failure domain `fd-a` with some VMs that can be its controller. */
export function createVirtualDomain(document: Document, vms: number, seed: number): VirtualDomain {
  const random = createRandom(seed);
  const schedule = new Map<number, (() => void)[]>();
  let nowMs = 1_000;
  let faults = NO_DOMAIN_FAULTS;
  let isStoreDown = false;
  let current = { document, revision: 1 };
  let stored = { plan: EMPTY_PLAN, version: 0 };
  let lease: { holder: string; fence: number; endsAtMs: number } | null = null;
  let storeVersion = 0;
  let starts = 0;
  let mostLoads = 0;

  const at = (delayMs: number, action: () => void): void => {
    const time = nowMs + Math.max(1, Math.round(delayMs));
    schedule.set(time, [...(schedule.get(time) ?? []), action]);
  };

  const createEngine = (server: Document['vms']['backendServers'][number]): VirtualEngine => ({
    name: server.name,
    memoryMb: server.memoryMb,
    checksFencing: server.checksFencing,
    loaded: new Map(),
    loading: new Map(),
    seen: new Set(),
    reports: [],
    highestFence: 0,
    isLeaving: false,
    overcommits: 0,
    loads: 0,
  });
  const engines = document.vms.backendServers.map(createEngine);
  const byName = new Map(engines.map((engine) => [engine.name, engine]));

  const createState = (index: number): NodeState => {
    starts += 1;
    const self = {
      vmId: `vm-${index}`,
      incarnation: String(starts),
      failureDomain: 'fd-a',
      peerAddress: `vm-${index}`,
      firstHeartbeat: starts,
    };
    return createNodeState(self, DEFAULT_POLICY, seed + starts, nowMs);
  };
  const controllers: VirtualController[] = Array.from({ length: vms }, (_, index) => ({
    state: createState(index),
    isFrozen: false,
    isDead: false,
    held: [],
  }));

  const createReport = (engine: VirtualEngine): LoadReport => ({
    runningRequests: 0,
    queuedRequests: 0,
    usedMemoryMb: getUsedMb(engine),
    loadedModels: [...engine.loaded.keys()],
    loadingModels: [...engine.loading.keys()],
    leaving: engine.isLeaving,
  });

  const applyOrder = (engine: VirtualEngine, order: Order): void => {
    if (order.kind === 'unload') {
      engine.loaded.delete(order.tag);
      return;
    }
    engine.loads += 1;
    engine.loading.set(order.tag, order.memoryMb);
    engine.overcommits += getUsedMb(engine) > engine.memoryMb ? 1 : 0;
    const loading = engines.reduce((sum, { loading: tags }) => sum + tags.size, 0);
    mostLoads = Math.max(mostLoads, loading);
    at(LOAD_MS, () => {
      engine.loading.delete(order.tag);
      engine.loaded.set(order.tag, order.memoryMb);
    });
  };

  const receiveOrder = (engine: VirtualEngine, order: Order, fence: number): OrderOutcome => {
    if (engine.checksFencing && fence < engine.highestFence) {
      return OrderOutcome.Fenced;
    }
    engine.highestFence = Math.max(engine.highestFence, fence);
    if (!engine.seen.has(order.orderId)) {
      engine.seen.add(order.orderId);
      applyOrder(engine, order);
    }
    return OrderOutcome.Accepted;
  };

  let carryOut = (_vm: VirtualController, _command: Command): void => {};

  const post = (vm: VirtualController, event: NodeEvent): void => {
    if (vm.isDead) {
      return;
    }
    if (vm.isFrozen) {
      vm.held.push(event);
      return;
    }
    stepNode(vm.state, event, nowMs).forEach((command) => carryOut(vm, command));
  };

  const postLater = (vm: VirtualController, delayMs: number, event: NodeEvent): void => {
    const { incarnation } = vm.state.self;
    at(delayMs, () => {
      if (vm.state.self.incarnation === incarnation) {
        post(vm, event);
      }
    });
  };

  const sendOrder = (
    vm: VirtualController,
    { fence, order, server }: CommandOf<typeof CommandKind.SendOrder>,
  ): void => {
    const engine = byName.get(server);
    const copies = nextRandom(random) < faults.doubled ? 2 : 1;
    for (let i = 0; i < copies; i += 1) {
      if (engine === undefined || nextRandom(random) < faults.loss) {
        postLater(vm, 50, {
          kind: EventKind.OrderAnswered,
          server,
          orderId: order.orderId,
          outcome: OrderOutcome.Lost,
        });
      } else {
        at(nextRandomInt(random, faults.maxDelayMs), () => {
          const outcome = receiveOrder(engine, order, fence);
          const { orderId } = order;
          postLater(vm, 1, { kind: EventKind.OrderAnswered, server, orderId, outcome });
        });
      }
    }
  };

  const keepLease = (
    vm: VirtualController,
    { sentAtMs, ttlMs }: CommandOf<typeof CommandKind.KeepControllerLease>,
  ): void => {
    const { incarnation } = vm.state.self;
    const kind = EventKind.ControllerLeaseAnswered;
    if (isStoreDown) {
      postLater(vm, 10, { kind, fence: null, isLost: false, sentAtMs });
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
    postLater(vm, 2, { kind, fence, isLost: !isOwn, sentAtMs });
  };

  const EXECUTORS: {
    readonly [K in CommandKind]?: (vm: VirtualController, command: CommandOf<K>) => void;
  } = {
    [CommandKind.SendOrder]: sendOrder,
    [CommandKind.KeepControllerLease]: keepLease,
    [CommandKind.ReadPlan]: (vm) => {
      const { plan, version } = stored;
      if (!isStoreDown) {
        postLater(vm, 2, { kind: EventKind.PlanRead, plan, version });
      }
    },
    [CommandKind.WritePlan]: (vm, { expectedVersion, plan }) => {
      const isWritten = !isStoreDown && stored.version === expectedVersion;
      if (isWritten) {
        storeVersion += 1;
        stored = { plan, version: storeVersion };
      }
      // Some answers are lost although the write took effect.
      const isAnswered = isWritten && nextRandom(random) >= faults.loss;
      const version = isAnswered ? stored.version : null;
      postLater(vm, 2, { kind: EventKind.PlanWriteAnswered, plan, version });
    },
    [CommandKind.StartTimer]: (vm, { delayMs, event }) => postLater(vm, delayMs, event),
  };

  carryOut = (vm, command) => {
    const executor = EXECUTORS[command.kind] as
      ((v: VirtualController, c: Command) => void) | undefined;
    executor?.(vm, command);
  };

  const startVm = (vm: VirtualController): void => {
    const head = createTestHead(current.revision);
    post(vm, { kind: EventKind.ConfigurationReceived, head, document: current.document });
    post(vm, { kind: EventKind.ControllerTick });
    post(vm, { kind: EventKind.GossipTick });
  };

  const exchangeReports = (): void => {
    engines.forEach((engine) => {
      engine.reports.push({ atMs: nowMs, report: createReport(engine) });
      const limitMs = nowMs - REPORT_LAG_MS;
      while (engine.reports.length > 1 && engine.reports[1]!.atMs <= limitMs) {
        engine.reports.shift();
      }
      const { report } = engine.reports[0]!;
      controllers.forEach((vm) =>
        post(vm, { kind: EventKind.LoadReported, server: engine.name, report }),
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
        const actions = schedule.get(nowMs) ?? [];
        schedule.delete(nowMs);
        actions.forEach((action) => action());
        if (nowMs % TICK_MS === 0) {
          exchangeReports();
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
        post(vm, { kind: EventKind.ConfigurationReceived, head, document: nextDocument }),
      );
    },
    freeze: (vm) => {
      controllers[vm]!.isFrozen = true;
    },
    thaw: (vm) => {
      const controller = controllers[vm]!;
      controller.isFrozen = false;
      controller.held.splice(0).forEach((event) => post(controller, event));
    },
    restart: (index) => {
      const vm = controllers[index]!;
      vm.state = createState(index);
      vm.held.splice(0);
      vm.isFrozen = false;
      startVm(vm);
    },
    getReachable: () =>
      new Set(
        engines.filter(({ isLeaving }) => !isLeaving).flatMap(({ loaded }) => [...loaded.keys()]),
      ),
    getPlan: () => stored.plan,
    mostLoadsAtOnce: () => mostLoads,
  };
}

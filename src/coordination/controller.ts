/**
 * Runs the controller of a failure domain: the one VM that holds a lease in the store and places models on
 * the engines of the domain.
 *
 * The fencing token is the version of the lease's key. A new controller first writes the plan with its own
 * token; after that write the previous controller cannot write the plan and so cannot issue new orders.
 * Orders that the previous controller had written are sent again with their original ids until the engine
 * accepts them.
 */
import type { Configuration } from '../state/configuration.js';
import {
  getServerPlan,
  OrderKind,
  type PlacementPlan,
  replaceServerPlan,
  applyAcceptedOrder,
} from '../state/placementPlan.js';
import type { WeightStore } from '../state/types.js';
import {
  reconcileWithReport,
  findLocalEngines,
  findTagsServedElsewhere,
  getMemoryByTag,
  hasFreshReport,
  createEngineView,
} from './engineReports.js';
import {
  type Command,
  CommandKind,
  createLog,
  createTickTimer,
  EventKind,
  type EventOf,
  LogLevel,
  OrderOutcome,
  LogPrefix,
} from './events.js';
import { findLiveDomainMembers } from './members.js';
import { Lifecycle, type VmState } from './vmState.js';
import { planPlacement } from './placement.js';

/** Fraction of the lease's time to live after which the holder no longer relies on the lease. */
const LEASE_VALIDITY_FRACTION = 0.7;
const MS_PER_SECOND = 1000;

/** Returns whether this VM holds the controller lease and may still rely on it, and so may send orders. */
export function isController(state: VmState, nowMs: number): boolean {
  const { controller } = state;
  return controller.fence !== null && nowMs < controller.leaseValidUntilMs;
}

function discardLease(state: VmState): void {
  state.controller.fence = null;
  state.controller.plan = null;
}

/** Discards the lease and ignores later answers that name it. */
function endTerm(state: VmState): void {
  const { controller } = state;
  controller.lowestFence =
    controller.fence === null ? controller.lowestFence : controller.fence + 1;
  discardLease(state);
}

function getRankInDomain(state: VmState, nowMs: number): number {
  return findLiveDomainMembers(state, nowMs).filter(({ vmId }) => vmId < state.self.vmId).length;
}

/**
 * Returns whether this VM may try to acquire a free lease. VMs wait longer the higher their rank, so that
 * usually only one tries.
 */
function isAcquisitionDue(state: VmState, nowMs: number): boolean {
  const { controller, policy } = state;
  const waitMs = policy.controllerAcquireIntervalMs * (1 + getRankInDomain(state, nowMs));
  return nowMs - controller.leaseRequestedAtMs >= waitMs;
}

function renewOrAcquireLease(state: VmState, nowMs: number): Command[] {
  const { controller, policy, self } = state;
  const isRunning = state.lifecycle === Lifecycle.Running && state.configuration !== null;
  const isDue =
    controller.fence === null
      ? isAcquisitionDue(state, nowMs)
      : nowMs - controller.leaseRequestedAtMs >= policy.controllerRenewIntervalMs;
  if (!isRunning || !isDue) {
    return [];
  }
  controller.leaseRequestedAtMs = nowMs;
  return [
    {
      kind: CommandKind.AcquireOrRenewControllerLease,
      failureDomain: self.failureDomain,
      ttlMs: policy.controllerLeaseMs,
      isHeld: controller.fence !== null,
      sentAtMs: nowMs,
    },
  ];
}

function getWeightStore(state: VmState): WeightStore {
  return state.configuration?.document.vms.weightStore ?? state.policy.weightStore;
}

/**
 * Refills the token bucket of model loads and returns its whole tokens. The weight store's limits apply to
 * the whole fleet, so each failure domain gets an equal share of them.
 */
function refillLoadTokens(state: VmState, nowMs: number): number {
  const { controller } = state;
  const domains = state.configuration?.document.vms.failureDomains.length ?? 1;
  const elapsedMs = Math.max(0, nowMs - controller.loadAllowanceUpdatedAtMs);
  const loadsPerSecond = getWeightStore(state).loadsPerSecond / domains;
  controller.loadAllowance = Math.min(
    Math.max(1, loadsPerSecond),
    controller.loadAllowance + (loadsPerSecond * elapsedMs) / MS_PER_SECOND,
  );
  controller.loadAllowanceUpdatedAtMs = nowMs;
  return Math.floor(controller.loadAllowance);
}

function planNextOrders(
  state: VmState,
  configuration: Configuration,
  plan: PlacementPlan,
  nowMs: number,
): PlacementPlan {
  const { failureDomains } = configuration.document.vms;
  const engines = findLocalEngines(state, configuration);
  const sizes = getMemoryByTag(configuration);
  const reconciled = engines
    .filter((engine) => hasFreshReport(state, engine, nowMs))
    .map((engine) => getServerPlan(plan, engine.name))
    .reduce((current, server) => {
      const next = reconcileWithReport(state, server, sizes, nowMs);
      return next === server ? current : replaceServerPlan(current, next);
    }, plan);
  return planPlacement(reconciled, {
    failureDomain: state.self.failureDomain,
    domains: failureDomains,
    models: configuration.document.models.models,
    engines: engines.map((engine) => createEngineView(state, engine, nowMs)),
    tagsServedElsewhere: findTagsServedElsewhere(state, configuration, nowMs),
    maxConcurrentLoads: Math.max(
      1,
      Math.floor(getWeightStore(state).loadsAtOnce / failureDomains.length),
    ),
    maxNewLoads: refillLoadTokens(state, nowMs),
  });
}

function countLoadOrders(plan: PlacementPlan): number {
  return plan.servers.flatMap(({ orders }) => orders).filter(({ kind }) => kind === OrderKind.Load)
    .length;
}

/**
 * Sends every order of the plan that no engine has accepted yet, again after a retry interval. Engines
 * recognize a repeated order by its id.
 */
function sendDueOrders(state: VmState, plan: PlacementPlan, nowMs: number): Command[] {
  const { controller } = state;
  const { configuration } = state;
  if (controller.fence === null || configuration === null) {
    return [];
  }
  const { fence } = controller;
  return plan.servers.flatMap((server) => {
    const address = configuration.serversByName.get(server.name)?.address;
    return server.orders.flatMap((order): Command[] => {
      const sentAtMs = controller.orderSentAtMs.get(order.orderId);
      const isDue = sentAtMs === undefined || nowMs - sentAtMs >= state.policy.orderRetryMs;
      if (address === undefined || !isDue) {
        return [];
      }
      controller.orderSentAtMs.set(order.orderId, nowMs);
      return [{ kind: CommandKind.SendOrder, server: server.name, address, order, fence }];
    });
  });
}

function writePlan(state: VmState, plan: PlacementPlan): Command[] {
  const { controller, self } = state;
  controller.isWriting = true;
  return [
    {
      kind: CommandKind.WritePlan,
      failureDomain: self.failureDomain,
      plan,
      expectedVersion: controller.planVersion,
    },
  ];
}

function planAndSendOrders(state: VmState, nowMs: number): Command[] {
  const { configuration, controller } = state;
  if (!isController(state, nowMs) || configuration === null || controller.isWriting) {
    return [];
  }
  if (controller.plan === null) {
    return [{ kind: CommandKind.ReadPlan, failureDomain: state.self.failureDomain }];
  }
  const current = controller.plan;
  const planned = planNextOrders(state, configuration, current, nowMs);
  if (planned === current) {
    return sendDueOrders(state, current, nowMs);
  }
  controller.loadAllowance -= Math.max(0, countLoadOrders(planned) - countLoadOrders(current));
  return [...sendDueOrders(state, current, nowMs), ...writePlan(state, planned)];
}

/** Acquires or renews the lease, and plans and sends orders while this VM holds it. */
export function handleControllerTick(
  state: VmState,
  _event: EventOf<typeof EventKind.ControllerTick>,
  nowMs: number,
): Command[] {
  if (state.controller.fence !== null && nowMs >= state.controller.leaseValidUntilMs) {
    discardLease(state);
  }
  return [
    ...renewOrAcquireLease(state, nowMs),
    ...planAndSendOrders(state, nowMs),
    createTickTimer(EventKind.ControllerTick, state.policy.controllerTickMs),
  ];
}

/** Applies the result of an attempt to acquire or renew the lease. */
export function handleControllerLeaseAnswered(
  state: VmState,
  event: EventOf<typeof EventKind.ControllerLeaseAnswered>,
  nowMs: number,
): Command[] {
  const { fence, sentAtMs } = event;
  const { controller, policy } = state;
  if (event.isLost && (fence === null || fence === controller.fence)) {
    endTerm(state);
  }
  // A lease that is held remains valid until it expires, because the store may only be unreachable.
  if (fence === null || event.isLost) {
    return [];
  }
  if (fence < controller.lowestFence) {
    return [];
  }
  const isNew = controller.fence !== fence;
  const validUntilMs = sentAtMs + policy.controllerLeaseMs * LEASE_VALIDITY_FRACTION;
  controller.fence = fence;
  controller.lowestFence = fence;
  controller.leaseValidUntilMs = isNew
    ? validUntilMs
    : Math.max(controller.leaseValidUntilMs, validUntilMs);
  if (!isNew) {
    return [];
  }
  controller.plan = null;
  controller.isWriting = false;
  const text = 'This VM is the controller of its failure domain.';
  return [
    createLog(LogLevel.Info, LogPrefix.Placement, text, { fence }),
    ...planAndSendOrders(state, nowMs),
  ];
}

/**
 * Takes over the plan of the previous controller by writing it with this VM's fencing token before any order
 * is sent.
 */
export function handlePlanRead(
  state: VmState,
  event: EventOf<typeof EventKind.PlanRead>,
  nowMs: number,
): Command[] {
  const { controller } = state;
  const { plan, version } = event;
  if (!isController(state, nowMs) || controller.plan !== null || controller.isWriting) {
    return [];
  }
  controller.planVersion = version;
  if (plan.fence > controller.fence!) {
    endTerm(state);
    return [];
  }
  return writePlan(state, { ...plan, fence: controller.fence! });
}

/**
 * Sends the orders of a plan that has been written. A plan whose write failed or may have failed is read
 * again.
 */
export function handlePlanWriteAnswered(
  state: VmState,
  event: EventOf<typeof EventKind.PlanWriteAnswered>,
  nowMs: number,
): Command[] {
  const { controller } = state;
  controller.isWriting = false;
  if (event.version === null) {
    controller.plan = null;
    return [];
  }
  if (event.plan.fence !== controller.fence) {
    return [];
  }
  controller.plan = event.plan;
  controller.planVersion = event.version;
  return isController(state, nowMs) ? sendDueOrders(state, event.plan, nowMs) : [];
}

function handleAcceptedOrder(
  state: VmState,
  server: string,
  orderId: string,
  nowMs: number,
): Command[] {
  const { controller } = state;
  if (controller.plan === null || controller.isWriting) {
    // The order is sent again later and so answered again.
    return [];
  }
  const order = getServerPlan(controller.plan, server).orders.find((o) => o.orderId === orderId);
  const updated = applyAcceptedOrder(controller.plan, server, orderId);
  if (order === undefined || updated === controller.plan) {
    return [];
  }
  if (order.kind === OrderKind.Unload) {
    controller.unloadedAtMs.set(`${server} ${order.tag}`, nowMs);
  }
  controller.orderSentAtMs.delete(orderId);
  return writePlan(state, updated);
}

type OutcomeHandler = (
  state: VmState,
  event: EventOf<typeof EventKind.OrderAnswered>,
  nowMs: number,
) => Command[];

const OUTCOME_HANDLERS: Readonly<Record<OrderOutcome, OutcomeHandler>> = {
  [OrderOutcome.Accepted]: (state, { orderId, server }, nowMs) =>
    handleAcceptedOrder(state, server, orderId, nowMs),
  // Another controller has a higher fencing token, unless the order belongs to an earlier term of this VM.
  [OrderOutcome.Fenced]: (state, { fence, server }) => {
    if (fence !== state.controller.fence) {
      return [];
    }
    endTerm(state);
    const text = 'An engine rejected an order because of an outdated fencing token.';
    return [createLog(LogLevel.Warn, LogPrefix.Placement, text, { server })];
  },
  // The order may still take effect, so it stays in the plan and is sent again.
  [OrderOutcome.Unconfirmed]: () => [],
};

/** Applies the result of an order that was sent to an engine. */
export function handleOrderAnswered(
  state: VmState,
  event: EventOf<typeof EventKind.OrderAnswered>,
  nowMs: number,
): Command[] {
  return isController(state, nowMs) ? OUTCOME_HANDLERS[event.outcome](state, event, nowMs) : [];
}

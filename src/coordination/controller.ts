/**
 * The controller of a failure domain: one VM, chosen by a lease in the store, that places models on the
 * engines there.
 *
 * The fencing number is the version of the lease's key. A new controller first writes the plan under
 * its own number; from then on the one before cannot write, and so cannot order anything new. Orders
 * that it had written are sent again under their own ids until the engine has taken them.
 */
import type { Configuration } from '../state/configuration.js';
import {
  getServerPlan,
  OrderKind,
  type PlacementPlan,
  setServerPlan,
  settleOrder,
} from '../state/placementPlan.js';
import type { WeightStore } from '../state/types.js';
import {
  adoptReports,
  findOwnEngines,
  findReportedElsewhere,
  findSizes,
  isFresh,
  viewEngine,
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
  Part,
} from './events.js';
import { findDomainMembers } from './members.js';
import { Lifecycle, type NodeState } from './nodeState.js';
import { planPlacement } from './placement.js';

/** Part of the lease's time after which its holder no longer relies on it. */
const LEASE_SAFETY = 0.7;
const MS_PER_SECOND = 1000;

/** Tells whether this VM may order engines now. */
export function isController(state: NodeState, nowMs: number): boolean {
  const { controller } = state;
  return controller.fence !== null && nowMs < controller.validUntilMs;
}

function loseLease(state: NodeState): void {
  state.controller.fence = null;
  state.controller.plan = null;
}

function getRank(state: NodeState, nowMs: number): number {
  return findDomainMembers(state, nowMs).filter(({ vmId }) => vmId < state.self.vmId).length;
}

/** VMs try for a free lease in the order of their rank, so that one mostly does. */
function isAttemptDue(state: NodeState, nowMs: number): boolean {
  const { controller, policy } = state;
  const waitMs = policy.controllerTryMs * (1 + getRank(state, nowMs));
  return nowMs - controller.triedAtMs >= waitMs;
}

function renewOrAcquire(state: NodeState, nowMs: number): Command[] {
  const { controller, policy, self } = state;
  const isRunning = state.lifecycle === Lifecycle.Running && state.configuration !== null;
  const isDue =
    controller.fence === null
      ? isAttemptDue(state, nowMs)
      : nowMs - controller.triedAtMs >= policy.controllerRenewMs;
  if (!isRunning || !isDue) {
    return [];
  }
  controller.triedAtMs = nowMs;
  return [
    {
      kind: CommandKind.KeepControllerLease,
      failureDomain: self.failureDomain,
      ttlMs: policy.controllerLeaseMs,
      isHeld: controller.fence !== null,
      sentAtMs: nowMs,
    },
  ];
}

function getWeightStore(state: NodeState): WeightStore {
  return state.configuration?.document.vms.weightStore ?? state.policy.weightStore;
}

/** The weight store's limits hold over the fleet, so each failure domain has an equal part of them. */
function takeLoadAllowance(state: NodeState, nowMs: number): number {
  const { controller } = state;
  const domains = state.configuration?.document.vms.failureDomains.length ?? 1;
  const elapsedMs = Math.max(0, nowMs - controller.allowanceAtMs);
  const perSecond = getWeightStore(state).loadsPerSecond / domains;
  controller.allowance = Math.min(
    Math.max(1, perSecond),
    controller.allowance + (perSecond * elapsedMs) / MS_PER_SECOND,
  );
  controller.allowanceAtMs = nowMs;
  return Math.floor(controller.allowance);
}

function planNext(
  state: NodeState,
  configuration: Configuration,
  plan: PlacementPlan,
  nowMs: number,
): PlacementPlan {
  const { failureDomains } = configuration.document.vms;
  const engines = findOwnEngines(state, configuration);
  const sizes = findSizes(configuration);
  const adopted = engines
    .filter((engine) => isFresh(state, engine, nowMs))
    .map((engine) => getServerPlan(plan, engine.name))
    .reduce((current, server) => {
      const next = adoptReports(state, server, sizes, nowMs);
      return next === server ? current : setServerPlan(current, next);
    }, plan);
  return planPlacement(adopted, {
    failureDomain: state.self.failureDomain,
    domains: failureDomains,
    models: configuration.document.models.models,
    engines: engines.map((engine) => viewEngine(state, engine, nowMs)),
    reportedElsewhere: findReportedElsewhere(state, configuration, nowMs),
    maxOpenLoads: Math.max(
      1,
      Math.floor(getWeightStore(state).loadsAtOnce / failureDomains.length),
    ),
    maxNewLoads: takeLoadAllowance(state, nowMs),
  });
}

function countLoads(plan: PlacementPlan): number {
  return plan.servers.flatMap(({ orders }) => orders).filter(({ kind }) => kind === OrderKind.Load)
    .length;
}

/** Sends every order of the plan that has not been answered; its id makes it safe to send again. */
function sendOrders(state: NodeState, plan: PlacementPlan, nowMs: number): Command[] {
  const { controller } = state;
  const { configuration } = state;
  if (controller.fence === null || configuration === null) {
    return [];
  }
  const { fence } = controller;
  return plan.servers.flatMap((server) => {
    const address = configuration.serversByName.get(server.name)?.address;
    return server.orders.flatMap((order): Command[] => {
      const sentAtMs = controller.sentAtMs.get(order.orderId);
      const isDue = sentAtMs === undefined || nowMs - sentAtMs >= state.policy.orderRetryMs;
      if (address === undefined || !isDue) {
        return [];
      }
      controller.sentAtMs.set(order.orderId, nowMs);
      return [{ kind: CommandKind.SendOrder, server: server.name, address, order, fence }];
    });
  });
}

function writePlan(state: NodeState, plan: PlacementPlan): Command[] {
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

function stepController(state: NodeState, nowMs: number): Command[] {
  const { configuration, controller } = state;
  if (!isController(state, nowMs) || configuration === null || controller.isWriting) {
    return [];
  }
  if (controller.plan === null) {
    return [{ kind: CommandKind.ReadPlan, failureDomain: state.self.failureDomain }];
  }
  const before = controller.plan;
  const planned = planNext(state, configuration, before, nowMs);
  if (planned === before) {
    return sendOrders(state, before, nowMs);
  }
  controller.allowance -= Math.max(0, countLoads(planned) - countLoads(before));
  return [...sendOrders(state, before, nowMs), ...writePlan(state, planned)];
}

/** Keeps or tries for the lease, and does the controller's work while it is held. */
export function handleControllerTick(
  state: NodeState,
  _event: EventOf<typeof EventKind.ControllerTick>,
  nowMs: number,
): Command[] {
  if (state.controller.fence !== null && nowMs >= state.controller.validUntilMs) {
    loseLease(state);
  }
  return [
    ...renewOrAcquire(state, nowMs),
    ...stepController(state, nowMs),
    createTickTimer(EventKind.ControllerTick, state.policy.controllerTickMs),
  ];
}

/** Takes the outcome of an attempt at the lease. */
export function handleControllerLeaseAnswered(
  state: NodeState,
  event: EventOf<typeof EventKind.ControllerLeaseAnswered>,
  nowMs: number,
): Command[] {
  const { fence, sentAtMs } = event;
  const { controller, policy } = state;
  if (fence === null) {
    // A lease that is held goes on to its end: the store may only be out of reach.
    if (event.isLost) {
      loseLease(state);
    }
    return [];
  }
  const isNew = controller.fence !== fence;
  controller.fence = fence;
  controller.validUntilMs = sentAtMs + policy.controllerLeaseMs * LEASE_SAFETY;
  if (!isNew) {
    return [];
  }
  controller.plan = null;
  controller.isWriting = false;
  const text = 'This VM is the controller of its failure domain.';
  return [
    createLog(LogLevel.Info, Part.Placement, text, { fence }),
    ...stepController(state, nowMs),
  ];
}

/** Takes over a plan: writes it under the own fencing number before anything else. */
export function handlePlanRead(
  state: NodeState,
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
    loseLease(state);
    return [];
  }
  return writePlan(state, { ...plan, fence: controller.fence! });
}

/** Sends what has been written. A plan that may not have been written is read again. */
export function handlePlanWriteAnswered(
  state: NodeState,
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
  return isController(state, nowMs) ? sendOrders(state, event.plan, nowMs) : [];
}

function settle(state: NodeState, server: string, orderId: string, nowMs: number): Command[] {
  const { controller } = state;
  if (controller.plan === null || controller.isWriting) {
    // The order is sent again and answered again.
    return [];
  }
  const order = getServerPlan(controller.plan, server).orders.find((o) => o.orderId === orderId);
  const settled = settleOrder(controller.plan, server, orderId);
  if (order === undefined || settled === controller.plan) {
    return [];
  }
  if (order.kind === OrderKind.Unload) {
    controller.unloadedAtMs.set(`${server} ${order.tag}`, nowMs);
  }
  controller.sentAtMs.delete(orderId);
  return writePlan(state, settled);
}

type OutcomeHandler = (
  state: NodeState,
  event: EventOf<typeof EventKind.OrderAnswered>,
  nowMs: number,
) => Command[];

const OUTCOME_HANDLERS: Readonly<Record<OrderOutcome, OutcomeHandler>> = {
  [OrderOutcome.Accepted]: (state, { orderId, server }, nowMs) =>
    settle(state, server, orderId, nowMs),
  // Another controller has a higher number.
  [OrderOutcome.Fenced]: (state, { server }) => {
    loseLease(state);
    const text = 'An engine refused an order of this controller as outdated.';
    return [createLog(LogLevel.Warn, Part.Placement, text, { server })];
  },
  // It may still take effect, so it stays in the plan and is sent again.
  [OrderOutcome.Lost]: () => [],
};

/** Takes an engine's answer to an order. */
export function handleOrderAnswered(
  state: NodeState,
  event: EventOf<typeof EventKind.OrderAnswered>,
  nowMs: number,
): Command[] {
  return isController(state, nowMs) ? OUTCOME_HANDLERS[event.outcome](state, event, nowMs) : [];
}

/**
 * Sends orders to engines, one at a time for each engine. Each order carries the number of orders
 * that the engine must have accepted before, so that one that arrives late cannot act on a state
 * that it was not meant for.
 */
import type { BackendEntry } from '../../../state/entry/backends.js';
import { LogLevel } from '../../events.js';
import {
  createEntryLog,
  type EntryCommand,
  EntryCommandKind,
  EntryLogPrefix,
} from '../commands.js';
import { EngineOrderOutcome, OrderAction } from '../engineOrder.js';
import { type EntryEventKind, type EntryEventOf } from '../events.js';
import {
  advanceReservation,
  createEngineControl,
  type EngineControl,
  mergeReport,
  reconcileEntry,
  reserveMemory,
  type PendingOrder,
} from './placementState.js';
import { isPaused } from '../servers/serverPauses.js';
import { type EntryState } from '../state.js';

/**
 * Minimum time between two report requests to an engine: a report costs as much as a health check.
 */
const MIN_REPORT_INTERVAL_MS = 400;
/**
 * A model order without a visible effect is checked by a report after this time: twice the longest
 * load.
 */
const MODEL_CHANGE_TIMEOUT_MS = 15_000;

/** Returns whether this VM may send orders now. */
export function canSendOrders(state: EntryState, nowMs: number): boolean {
  const { fence, leaseValidUntilMs, mayOrderFromMs, refusedFence } = state.placement;
  return (
    fence !== null && fence !== refusedFence && nowMs >= mayOrderFromMs && nowMs < leaseValidUntilMs
  );
}

/**
 * Reserves memory for the model that an earlier controller ordered or was about to order: the engine reports only that
 * it is busy, and the model would be loaded on another one as well.
 */
function inheritReservation(state: EntryState, control: EngineControl, nowMs: number): void {
  const { backendId, bornAtWallMs, models } = control;
  const inherited = state.board?.engines.find((engine) => engine.backendId === backendId);
  const model = inherited?.incomingModel ?? null;
  if (model !== null && inherited?.bornAtWallMs === bornAtWallMs && !models.has(model)) {
    reserveMemory(control, model, nowMs);
  }
}

/** Updates the tracked state of all engines from their entries in the store, and returns it. */
export function syncEngines(state: EntryState, nowMs: number): EngineControl[] {
  const { engines } = state.placement;
  const isEngine = ({ service }: BackendEntry): boolean =>
    (state.deployment?.servicesByName.get(service)?.engine ?? null) !== null;
  const backends = [...state.backends.values()].filter(({ entry }) => isEngine(entry));
  const ids = new Set(backends.map(({ entry }) => entry.id));
  [...engines.keys()].filter((id) => !ids.has(id)).forEach((id) => engines.delete(id));
  backends.forEach(({ entry, revision }) => {
    const existing = engines.get(entry.id);
    if (existing?.bornAtWallMs !== entry.bornAtWallMs) {
      const control = createEngineControl(entry);
      inheritReservation(state, control, nowMs);
      engines.set(entry.id, control);
    } else {
      reconcileEntry(existing, entry, revision, nowMs);
    }
  });
  return [...engines.values()];
}

/** Sends an order. The engine must have no other order without an answer. */
export function sendEngineOrder(
  state: EntryState,
  control: EngineControl,
  action: OrderAction,
  target: { readonly model: string; readonly adapter: string | null; readonly reason: string },
  nowMs: number,
): EntryCommand[] {
  const { adapter, model, reason } = target;
  const backend = state.backends.get(control.backendId)!;
  const order = { action, model, adapter, expectedOrderCount: control.orderCount };
  control.pending = { order, sentAtMs: nowMs, entryRevision: backend.revision };
  return [
    {
      kind: EntryCommandKind.SendOrder,
      backendId: control.backendId,
      bornAtWallMs: control.bornAtWallMs,
      address: backend.entry.address,
      order,
      fence: state.placement.fence!,
      validUntilMs: state.placement.leaseValidUntilMs,
    },
    createEntryLog(LogLevel.Info, EntryLogPrefix.Placement, 'Sent an order to an engine.', {
      server: control.backendId,
      action,
      model,
      adapter: adapter ?? '',
      reason,
      orderCount: control.orderCount,
      fence: state.placement.fence!,
    }),
  ];
}

function recordOrderEffect(control: EngineControl, pending: PendingOrder, nowMs: number): void {
  const { entryRevision, order } = pending;
  const { action, adapter, model } = order;
  const isLoad = action === OrderAction.Load;
  if (adapter === null) {
    control.change = { model, isLoad, orderedAtMs: nowMs, entryRevision };
    advanceReservation(control, isLoad, nowMs);
    control.changedAtMs = nowMs;
    return;
  }
  const adapters = control.models.get(model);
  if (isLoad) {
    adapters?.add(adapter);
    control.adapterUsedAtMs.set(`${model}/${adapter}`, nowMs);
  } else {
    adapters?.delete(adapter);
    control.adapterUsedAtMs.delete(`${model}/${adapter}`);
  }
}

/**
 * Discards orders with an unknown outcome that can no longer take effect, since the engine has
 * accepted later ones.
 */
function discardSupersededOrders(control: EngineControl): void {
  control.unconfirmedOrders = control.unconfirmedOrders.filter(
    ({ expectedOrderCount }) => expectedOrderCount >= control.orderCount,
  );
}

type OutcomeHandler = (
  state: EntryState,
  control: EngineControl,
  pending: PendingOrder,
  nowMs: number,
) => void;

const handleAccepted: OutcomeHandler = (_state, control, pending, nowMs) => {
  control.orderCount = Math.max(control.orderCount, pending.order.expectedOrderCount + 1);
  discardSupersededOrders(control);
  recordOrderEffect(control, pending, nowMs);
};

const handleDone: OutcomeHandler = (_state, control, pending, nowMs) => {
  const { action, adapter, expectedOrderCount } = pending.order;
  if (adapter === null) {
    // If the engine was already in the requested state, only the next report shows whether the order was counted.
    control.needsReport = true;
    return;
  }
  recordOrderEffect(control, pending, nowMs);
  if (action === OrderAction.Unload) {
    // An engine immediately unloads an adapter that is not in use, and counts the order.
    control.orderCount = Math.max(control.orderCount, expectedOrderCount + 1);
  }
};

const requireReport: OutcomeHandler = (_state, control) => {
  control.needsReport = true;
};

const handleRejected: OutcomeHandler = (_state, control, { order }, nowMs) => {
  control.orderFailedAtMs = order.adapter === null ? nowMs : control.orderFailedAtMs;
  control.needsReport = true;
};

const handleUnknown: OutcomeHandler = (state, control, pending, nowMs) => {
  handleRejected(state, control, pending, nowMs);
  control.unconfirmedOrders.push(pending.order);
};

const handleFenced: OutcomeHandler = (state) => {
  state.placement.refusedFence = state.placement.fence;
};

const OUTCOME_HANDLERS: Readonly<Record<EngineOrderOutcome, OutcomeHandler>> = {
  [EngineOrderOutcome.Accepted]: handleAccepted,
  [EngineOrderOutcome.Done]: handleDone,
  [EngineOrderOutcome.Conflict]: requireReport,
  [EngineOrderOutcome.Fenced]: handleFenced,
  [EngineOrderOutcome.Rejected]: handleRejected,
  [EngineOrderOutcome.Unknown]: handleUnknown,
};

/** Processes the outcome of an order. */
export function processOrderOutcome(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.OrderAnswered>,
  nowMs: number,
): EntryCommand[] {
  const { backendId, order, outcome } = event;
  const control = state.placement.engines.get(backendId);
  if (control?.pending?.order !== order) {
    return [];
  }
  const { pending } = control;
  control.pending = null;
  OUTCOME_HANDLERS[outcome](state, control, pending, nowMs);
  return [
    createEntryLog(
      LogLevel.Info,
      EntryLogPrefix.Placement,
      'Received the outcome of an engine order.',
      {
        server: backendId,
        action: order.action,
        model: order.model,
        adapter: order.adapter ?? '',
        outcome,
        orderCount: control.orderCount,
      },
    ),
  ];
}

/** Requests a report from each engine whose state is uncertain. */
export function requestReports(
  state: EntryState,
  controls: readonly EngineControl[],
  nowMs: number,
): EntryCommand[] {
  return controls.flatMap((control) => {
    const backend = state.backends.get(control.backendId);
    const isOverdue =
      control.change !== null && nowMs - control.change.orderedAtMs > MODEL_CHANGE_TIMEOUT_MS;
    const isDue = nowMs - control.reportRequestedAtMs >= MIN_REPORT_INTERVAL_MS;
    const isNeeded = control.needsReport || isOverdue;
    if (backend === undefined || !isNeeded || !isDue || isPaused(backend, nowMs)) {
      return [];
    }
    control.reportRequestedAtMs = nowMs;
    const { address } = backend.entry;
    const { backendId, bornAtWallMs } = control;
    return [{ kind: EntryCommandKind.ReadEngineReport, backendId, bornAtWallMs, address }];
  });
}

/** Updates the state of an engine from its report. */
export function processEngineReport(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.EngineReported>,
  nowMs: number,
): EntryCommand[] {
  const { backendId, report } = event;
  const control = state.placement.engines.get(backendId);
  if (control === undefined || report === null || report.orderCount < control.orderCount) {
    return [];
  }
  mergeReport(control, report, nowMs);
  return [
    createEntryLog(
      LogLevel.Info,
      EntryLogPrefix.Placement,
      'Received a state report from an engine.',
      {
        server: backendId,
        orderCount: report.orderCount,
        isBusy: report.isBusy,
        models: report.models.map(({ name }) => name).join(' '),
      },
    ),
  ];
}

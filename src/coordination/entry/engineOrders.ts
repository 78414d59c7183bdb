/**
 * Orders to engines: one at a time for each engine, each with the count of orders that it follows, so that
 * one that is carried out late cannot act on a state that it was not meant for.
 */
import type { BackendEntry } from '../../state/entry/backends.js';
import { LogLevel } from '../events.js';
import { createEntryLog, type EntryCommand, EntryCommandKind, EntryPart } from './commands.js';
import {
  EngineOrderOutcome,
  type EntryEventKind,
  type EntryEventOf,
  OrderAction,
} from './events.js';
import {
  createEngineControl,
  type EngineControl,
  mergeReport,
  noteEntry,
  type PendingOrder,
} from './placementState.js';
import { type EntryState } from './state.js';

/** An engine is not asked for its state more often: a report costs as much as a health check. */
const REPORT_INTERVAL_MS = 400;
/** A model order that shows no effect for this time is checked by a report: the longest load, twice. */
const CHANGE_CHECK_MS = 15_000;

/** Tells whether this VM may give orders now. */
export function mayOrder(state: EntryState, nowMs: number): boolean {
  const { fence, heldUntilMs, mayOrderFromMs, refusedFence } = state.placement;
  return fence !== null && fence !== refusedFence && nowMs >= mayOrderFromMs && nowMs < heldUntilMs;
}

/** Returns the controls of all engines, in step with their entries. */
export function syncEngines(state: EntryState, nowMs: number): EngineControl[] {
  const { engines } = state.placement;
  const isEngine = ({ service }: BackendEntry): boolean =>
    (state.deployment?.servicesByName.get(service)?.engine ?? null) !== null;
  const backends = [...state.backends.values()].filter(({ entry }) => isEngine(entry));
  const ids = new Set(backends.map(({ entry }) => entry.id));
  [...engines.keys()].filter((id) => !ids.has(id)).forEach((id) => engines.delete(id));
  backends.forEach(({ entry, revision }) => {
    const known = engines.get(entry.id);
    if (known?.bornAtWallMs !== entry.bornAtWallMs) {
      engines.set(entry.id, createEngineControl(entry));
    } else {
      noteEntry(known, entry, revision, nowMs);
    }
  });
  return [...engines.values()];
}

/** Sends an order; the engine must have no other that is unanswered. */
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
      address: backend.entry.address,
      order,
      fence: state.placement.fence!,
      validUntilMs: state.placement.heldUntilMs,
    },
    createEntryLog(LogLevel.Info, EntryPart.Placement, 'An order is given.', {
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

function applyOrder(control: EngineControl, pending: PendingOrder, nowMs: number): void {
  const { entryRevision, order } = pending;
  const { action, adapter, model } = order;
  const isLoad = action === OrderAction.Load;
  if (adapter === null) {
    control.change = { model, isLoad, orderedAtMs: nowMs, entryRevision };
    control.intent = isLoad ? null : control.intent;
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

/** Forgets orders without an answer that can no longer take effect: the engine has accepted others since. */
function dropOvertaken(control: EngineControl): void {
  control.doubtful = control.doubtful.filter(
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
  dropOvertaken(control);
  applyOrder(control, pending, nowMs);
};

const handleDone: OutcomeHandler = (_state, control, pending, nowMs) => {
  const { action, adapter, expectedOrderCount } = pending.order;
  if (adapter === null) {
    // Whether an order that holds already was counted shows in the next report only.
    control.needsReport = true;
    return;
  }
  applyOrder(control, pending, nowMs);
  if (action === OrderAction.Unload) {
    // An adapter that nothing uses is dropped at once, and the order is counted.
    control.orderCount = Math.max(control.orderCount, expectedOrderCount + 1);
  }
};

const askAgain: OutcomeHandler = (_state, control) => {
  control.needsReport = true;
};

const handleUnknown: OutcomeHandler = (_state, control, { order }) => {
  control.doubtful.push(order);
  control.needsReport = true;
};

const handleFenced: OutcomeHandler = (state) => {
  state.placement.refusedFence = state.placement.fence;
};

const OUTCOME_HANDLERS: Readonly<Record<EngineOrderOutcome, OutcomeHandler>> = {
  [EngineOrderOutcome.Accepted]: handleAccepted,
  [EngineOrderOutcome.Done]: handleDone,
  [EngineOrderOutcome.Conflict]: askAgain,
  [EngineOrderOutcome.Fenced]: handleFenced,
  [EngineOrderOutcome.Rejected]: askAgain,
  [EngineOrderOutcome.Unknown]: handleUnknown,
};

/** Takes note of what became of an order. */
export function noteOrderAnswer(
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
    createEntryLog(LogLevel.Info, EntryPart.Placement, 'An order was answered.', {
      server: backendId,
      action: order.action,
      model: order.model,
      adapter: order.adapter ?? '',
      outcome,
      orderCount: control.orderCount,
    }),
  ];
}

/** Asks the engines whose state is in doubt. */
export function askForReports(
  state: EntryState,
  controls: readonly EngineControl[],
  nowMs: number,
): EntryCommand[] {
  return controls.flatMap((control) => {
    const backend = state.backends.get(control.backendId);
    const isOverdue =
      control.change !== null && nowMs - control.change.orderedAtMs > CHANGE_CHECK_MS;
    const isDue = nowMs - control.reportAskedAtMs >= REPORT_INTERVAL_MS;
    if (backend === undefined || !(control.needsReport || isOverdue) || !isDue) {
      return [];
    }
    control.reportAskedAtMs = nowMs;
    const { address } = backend.entry;
    return [{ kind: EntryCommandKind.ReadEngineReport, backendId: control.backendId, address }];
  });
}

/** Takes over an engine's report. */
export function noteEngineReport(
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
    createEntryLog(LogLevel.Info, EntryPart.Placement, 'An engine has reported its state.', {
      server: backendId,
      orderCount: report.orderCount,
      isBusy: report.isBusy,
      models: report.models.map(({ name }) => name).join(' '),
    }),
  ];
}

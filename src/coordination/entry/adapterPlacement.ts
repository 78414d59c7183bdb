/**
 * Adapters by demand: the controller loads one on an engine that holds its model, and drops the one that
 * was not used for longest when all places are taken.
 */
import { getVariantKey } from '../../state/entry/backends.js';
import type { EngineProfile } from '../../state/entry/deployment.js';
import type { EngineAdapters } from '../../state/entry/reports.js';
import { sendEngineOrder } from './engineOrders.js';
import { type EntryCommand, EntryCommandKind } from './commands.js';
import { type EntryEventKind, type EntryEventOf, OrderAction } from './events.js';
import type { EngineControl } from './placementState.js';
import { isOpenBackend } from './selection.js';
import type { EntryState } from './state.js';

/** An adapter takes up to about this time from its order to its first request. */
const ADAPTER_LOAD_MS = 20;
/** An engine takes no adapter while it loads or drops a model; any other is preferred. */
const BUSY_PRESSURE = 100;
/** Those that wait for an adapter that has not come by then are told so. */
const TASK_TIMEOUT_MS = 1_500;

function countAdapters(control: EngineControl): number {
  return [...control.models.values()].reduce((sum, adapters) => sum + adapters.size, 0);
}

function findHolders(state: EntryState, service: string, model: string): EngineControl[] {
  return [...state.placement.engines.values()].filter((control) => {
    const backend = state.backends.get(control.backendId);
    const isDropping = control.change?.model === model && !control.change.isLoad;
    return (
      backend !== undefined &&
      backend.entry.service === service &&
      isOpenBackend(backend) &&
      control.models.has(model) &&
      !isDropping
    );
  });
}

function answer(replyId: string, backendId: string | null, delayMs: number): EntryCommand {
  return { kind: EntryCommandKind.AnswerAdapter, replyId, backendId, delayMs };
}

/** Engines with fewer adapters and tasks first; those in the asking VM's failure domain among equals. */
function getPressure(state: EntryState, control: EngineControl, failureDomain: string): number {
  const backend = state.backends.get(control.backendId)!;
  const isRemote = backend.entry.failureDomain === failureDomain ? 0 : 1;
  const busy = control.change === null ? 0 : BUSY_PRESSURE;
  return (countAdapters(control) + control.tasks.length) * 2 + isRemote + busy;
}

/** What a question for an adapter leads to, and the engine at which it waits in turn. */
export interface QueuedAdapter {
  readonly commands: EntryCommand[];
  readonly backendId: string | null;
}

/** Answers at once if an engine holds the adapter, else queues it at the engine with most room. */
export function queueAdapter(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AdapterAsked>,
  nowMs: number,
): QueuedAdapter {
  const { adapter, failureDomain, model, replyId, service } = event;
  const holders = state.placement.fence === null ? [] : findHolders(state, service, model);
  const key = getVariantKey(model, adapter);
  const holding = holders.find((control) => control.models.get(model)?.has(adapter));
  if (holding !== undefined) {
    holding.adapterUsedAtMs.set(key, nowMs);
    return { commands: [answer(replyId, holding.backendId, 0)], backendId: null };
  }
  const queued = holders
    .flatMap(({ tasks }) => tasks)
    .find((task) => task.model === model && task.adapter === adapter);
  if (queued !== undefined) {
    queued.replyIds.push(replyId);
    return { commands: [], backendId: null };
  }
  const [best] = holders.toSorted(
    (a, b) => getPressure(state, a, failureDomain) - getPressure(state, b, failureDomain),
  );
  if (best === undefined) {
    return { commands: [answer(replyId, null, 0)], backendId: null };
  }
  best.tasks.push({ model, adapter, replyIds: [replyId], askedAtMs: nowMs });
  return { commands: [], backendId: best.backendId };
}

function findOldestAdapter(
  control: EngineControl,
): { readonly model: string; readonly adapter: string } | undefined {
  const all = [...control.models.entries()].flatMap(([model, adapters]) =>
    [...adapters].map((adapter) => ({
      model,
      adapter,
      usedAtMs: control.adapterUsedAtMs.get(getVariantKey(model, adapter)) ?? 0,
    })),
  );
  return all.toSorted((a, b) => a.usedAtMs - b.usedAtMs)[0];
}

function countDoubtfulAdapters(control: EngineControl): number {
  return control.doubtful.filter(
    ({ action, adapter }) => adapter !== null && action === OrderAction.Load,
  ).length;
}

/** Carries the first task of an engine one order further. */
export function stepAdapterTasks(
  state: EntryState,
  control: EngineControl,
  profile: EngineProfile,
  nowMs: number,
): EntryCommand[] {
  const commands: EntryCommand[] = [];
  for (let task = control.tasks[0]; task !== undefined; [task] = control.tasks) {
    const { adapter, askedAtMs, model, replyIds } = task;
    const adapters = control.models.get(model);
    const isLoaded = adapters?.has(adapter) === true;
    const isLost = adapters === undefined || nowMs - askedAtMs > TASK_TIMEOUT_MS;
    if (!isLoaded && !isLost) {
      break;
    }
    control.tasks.shift();
    const backendId = isLoaded ? control.backendId : null;
    const delayMs = isLoaded ? ADAPTER_LOAD_MS : 0;
    commands.push(...replyIds.map((replyId) => answer(replyId, backendId, delayMs)));
  }
  const [task] = control.tasks;
  const isBusy = control.pending !== null || control.change !== null || control.needsReport;
  if (task === undefined || isBusy) {
    return commands;
  }
  const { adapter, model } = task;
  if (countAdapters(control) + countDoubtfulAdapters(control) < profile.adapterSlots) {
    const target = { model, adapter, reason: 'asked for' };
    return [...commands, ...sendEngineOrder(state, control, OrderAction.Load, target, nowMs)];
  }
  const oldest = findOldestAdapter(control);
  if (oldest === undefined) {
    return commands;
  }
  const target = { ...oldest, reason: `makes room for ${getVariantKey(model, adapter)}` };
  return [...commands, ...sendEngineOrder(state, control, OrderAction.Unload, target, nowMs)];
}

/** Lists the adapters on all engines, for the board. */
export function listEngineAdapters(state: EntryState): EngineAdapters[] {
  return [...state.placement.engines.values()].map((control) => ({
    backendId: control.backendId,
    bornAtWallMs: control.bornAtWallMs,
    variants: [...control.models.entries()].flatMap(([model, adapters]) =>
      [...adapters].map((adapter) => getVariantKey(model, adapter)),
    ),
  }));
}

/** Notes which adapters are asked for, so that they are not the first to be dropped. */
export function noteAdapterDemand(
  state: EntryState,
  variants: ReadonlySet<string>,
  nowMs: number,
): void {
  state.placement.engines.forEach((control) => {
    control.models.forEach((adapters, model) => {
      adapters.forEach((adapter) => {
        const key = getVariantKey(model, adapter);
        if (variants.has(key)) {
          control.adapterUsedAtMs.set(key, nowMs);
        }
      });
    });
  });
}

/**
 * Adapter placement by the controller. A requested adapter is loaded on an engine that already holds its base model.
 * If all adapter slots of the engine are taken, its least recently used adapter is evicted first.
 */
import { getVariantKey } from '../../../state/entry/backends.js';
import type { EngineProfile } from '../../../state/entry/deployment.js';
import type { AdapterNeed, EngineAdapters } from '../../../state/entry/reports.js';
import { sendEngineOrder } from './engineOrders.js';
import { type EntryCommand, EntryCommandKind } from '../commands.js';
import { OrderAction } from '../engineOrder.js';
import { type EntryEventKind, type EntryEventOf } from '../events.js';
import { type EngineControl, getIncomingModel } from './placementState.js';
import { hasStreamVersion, isAcceptingRequests } from '../requests/backendSelection.js';
import { isPaused } from '../servers/serverPauses.js';
import type { EntryState } from '../state.js';

/** Upper estimate of the time from an adapter's load order to its first request. The answer is delayed by it. */
const ADAPTER_LOAD_MS = 20;
/** Score of an engine that loads or unloads a model. It accepts no adapter meanwhile, so any other is preferred. */
const BUSY_SCORE = 100;
/** Requests for an adapter that is not loaded within this time are answered that no engine holds it. */
const TASK_TIMEOUT_MS = 1_500;

function countAdapters(control: EngineControl): number {
  return [...control.models.values()].reduce((sum, adapters) => sum + adapters.size, 0);
}

/** Returns the engines that hold the base model of a needed adapter and may run requests for it. */
function findEnginesWithModel(
  state: EntryState,
  { model, service, softwareVersion }: AdapterNeed,
): EngineControl[] {
  return [...state.placement.engines.values()].filter((control) => {
    const backend = state.backends.get(control.backendId);
    const isUnloading = control.change?.model === model && !control.change.isLoad;
    return (
      backend !== undefined &&
      backend.entry.service === service &&
      hasStreamVersion({ streamVersion: softwareVersion }, backend) &&
      isAcceptingRequests(backend) &&
      control.models.has(model) &&
      !isUnloading
    );
  });
}

function createAnswer(replyId: string, backendId: string | null, delayMs: number): EntryCommand {
  return { kind: EntryCommandKind.ReplyToAdapterRequest, replyId, backendId, delayMs };
}

/**
 * Computes the score by which an engine is chosen for an adapter, lowest first. It counts adapters and queued tasks;
 * among equals, an engine in the failure domain of the requesting VM has the lower score.
 */
function getLoadScore(state: EntryState, control: EngineControl, failureDomain: string): number {
  const backend = state.backends.get(control.backendId)!;
  const remoteScore = backend.entry.failureDomain === failureDomain ? 0 : 1;
  const busyScore = control.change === null ? 0 : BUSY_SCORE;
  return (countAdapters(control) + control.tasks.length) * 2 + remoteScore + busyScore;
}

/** Result of an adapter request. */
export interface AdapterRequestResult {
  readonly commands: EntryCommand[];
  /** The engine at which the load was queued; null if the request was answered or joined a queued load. */
  readonly backendId: string | null;
}

/**
 * Answers an adapter request immediately if an engine holds the adapter or none holds the base model. Otherwise queues
 * the load at the engine with the lowest load score.
 */
export function answerOrQueueAdapter(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.AdapterRequested>,
  nowMs: number,
): AdapterRequestResult {
  const { need, replyId } = event;
  const { adapter, failureDomain, model } = need;
  const candidates = state.placement.fence === null ? [] : findEnginesWithModel(state, need);
  const key = getVariantKey(model, adapter);
  const engineWithAdapter = candidates.find((control) => control.models.get(model)?.has(adapter));
  if (engineWithAdapter !== undefined) {
    engineWithAdapter.adapterUsedAtMs.set(key, nowMs);
    return { commands: [createAnswer(replyId, engineWithAdapter.backendId, 0)], backendId: null };
  }
  const queuedTask = candidates
    .flatMap(({ tasks }) => tasks)
    .find((task) => task.model === model && task.adapter === adapter);
  if (queuedTask !== undefined) {
    queuedTask.replyIds.push(replyId);
    return { commands: [], backendId: null };
  }
  const [chosenEngine] = candidates.toSorted(
    (a, b) => getLoadScore(state, a, failureDomain) - getLoadScore(state, b, failureDomain),
  );
  if (chosenEngine === undefined) {
    return { commands: [createAnswer(replyId, null, 0)], backendId: null };
  }
  chosenEngine.tasks.push({ model, adapter, replyIds: [replyId], requestedAtMs: nowMs });
  return { commands: [], backendId: chosenEngine.backendId };
}

function findLeastRecentlyUsedAdapter(
  control: EngineControl,
): { readonly model: string; readonly adapter: string } | undefined {
  const usages = [...control.models.entries()].flatMap(([model, adapters]) =>
    [...adapters].map((adapter) => ({
      model,
      adapter,
      usedAtMs: control.adapterUsedAtMs.get(getVariantKey(model, adapter)) ?? 0,
    })),
  );
  return usages.toSorted((a, b) => a.usedAtMs - b.usedAtMs)[0];
}

function countUncertainLoads(control: EngineControl): number {
  return control.unconfirmedOrders.filter(
    ({ action, adapter }) => adapter !== null && action === OrderAction.Load,
  ).length;
}

/**
 * Answers the loaded and the failed adapter tasks at the head of an engine's queue. For the next task, sends the load
 * order, or the unload order that frees a slot for it.
 */
export function processAdapterTasks(
  state: EntryState,
  control: EngineControl,
  profile: EngineProfile,
  nowMs: number,
): EntryCommand[] {
  const commands: EntryCommand[] = [];
  for (let task = control.tasks[0]; task !== undefined; [task] = control.tasks) {
    const { adapter, requestedAtMs, model, replyIds } = task;
    const adapters = control.models.get(model);
    const isLoaded = adapters?.has(adapter) === true;
    const hasFailed = adapters === undefined || nowMs - requestedAtMs > TASK_TIMEOUT_MS;
    if (!isLoaded && !hasFailed) {
      break;
    }
    control.tasks.shift();
    const backendId = isLoaded ? control.backendId : null;
    const delayMs = isLoaded ? ADAPTER_LOAD_MS : 0;
    commands.push(...replyIds.map((replyId) => createAnswer(replyId, backendId, delayMs)));
  }
  const [task] = control.tasks;
  const isBusy = control.pending !== null || control.change !== null || control.needsReport;
  const backend = state.backends.get(control.backendId);
  const isEnginePaused = backend !== undefined && isPaused(backend, nowMs);
  if (task === undefined || isBusy || isEnginePaused) {
    return commands;
  }
  const { adapter, model } = task;
  if (countAdapters(control) + countUncertainLoads(control) < profile.adapterSlots) {
    const target = { model, adapter, reason: 'an adapter was requested' };
    return [...commands, ...sendEngineOrder(state, control, OrderAction.Load, target, nowMs)];
  }
  const leastRecentlyUsed = findLeastRecentlyUsedAdapter(control);
  if (leastRecentlyUsed === undefined) {
    return commands;
  }
  const target = {
    ...leastRecentlyUsed,
    reason: `an adapter slot is needed for ${getVariantKey(model, adapter)}`,
  };
  return [...commands, ...sendEngineOrder(state, control, OrderAction.Unload, target, nowMs)];
}

/** Returns what each engine holds and loads, for the placement board. */
export function listEngineAdapters(
  state: EntryState,
  nowMs: number,
): Omit<EngineAdapters, 'sequence'>[] {
  return [...state.placement.engines.values()].map((control) => ({
    backendId: control.backendId,
    bornAtWallMs: control.bornAtWallMs,
    variants: [...control.models.entries()].flatMap(([model, adapters]) =>
      [...adapters].map((adapter) => getVariantKey(model, adapter)),
    ),
    incomingModel: getIncomingModel(control, nowMs),
  }));
}

/** Records adapters that are in demand as used now, so that they are not the first to be evicted. */
export function recordAdapterUse(
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

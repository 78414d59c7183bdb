/**
 * Chooses the models that a paced service's engine gives up for another one. The module is pure.
 *
 * Models that nobody requests go first, the least recently requested of them before others; then replicas whose part other engines
 * can serve. The last replica of a requested model goes only for a model without an engine, and only if more requests wait
 * for that than the evicted model would miss, or if that has waited for its turn; a busy model keeps it in any case.
 */
import { TOKENS_PER_REQUEST } from './demandTrend.js';
import { type EngineUse, getShare, type UseTable } from './expectedUse.js';
import { MIN_UNPLACED_TOKENS_PER_SECOND } from './placementNeeds.js';
import type { ModelDemandTotals, PacedEngineView, PacedPlanInput } from './planInput.js';
import { getModelMemoryMb } from './placementPlanner.js';

/** What an eviction costs, from the least to the most. */
export const EvictionClass = {
  /** The model is not requested and another engine serves it, or the configuration no longer has it. */
  Superfluous: 0,
  /** The model is not requested. */
  Idle: 1,
  /** The model is requested, and its other engines have room for the requests. */
  Redundant: 2,
  /** The model is requested, and the other one has a better claim. */
  Outweighed: 3,
} as const;
export type EvictionClass = (typeof EvictionClass)[keyof typeof EvictionClass];

/** Slots that the other engines of a model must have to spare beyond the evicted replica's part, against noise in the demand. */
const REMOVAL_MARGIN_SLOTS = 1;
/** From this need on, a model is busy. */
export const BUSY_SLOTS = 1;
/**
 * Time for which an evicted model is missed: the stay of the other one, and the loads of both from disk. The requests that wait
 * must be this many times those that are missed, so that two models do not displace each other in turn.
 */
const MISSED_SECONDS = 8;
const MIN_WAITING_FACTOR = 2;

/** Engines that have loaded a model and may run its requests now. */
export type ServingEngines = ReadonlyMap<string, readonly EngineUse[]>;

export interface EvictionContext {
  readonly input: PacedPlanInput;
  readonly table: UseTable;
  readonly serving: ServingEngines;
}

/** What a model without an engine has against the last replica of a requested one. */
export interface EvictionClaim {
  /** Requests that wait for the model. */
  readonly waitingRequests: number;
  /** True if it is the model's turn, since it has been requested for long without getting an engine. */
  readonly isOverdue: boolean;
}

/** A set of models to evict. */
export interface Evictions {
  /** The one to evict first; the others are chosen anew once it is unloaded. */
  readonly model: string;
  /** The highest class among the evicted models. */
  readonly evictionClass: EvictionClass;
}

/** Returns whether a model has been requested recently, or requests wait for it. */
export function isRequested(demand: ModelDemandTotals | undefined): boolean {
  return (
    demand !== undefined &&
    (demand.waitingRequests > 0 || demand.tokensPerSecond >= MIN_UNPLACED_TOKENS_PER_SECOND)
  );
}

/** Returns whether waiting requests may run only on this engine's software version, and no other engine of it serves them. */
function isLastOfVersion(
  demand: ModelDemandTotals | undefined,
  engine: PacedEngineView,
  others: readonly EngineUse[],
): boolean {
  const waiting = demand?.waitingByVersion.get(engine.softwareVersion) ?? 0;
  return (
    waiting > 0 && !others.some((other) => other.engine.softwareVersion === engine.softwareVersion)
  );
}

function isOutweighed(
  { input, table }: EvictionContext,
  model: string,
  { isOverdue, waitingRequests }: EvictionClaim,
): boolean {
  const demand = input.demands.get(model);
  const requestsPerSecond = (demand?.tokensPerSecond ?? 0) / TOKENS_PER_REQUEST;
  const missedRequests = requestsPerSecond * MISSED_SECONDS + (demand?.waitingRequests ?? 0);
  const isBusy = (table.needs.get(model) ?? 0) >= BUSY_SLOTS;
  const isEnough = waitingRequests >= Math.max(1, MIN_WAITING_FACTOR * missedRequests);
  return !isBusy && (isOverdue || isEnough);
}

/** Returns the class of evicting a model from an engine; null if it must stay. */
function getEvictionClass(
  context: EvictionContext,
  use: EngineUse,
  model: string,
  claim: EvictionClaim,
): EvictionClass | null {
  const { input, serving, table } = context;
  if (!input.profile.modelsByName.has(model)) {
    return EvictionClass.Superfluous;
  }
  const demand = input.demands.get(model);
  const others = (serving.get(model) ?? []).filter((other) => other !== use);
  if (use.engine.keptModels.has(model) || isLastOfVersion(demand, use.engine, others)) {
    return null;
  }
  if (!isRequested(demand)) {
    return others.length > 0 ? EvictionClass.Superfluous : EvictionClass.Idle;
  }
  if (others.length === 0) {
    return isOutweighed(context, model, claim) ? EvictionClass.Outweighed : null;
  }
  const room = others.reduce((sum, { capacity, load }) => sum + Math.max(0, capacity - load), 0);
  const share = getShare(table, model, use);
  return room >= share + REMOVAL_MARGIN_SLOTS ? EvictionClass.Redundant : null;
}

/** A model that an engine may evict. */
interface EvictableModel {
  readonly model: string;
  readonly memoryMb: number;
  readonly evictionClass: EvictionClass;
}

/** Selects the first models that free enough memory together; null if all of them do not. */
function selectEvictions(
  evictable: readonly EvictableModel[],
  missingMb: number,
): Evictions | null {
  const freedMb = [0];
  evictable.forEach(({ memoryMb }, i) => freedMb.push(freedMb[i]! + memoryMb));
  const count = freedMb.findIndex((sumMb) => sumMb >= missingMb);
  if (count <= 0) {
    return null;
  }
  // Models that free too little are of no use if the last one frees enough alone.
  const last = evictable[count - 1]!;
  const first = last.memoryMb >= missingMb ? last : evictable[0]!;
  return { model: first.model, evictionClass: last.evictionClass };
}

/**
 * Chooses what an engine evicts to free some memory; null if it may not free enough.
 */
export function chooseEvictions(
  context: EvictionContext,
  use: EngineUse,
  missingMb: number,
  claim: EvictionClaim,
): Evictions | null {
  const { profile, requestedAtMs } = context.input;
  const evictable = [...use.engine.models.keys()]
    .map((model) => ({
      model,
      memoryMb: getModelMemoryMb(profile, model),
      evictionClass: getEvictionClass(context, use, model, claim),
      requestedAtMs: requestedAtMs.get(model) ?? Number.NEGATIVE_INFINITY,
    }))
    .flatMap(({ evictionClass, ...rest }) =>
      evictionClass === null ? [] : [{ ...rest, evictionClass }],
    )
    .sort(
      (a, b) =>
        a.evictionClass - b.evictionClass ||
        (a.requestedAtMs === b.requestedAtMs ? 0 : a.requestedAtMs - b.requestedAtMs),
    );
  return selectEvictions(evictable, missingMb);
}

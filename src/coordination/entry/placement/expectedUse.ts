/**
 * Computes how many slots of each engine the demand for models is expected to take. The module is pure, except that a table is
 * changed in place while a plan is made.
 *
 * The need of a model is the number of slots that its requests take at the usual pace: demand in tokens per second, times the time
 * for which a slot serves a token. It is divided among the model's engines by the room that their other models leave, so engines
 * that hold two busy models have half of their slots for each.
 */
import type { ModelDemandTotals, PacedEngineView, PacedPlanInput } from './planInput.js';

/**
 * Distance of the target use from full use, in units of the square root of the slots. By the approximation of Halfin and Whitt, a
 * tenth of the requests find all slots taken. With 12 slots, the target is 0.6, and one of those that wait does so for 0.3 s if
 * requests take 1.5 s, which latency objectives of 0.3 to 0.4 s just allow; at a use of 0.75, a quarter would wait for 0.5 s.
 */
const SLOT_RESERVE_FACTOR = 1.4;
const MIN_TARGET_USE = 0.3;
/** While the demand exceeds the target on all engines together, no engine is to have more than this multiple of the mean use. */
const OVERLOAD_BALANCE_FACTOR = 1.15;
/**
 * Slots that a waiting request counts for beside the demand: about 1.5 s of service, to be begun and ended within 4 s. All of them
 * ask for at most one more engine, since those that have the time to wait are held back on purpose.
 */
const SLOTS_PER_WAITING_REQUEST = 0.4;
/** Passes of dividing the needs; further ones change little. */
const PASSES = 2;
/** The least room that an engine counts with, as a fraction of its capacity: a full engine still gets requests. */
const MIN_ROOM_FRACTION = 0.05;

/** Returns the part of an engine's slots that requests may take if nearly all are to begin at once. */
export function getTargetUse(slots: number): number {
  return Math.max(MIN_TARGET_USE, 1 - SLOT_RESERVE_FACTOR / Math.sqrt(Math.max(1, slots)));
}

/** Returns the slots that the requests for a model take at the usual pace. */
function getSlotNeed(
  { expectedTokensPerSecond, profile, slotSecondsPerToken }: PacedPlanInput,
  model: string,
  { tokensPerSecond, waitingRequests }: ModelDemandTotals,
): number {
  const expected = expectedTokensPerSecond.get(model) ?? tokensPerSecond;
  const backlog = Math.min(
    waitingRequests * SLOTS_PER_WAITING_REQUEST,
    profile.maxConcurrentRequests * getTargetUse(profile.maxConcurrentRequests),
  );
  return expected * slotSecondsPerToken + backlog;
}

/** An engine's part in the plan. Mutable while a plan is made. */
export interface EngineUse {
  readonly engine: PacedEngineView;
  /** Slots at the usual pace that requests may take within the target use. */
  readonly capacity: number;
  /** Slots at the usual pace that requests are expected to take. */
  load: number;
}

/** Part of a model's need that one of its engines is expected to serve. */
interface ModelShare {
  readonly use: EngineUse;
  slots: number;
}

/** The expected use of all engines. Mutable while a plan is made. */
export interface UseTable {
  readonly uses: readonly EngineUse[];
  readonly needs: ReadonlyMap<string, number>;
  /** Engines that have a model or are to have it, with what they serve of it. */
  readonly sharesByModel: Map<string, ModelShare[]>;
}

/** Divides the need of a model among its engines anew, by the room that other models leave. */
function divideNeed({ needs, sharesByModel }: UseTable, model: string): void {
  const shares = sharesByModel.get(model) ?? [];
  shares.forEach((share) => {
    share.use.load -= share.slots;
  });
  const rooms = shares.map(({ use: { capacity, load } }) =>
    Math.max(MIN_ROOM_FRACTION * capacity, capacity - load),
  );
  const totalRoom = rooms.reduce((sum, room) => sum + room, 0);
  const need = needs.get(model) ?? 0;
  shares.forEach((share, i) => {
    share.slots = (need * rooms[i]!) / totalRoom;
    share.use.load += share.slots;
  });
}

function getFullCapacity({ profile }: PacedPlanInput, { pace }: PacedEngineView): number {
  return profile.maxConcurrentRequests / pace;
}

/** Creates the table of expected use. */
export function createUseTable(
  input: PacedPlanInput,
  listModels: (engine: PacedEngineView) => readonly string[],
): UseTable {
  const needs = new Map(
    [...input.demands].map(([model, demand]) => [model, getSlotNeed(input, model, demand)]),
  );
  const totalNeed = [...needs.values()].reduce((sum, need) => sum + need, 0);
  const totalCapacity = input.engines.reduce(
    (sum, engine) => sum + getFullCapacity(input, engine),
    0,
  );
  const balancedUse = (OVERLOAD_BALANCE_FACTOR * totalNeed) / Math.max(1, totalCapacity);
  const targetUse = Math.max(getTargetUse(input.profile.maxConcurrentRequests), balancedUse);
  const uses = input.engines.map((engine) => ({
    engine,
    capacity: targetUse * getFullCapacity(input, engine),
    load: 0,
  }));
  const sharesByModel = new Map<string, ModelShare[]>();
  uses.forEach((use) => {
    listModels(use.engine).forEach((model) => {
      const shares = sharesByModel.get(model);
      if (shares === undefined) {
        sharesByModel.set(model, [{ use, slots: 0 }]);
      } else {
        shares.push({ use, slots: 0 });
      }
    });
  });
  const table = { uses, needs, sharesByModel };
  // Models with few engines have the least choice and come first.
  const models = [...sharesByModel]
    .filter(([model]) => (needs.get(model) ?? 0) > 0)
    .sort(([, a], [, b]) => a.length - b.length);
  for (let pass = 0; pass < PASSES; pass += 1) {
    models.forEach(([model]) => {
      divideNeed(table, model);
    });
  }
  return table;
}

/** Returns the slots that a model's requests need and that its engines do not have within the target use. */
export function getLackingSlots({ sharesByModel }: UseTable, model: string): number {
  return (sharesByModel.get(model) ?? []).reduce((sum, { slots, use: { capacity, load } }) => {
    const excessFraction = load > capacity ? 1 - capacity / load : 0;
    return sum + slots * excessFraction;
  }, 0);
}

/** Returns the slots that an engine is expected to serve a model with. */
export function getShare({ sharesByModel }: UseTable, model: string, use: EngineUse): number {
  return sharesByModel.get(model)?.find((share) => share.use === use)?.slots ?? 0;
}

/** Counts an engine as one that is to have a model. */
export function addHolder(table: UseTable, model: string, use: EngineUse): void {
  table.sharesByModel.set(model, [...(table.sharesByModel.get(model) ?? []), { use, slots: 0 }]);
  divideNeed(table, model);
}

/** No longer counts an engine as one that has a model. */
export function removeHolder(table: UseTable, model: string, use: EngineUse): void {
  const shares = table.sharesByModel.get(model) ?? [];
  use.load -= getShare(table, model, use);
  table.sharesByModel.set(
    model,
    shares.filter((share) => share.use !== use),
  );
  divideNeed(table, model);
}

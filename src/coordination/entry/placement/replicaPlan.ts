/**
 * Plans the loads and evictions of one round for a paced service. The module is pure.
 *
 * Models that are requested and that no engine has take turns with busy models whose engines are expected to be used beyond the
 * target; what the weight store then still allows goes into second replicas. Every engine gets at most one order. The work of a
 * round is bounded by the loads that the weight store allows, times the number of engines.
 */
import { OrderAction } from '../engineOrder.js';
import type { EngineModel } from '../../../state/entry/deployment.js';
import {
  addHolder,
  createUseTable,
  type EngineUse,
  getLackingSlots,
  removeHolder,
  type UseTable,
} from './expectedUse.js';
import { DEFAULT_URGENCY_WEIGHT, listAssignedModels } from './placementNeeds.js';
import {
  getCommittedMemoryMb,
  getModelMemoryMb,
  getWeightSource,
  type PlanStep,
  WeightSource,
} from './placementPlanner.js';
import type { PacedPlanInput } from './planInput.js';
import {
  BUSY_SLOTS,
  chooseEvictions,
  type EvictionClaim,
  EvictionClass,
  type Evictions,
  isRequested,
} from './replicaEviction.js';

/** Maximum number of steps in a round. Engines that are left get theirs in the next one. */
const MAX_STEPS = 32;
/** Searches without a result after which a round ends: memory is then short for nearly all models. */
const MAX_FAILED_SEARCHES = 8;
/** A replica is loaded for at least this many slots that a model lacks. */
const MIN_LACKING_SLOTS = 1;
/** An engine gets a replica only if it has room for this part of its capacity, or for all that the model lacks. */
const MIN_ROOM_FRACTION = 0.25;
/** From this pace on, an engine gets no replica of a busy model: its requests would begin late there. */
const SLOW_PACE = 1.25;
/** Weight of a waiting request against demand in tokens per second. */
const WAITING_REQUEST_TOKENS_PER_SECOND = 1_000;
/** Second replicas leave this part of the window's loads to models that lack engines. */
const SPARE_LOADS_FRACTION = 0.5;
/** Second replicas are loaded while fewer engines than this part are loading, since one that loads takes no other order. */
const MAX_LOADING_FRACTION = 0.25;
/** Second replicas leave room for one more model on this part of the engines. */
const MIN_ROOMY_FRACTION = 0.2;

/** Why a model is to be loaded. */
const Purpose = { Missing: 'missing', Replica: 'replica', Spare: 'spare' } as const;
type Purpose = (typeof Purpose)[keyof typeof Purpose];

interface PurposeRules {
  readonly mayEvict: boolean;
  /** True if the engine must be at its usual pace and have room for the model's requests. */
  readonly needsRoom: boolean;
}

const PURPOSE_RULES: Readonly<Record<Purpose, PurposeRules>> = {
  [Purpose.Missing]: { mayEvict: true, needsRoom: false },
  [Purpose.Replica]: { mayEvict: true, needsRoom: true },
  [Purpose.Spare]: { mayEvict: false, needsRoom: true },
};

/** The claim of a model that an engine has already. */
const NO_CLAIM: EvictionClaim = { waitingRequests: 0, isOverdue: false };

/** A load that is wanted. */
interface Want {
  readonly model: EngineModel;
  readonly purpose: Purpose;
  /** The version of the engine; null if any will do. */
  readonly softwareVersion: string | null;
  /** Loads with a higher value come first. */
  readonly value: number;
  readonly claim: EvictionClaim;
  /** Slots that the engine is to have for the model. */
  readonly slots: number;
  readonly reason: string;
}

/** An engine that could load a model. */
interface Placement {
  readonly use: EngineUse;
  readonly source: WeightSource;
  readonly evictions: Evictions | null;
  /** The placement with the lowest values, compared in order, is the best. */
  readonly rank: readonly number[];
}

/** The search for an engine. Mutable. */
interface Search {
  readonly want: Want;
  /** Failure domains of the engines that have the model or are to have it. */
  readonly holderDomains: ReadonlySet<string>;
  /** The best placement so far. */
  best: Placement | null;
}

/** The plan while it is made. Mutable. */
interface Round {
  readonly input: PacedPlanInput;
  readonly table: UseTable;
  readonly serving: Map<string, EngineUse[]>;
  /** Engines that may get an order, with the memory that they have free. */
  readonly openEngines: Map<EngineUse, number>;
  readonly versions: ReadonlySet<string>;
  readonly steps: PlanStep[];
  storeLoads: number;
  loadingCount: number;
  failedSearches: number;
}

/** The steps of a round. */
export interface ReplicaPlan {
  readonly steps: readonly PlanStep[];
  /** Requested models that no engine had or was to have at the beginning of the round. */
  readonly missingModels: readonly string[];
  /** Replicas that models lacked at the beginning of the round. */
  readonly missingReplicas: number;
}

/** Engines that can run requests for each model now; one that may be unloading the model does not count. */
function indexServing(uses: readonly EngineUse[]): Map<string, EngineUse[]> {
  const serving = new Map<string, EngineUse[]>();
  uses.forEach((use) => {
    const { models, unconfirmedOrders, unloadingModel } = use.engine;
    const leaving = new Set(
      unconfirmedOrders
        .filter(({ action }) => action === OrderAction.Unload)
        .map(({ model }) => model),
    );
    [...models.keys()]
      .filter((model) => model !== unloadingModel && !leaving.has(model))
      .forEach((model) => {
        const engines = serving.get(model);
        if (engines === undefined) {
          serving.set(model, [use]);
        } else {
          engines.push(use);
        }
      });
  });
  return serving;
}

function createRound(input: PacedPlanInput): Round {
  const { engines, profile } = input;
  const table = createUseTable(input, listAssignedModels);
  const open = table.uses.filter(({ engine }) => engine.canTakeOrder);
  return {
    input,
    table,
    serving: indexServing(table.uses),
    openEngines: new Map(
      open.map((use) => [use, profile.memoryMb - getCommittedMemoryMb(profile, use.engine)]),
    ),
    versions: new Set(engines.map(({ softwareVersion }) => softwareVersion)),
    steps: [],
    storeLoads: input.storeLoads,
    loadingCount: engines.filter(({ loadingModel }) => loadingModel !== null).length,
    failedSearches: 0,
  };
}

/** Returns the memory that an engine lacks for a model; an unconfirmed or reserved load of it takes its memory only once. */
function getMissingMb(round: Round, { engine }: EngineUse, freeMb: number, model: string): number {
  const { profile } = round.input;
  const isCommitted =
    engine.reservedModel === model ||
    engine.unconfirmedOrders.some(
      (order) => order.action === OrderAction.Load && order.model === model,
    );
  return (isCommitted ? 0 : getModelMemoryMb(profile, model)) - freeMb;
}

const SOURCE_RANKS: Readonly<Record<WeightSource, number>> = {
  [WeightSource.Host]: 0,
  [WeightSource.Disk]: 1,
  [WeightSource.Store]: 2,
};

function hasRoom({ capacity, engine, load }: EngineUse, slots: number): boolean {
  return (
    engine.pace < SLOW_PACE && capacity - load >= Math.min(slots, MIN_ROOM_FRACTION * capacity)
  );
}

/** Returns the values that come before evictions in the order of placements. */
function getEngineRank({ capacity, engine, load }: EngineUse): readonly number[] {
  return [Number(engine.hasFailedOrder), Number(engine.pace >= SLOW_PACE), Number(load > capacity)];
}

/** Returns whether the first of two lists of equal length has the lower value where they differ first. */
function isLower(rank: readonly number[], other: readonly number[]): boolean {
  const i = rank.findIndex((value, index) => value !== other[index]);
  return i >= 0 && rank[i]! < other[i]!;
}

/** Returns whether an engine could load a model without evictions better than another that is known, which may need some. */
function mayBeBetter(use: EngineUse, best: Placement | null): boolean {
  return best?.evictions !== null || isLower(getEngineRank(use), getEngineRank(best.use));
}

/** Returns how an engine could load a model; null if it may not, or if evictions make it worse than the best one. */
function rateEngine(
  round: Round,
  use: EngineUse,
  freeMb: number,
  { best, holderDomains, want }: Search,
): Placement | null {
  const { claim, model, purpose, slots, softwareVersion } = want;
  const { engine } = use;
  const { mayEvict, needsRoom } = PURPOSE_RULES[purpose];
  const missingMb = getMissingMb(round, use, freeMb, model.name);
  const mayEvictNow = mayEvict && (engine.isCooldownOver || engine.reservedModel === model.name);
  if (missingMb > 0 && (!mayEvictNow || !mayBeBetter(use, best))) {
    return null;
  }
  const isReserved = engine.reservedModel !== null && engine.reservedModel !== model.name;
  const isOfVersion = softwareVersion === null || engine.softwareVersion === softwareVersion;
  if (isReserved || !isOfVersion || engine.models.has(model.name)) {
    return null;
  }
  const source = getWeightSource(engine, model.name);
  const isLoadable = source !== WeightSource.Store || round.storeLoads > 0;
  if (!isLoadable || (needsRoom && !hasRoom(use, slots))) {
    return null;
  }
  const evictions = missingMb > 0 ? chooseEvictions(round, use, missingMb, claim) : null;
  if (missingMb > 0 && evictions === null) {
    return null;
  }
  const rank = [
    ...getEngineRank(use),
    evictions === null ? 0 : 1 + evictions.evictionClass,
    SOURCE_RANKS[source],
    Number(holderDomains.has(engine.failureDomain)),
    use.load / use.capacity,
  ];
  return { use, source, evictions, rank };
}

function findPlacement(round: Round, want: Want): Placement | null {
  const holders = round.table.sharesByModel.get(want.model.name) ?? [];
  const holderDomains = new Set(holders.map(({ use }) => use.engine.failureDomain));
  const search: Search = { want, holderDomains, best: null };
  for (const [use, freeMb] of round.openEngines) {
    const placement = rateEngine(round, use, freeMb, search);
    if (placement !== null && (search.best === null || isLower(placement.rank, search.best.rank))) {
      search.best = placement;
    }
  }
  return search.best;
}

const EVICTION_REASONS: Readonly<Record<EvictionClass, string>> = {
  [EvictionClass.Superfluous]: 'not needed here',
  [EvictionClass.Idle]: 'not requested',
  [EvictionClass.Redundant]: 'other engines have room for its requests',
  [EvictionClass.Outweighed]: 'the other model has waited for long, or more requests wait for it',
};

function addStep(round: Round, { evictions, source, use }: Placement, want: Want): void {
  const { backendId, reservedModel } = use.engine;
  const { name } = want.model;
  if (evictions === null) {
    round.steps.push({
      backendId,
      model: name,
      isLoad: true,
      targetModel: name,
      source,
      reason: want.reason,
    });
    round.storeLoads -= Number(source === WeightSource.Store);
    round.loadingCount += 1;
  } else {
    const { evictionClass, model } = evictions;
    round.steps.push({
      backendId,
      model,
      isLoad: false,
      targetModel: name,
      source: null,
      reason: `memory is needed for ${name}: ${want.reason}; ${EVICTION_REASONS[evictionClass]}`,
    });
    const others = (round.serving.get(model) ?? []).filter((other) => other !== use);
    round.serving.set(model, others);
    removeHolder(round.table, model, use);
  }
  round.openEngines.delete(use);
  if (reservedModel !== name) {
    addHolder(round.table, name, use);
  }
}

/** Adds the step for a load that is wanted, if an engine may do it; returns whether one may. */
function tryWant(round: Round, want: Want): boolean {
  const placement = findPlacement(round, want);
  if (placement === null) {
    round.failedSearches += 1;
    return false;
  }
  addStep(round, placement, want);
  return true;
}

function isRoundOver({ failedSearches, openEngines, steps }: Round): boolean {
  return (
    steps.length >= MAX_STEPS || failedSearches >= MAX_FAILED_SEARCHES || openEngines.size === 0
  );
}

/** Loads the models that memory is reserved for, or evicts one more model. */
function planReservedModels(round: Round): void {
  const { input, serving } = round;
  [...round.openEngines]
    .filter(([{ engine }]) => engine.reservedModel !== null)
    .forEach(([use, freeMb]) => {
      const model = input.profile.modelsByName.get(use.engine.reservedModel!);
      if (model === undefined) {
        return;
      }
      const isServed = (serving.get(model.name) ?? []).length > 0;
      const want = {
        model,
        purpose: Purpose.Missing,
        softwareVersion: null,
        value: 0,
        // The decision was made when memory was reserved.
        claim: { waitingRequests: 0, isOverdue: !isServed },
        slots: 0,
        reason: 'memory is reserved for the model',
      };
      const placement = rateEngine(round, use, freeMb, {
        want,
        holderDomains: new Set(),
        best: null,
      });
      if (placement !== null) {
        addStep(round, placement, want);
      }
    });
}

/** Lists the requested models that no engine has or is to have, or none of a version that requests wait for, the most wanted first. */
function listMissingModels({ input, table, versions }: Round): Want[] {
  return [...input.demands]
    .filter(([name, demand]) => input.profile.modelsByName.has(name) && isRequested(demand))
    .flatMap(([name, { valuePerSecond, waitingByVersion, waitingRequests }]): Want[] => {
      const holders = table.sharesByModel.get(name) ?? [];
      const isHeldBy = (version: string): boolean =>
        holders.some(({ use }) => use.engine.softwareVersion === version);
      const weight = input.urgencyWeights.get(name) ?? DEFAULT_URGENCY_WEIGHT;
      const getValue = (waiting: number): number =>
        waiting * weight * WAITING_REQUEST_TOKENS_PER_SECOND;
      const isOverdue = input.overdueModels.has(name);
      const base = {
        model: input.profile.modelsByName.get(name)!,
        purpose: Purpose.Missing,
        slots: 0,
      };
      const bound = [...waitingByVersion]
        .filter(([version, waiting]) => waiting > 0 && versions.has(version) && !isHeldBy(version))
        .map(([softwareVersion, waiting]) => ({
          ...base,
          softwareVersion,
          value: getValue(waiting),
          claim: { waitingRequests: waiting, isOverdue },
          reason: `no engine of ${softwareVersion} holds the model`,
        }));
      const anyVersion = {
        ...base,
        softwareVersion: null,
        value: valuePerSecond + getValue(waitingRequests),
        claim: { waitingRequests, isOverdue },
        reason: `no engine holds the model, ${waitingRequests} requests wait`,
      };
      // A load for a version serves what any engine may run as well.
      return bound.length > 0 || holders.length > 0 ? bound : [anyVersion];
    })
    .sort((a, b) => b.value - a.value);
}

/** Returns the replica that is lacking most, or null if the models that may get one have enough. */
function findLackingModel(round: Round, failedModels: ReadonlySet<string>): Want | null {
  const { input, table } = round;
  let most: { readonly name: string; readonly slots: number } | null = null;
  for (const name of table.sharesByModel.keys()) {
    const isKnown = input.profile.modelsByName.has(name) && !failedModels.has(name);
    const slots = isKnown ? getLackingSlots(table, name) : 0;
    if (slots >= MIN_LACKING_SLOTS && slots > (most?.slots ?? 0)) {
      most = { name, slots };
    }
  }
  return most === null
    ? null
    : {
        model: input.profile.modelsByName.get(most.name)!,
        purpose: Purpose.Replica,
        softwareVersion: null,
        value: most.slots,
        claim: NO_CLAIM,
        slots: most.slots,
        reason: `the model's engines lack ${most.slots.toFixed(1)} slots`,
      };
}

/** Plans loads of missing models and of replicas in turn, so that neither kind keeps the other from being loaded. */
function planWantedModels(round: Round, missing: readonly Want[]): void {
  const failedModels = new Set<string>();
  let next = 0;
  let isReplicaLacking = true;
  while (!isRoundOver(round) && (next < missing.length || isReplicaLacking)) {
    const want = missing[next];
    next += 1;
    if (want !== undefined) {
      tryWant(round, want);
    }
    const replica: Want | null = isReplicaLacking ? findLackingModel(round, failedModels) : null;
    isReplicaLacking = replica !== null;
    if (replica !== null && !isRoundOver(round) && !tryWant(round, replica)) {
      failedModels.add(replica.model.name);
    }
  }
}

/** Returns the mean memory of the models of a service. */
function getMeanMemoryMb({ profile }: PacedPlanInput): number {
  const sizesMb = [...profile.modelsByName.keys()].map((name) => getModelMemoryMb(profile, name));
  return sizesMb.reduce((sum, sizeMb) => sum + sizeMb, 0) / Math.max(1, sizesMb.length);
}

/** Returns whether more second replicas may be loaded now. */
function mayLoadSpare(
  { input, loadingCount, openEngines, storeLoads }: Round,
  meanMb: number,
): boolean {
  const { engines, storeLoadsPerWindow } = input;
  const roomy = [...openEngines.values()].filter((freeMb) => freeMb >= meanMb).length;
  return (
    storeLoads > storeLoadsPerWindow * SPARE_LOADS_FRACTION &&
    loadingCount < engines.length * MAX_LOADING_FRACTION &&
    roomy > engines.length * MIN_ROOMY_FRACTION
  );
}

/** Plans second replicas of requested models, which keep them reachable when an engine crashes. */
function planSpareReplicas(round: Round): void {
  const { input, table } = round;
  const meanMb = getMeanMemoryMb(input);
  if (!mayLoadSpare(round, meanMb)) {
    return;
  }
  const singles = [...input.demands]
    .filter(([name, demand]) => input.profile.modelsByName.has(name) && isRequested(demand))
    .filter(([name]) => table.sharesByModel.get(name)?.length === 1)
    .sort(([a], [b]) => table.needs.get(b)! - table.needs.get(a)!);
  for (const [name] of singles) {
    if (isRoundOver(round) || !mayLoadSpare(round, meanMb)) {
      return;
    }
    tryWant(round, {
      model: input.profile.modelsByName.get(name)!,
      purpose: Purpose.Spare,
      softwareVersion: null,
      value: 0,
      claim: NO_CLAIM,
      slots: Math.min(BUSY_SLOTS, table.needs.get(name)!),
      reason: 'only one engine holds the model',
    });
  }
}

/** Counts the replicas that bring the use of all engines down to the target. */
function countMissingReplicas({ input, table }: Round, missing: readonly Want[]): number {
  const capacity = input.profile.maxConcurrentRequests;
  const lacking = [...table.sharesByModel.keys()]
    .map((name) => getLackingSlots(table, name))
    .filter((slots) => slots >= MIN_LACKING_SLOTS);
  return missing.length + lacking.reduce((sum, slots) => sum + Math.ceil(slots / capacity), 0);
}

/** Returns the orders of a round, at most one for each engine. */
export function planReplicas(input: PacedPlanInput): ReplicaPlan {
  const round = createRound(input);
  const missing = listMissingModels(round);
  const missingReplicas = countMissingReplicas(round, missing);
  planReservedModels(round);
  planWantedModels(round, missing);
  planSpareReplicas(round);
  const missingModels = missing.map(({ model }) => model.name);
  return { steps: round.steps, missingModels, missingReplicas };
}

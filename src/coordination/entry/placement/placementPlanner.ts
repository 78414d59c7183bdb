/**
 * Decides which model an engine loads or unloads next. The module is pure.
 *
 * A model that is requested and that no engine has loaded comes first; then replicas are added
 * where balancing the load of the engines gains more than the change costs. Memory is freed by
 * evicting the models with the lowest eviction cost; a requested model normally keeps its last
 * replica.
 */
import type { EngineModel, EngineProfile } from '../../../state/entry/deployment.js';
import type { EngineView, PlanInput } from './planInput.js';
import {
  DEFAULT_URGENCY_WEIGHT,
  getUnplacedDemand,
  listAssignedModels,
  listPlacementNeeds,
  type PlacementNeed,
} from './placementNeeds.js';
import {
  getReplicaGain,
  getReplicaRemovalCost,
  type LoadDistribution,
  distributeLoads,
} from './loadDistribution.js';

/** Where the weights are loaded from. */
export const WeightSource = { Host: 'host', Disk: 'disk', Store: 'store' } as const;
export type WeightSource = (typeof WeightSource)[keyof typeof WeightSource];

/** The next order to load or unload a model. */
export interface PlanStep {
  readonly backendId: string;
  readonly model: string;
  readonly isLoad: boolean;
  /**
   * The model that the step serves: the one to load, or the one that an eviction frees memory for.
   */
  readonly targetModel: string;
  readonly source: WeightSource | null;
  readonly reason: string;
}

/** Base cost of evicting a model, in tokens per second; divided by the number of its replicas. */
const IDLE_EVICTION_COST = 50;
/**
 * Demand shifts between whole models within seconds. Evicting the last replica of an idle model
 * costs the demand that is lost if the model is requested again: this fraction of an engine's mean
 * load, for the time of a reload, divided by the payback time of a placement.
 */
const RETURN_DEMAND_FRACTION = 0.5;
/** Time to send the order and to learn that the model is loaded, in addition to the load itself. */
const RELOAD_OVERHEAD_SECONDS = 0.5;
/** Weight of the demand for a model that is lost with its last replica or gained with its first. */
const LAST_REPLICA_FACTOR = 5;
/**
 * Variance of an estimated demand divided by the demand: the mean cost of a request, weighted by
 * cost, over twice the time constant of the exponential moving average. Requests at all sites cost
 * 700 to 3,000 tokens.
 */
const DEMAND_NOISE_TOKENS_PER_SECOND = 500;
/** Models considered for another replica: those with the highest demand per replica. */
const MAX_REPLICATION_CANDIDATES = 4;
/** Another replica must reduce the load that is served late by at least this fraction of the total demand. */
const MIN_GAIN_FRACTION = 0.02;
/** Time within which another replica must pay off: demand shifts within some tens of seconds. */
const PAYBACK_SECONDS = 10;
/**
 * Minimum cost of a second of loading, in tokens per second. A model with higher demand costs that
 * demand instead, since it is not served meanwhile.
 */
const MIN_COST_PER_LOAD_SECOND = 300;
const MS_PER_SECOND = 1000;

/**
 * Returns the memory that a model takes with all its usable adapter slots filled. One that the configuration no longer has
 * counts as all the memory of an engine, so that nothing is loaded beside it.
 */
export function getModelMemoryMb(profile: EngineProfile, name: string): number {
  const model = profile.modelsByName.get(name);
  if (model === undefined) {
    return profile.memoryMb;
  }
  const slots = Math.min(profile.adapterSlots, model.adapterCount);
  return model.memoryMb + slots * model.adapterMemoryMb;
}

/** Returns the memory of an engine that is in use or that pending or unconfirmed loads may take. */
export function getCommittedMemoryMb(profile: EngineProfile, engine: EngineView): number {
  const names = new Set(engine.models.keys());
  [engine.loadingModel, engine.reservedModel]
    .filter((model) => model !== null)
    .forEach((model) => names.add(model));
  engine.unconfirmedOrders
    .filter(({ action }) => action === 'load')
    .forEach(({ model }) => names.add(model));
  return [...names].reduce((sum, name) => sum + getModelMemoryMb(profile, name), 0);
}

/** An engine that could load a model, and what that would cost. */
interface PlacementCandidate {
  readonly engine: EngineView;
  readonly source: WeightSource;
  /** The model to evict first; null if there is enough free memory. */
  readonly evictedModel: string | null;
  /** Cost of the evictions, and total cost of the placement; in tokens per second. */
  readonly evictionCost: number;
  readonly cost: number;
}

/** The planner's input with the values derived from it. */
interface PlanContext extends PlanInput {
  readonly replicaCounts: ReadonlyMap<string, number>;
  /** Index of each engine in the load distribution. */
  readonly engineIndexes: ReadonlyMap<string, number>;
  readonly distribution: LoadDistribution;
  readonly totalLoad: number;
  readonly meanLoad: number;
}

function getDemand(input: PlanInput, model: string): number {
  return input.demands.get(model)?.tokensPerSecond ?? 0;
}

function getWeightedDemand(input: PlanInput, model: string): number {
  return input.demands.get(model)?.valuePerSecond ?? 0;
}

/** Returns the upper bound of the estimated demand for a model. */
function getHighDemand(input: PlanInput, model: string): number {
  const demand = getDemand(input, model);
  return (
    demand + Math.sqrt(demand * DEMAND_NOISE_TOKENS_PER_SECOND) + DEMAND_NOISE_TOKENS_PER_SECOND
  );
}

/** Returns the lower bound of the estimated demand for a model. */
function getLowDemand(input: PlanInput, model: string): number {
  const demand = getDemand(input, model);
  return Math.max(0, demand - Math.sqrt(demand * DEMAND_NOISE_TOKENS_PER_SECOND));
}

function createContext(input: PlanInput): PlanContext {
  const engineIndexesByModel = new Map<string, number[]>();
  input.engines.forEach((engine, engineIndex) => {
    listAssignedModels(engine).forEach((model) => {
      engineIndexesByModel.set(model, [...(engineIndexesByModel.get(model) ?? []), engineIndex]);
    });
  });
  const totalLoad = [...input.demands.values()].reduce(
    (sum, demand) => sum + demand.tokensPerSecond,
    0,
  );
  return {
    ...input,
    replicaCounts: new Map(
      [...engineIndexesByModel.entries()].map(([model, engineIndexes]) => [
        model,
        engineIndexes.length,
      ]),
    ),
    engineIndexes: new Map(
      input.engines.map(({ backendId }, engineIndex) => [backendId, engineIndex]),
    ),
    distribution: distributeLoads(input.engines.length, engineIndexesByModel, (model) =>
      getHighDemand(input, model),
    ),
    totalLoad,
    meanLoad: totalLoad / Math.max(1, input.engines.length),
  };
}

/** Returns where an engine loads a model from. */
export function getWeightSource(engine: EngineView, model: string): WeightSource {
  if (engine.hostCopies.includes(model)) {
    return WeightSource.Host;
  }
  return engine.diskCopies.includes(model) ? WeightSource.Disk : WeightSource.Store;
}

/** Time to load a model from each source of its weights. */
export const LOAD_TIMES: Readonly<Record<WeightSource, (model: EngineModel) => number>> = {
  [WeightSource.Host]: ({ hostLoadMs }) => hostLoadMs,
  [WeightSource.Disk]: ({ diskLoadMs }) => diskLoadMs,
  [WeightSource.Store]: ({ storeLoadMs }) => storeLoadMs,
};

/** Returns the cost of evicting a model from an engine, in tokens per second. */
function getEvictionCost(context: PlanContext, engine: EngineView, model: string): number {
  const replicaCount = context.replicaCounts.get(model) ?? 1;
  if (replicaCount > 1) {
    const engineIndex = context.engineIndexes.get(engine.backendId)!;
    const removalCost = Math.max(
      0,
      getReplicaRemovalCost(context.distribution, model, engineIndex),
    );
    return IDLE_EVICTION_COST / replicaCount + removalCost;
  }
  const urgencyWeight = context.urgencyWeights.get(model) ?? DEFAULT_URGENCY_WEIGHT;
  // The engine keeps a copy of an evicted model, at least on its disk.
  const loadMs = context.profile.modelsByName.get(model)?.diskLoadMs ?? 0;
  const reloadSeconds = loadMs / MS_PER_SECOND + RELOAD_OVERHEAD_SECONDS;
  const returnFraction = (RETURN_DEMAND_FRACTION * reloadSeconds) / PAYBACK_SECONDS;
  const returnCost = urgencyWeight * returnFraction * context.meanLoad;
  return IDLE_EVICTION_COST + returnCost + getWeightedDemand(context, model) * LAST_REPLICA_FACTOR;
}

/**
 * Chooses the model to evict so that another fits; returns undefined if evictions cannot free
 * enough.
 */
function chooseEviction(
  context: PlanContext,
  engine: EngineView,
  model: EngineModel,
): { readonly evictedModel: string | null; readonly cost: number } | undefined {
  const { profile } = context;
  // An unconfirmed load of the same model takes its memory only once.
  const missingMb =
    getCommittedMemoryMb(profile, { ...engine, loadingModel: model.name }) - profile.memoryMb;
  if (missingMb <= 0) {
    return { evictedModel: null, cost: 0 };
  }
  const loaded = [...engine.models.keys()].map((name) => ({
    name,
    memoryMb: getModelMemoryMb(profile, name),
    cost: getEvictionCost(context, engine, name),
  }));
  if (loaded.reduce((sum, { memoryMb }) => sum + memoryMb, 0) < missingMb) {
    return undefined;
  }
  const byCost = loaded.toSorted((a, b) => a.cost - b.cost);
  // Only one eviction is ordered at a time; the next step handles the memory that is still missing.
  const sufficient = byCost.find(({ memoryMb }) => memoryMb >= missingMb);
  const [cheapest, second] = byCost;
  if (cheapest === undefined) {
    return undefined;
  }
  const pairCost = second === undefined ? Number.POSITIVE_INFINITY : cheapest.cost + second.cost;
  if (sufficient !== undefined && sufficient.cost <= pairCost) {
    return { evictedModel: sufficient.name, cost: sufficient.cost };
  }
  return second === undefined ? undefined : { evictedModel: cheapest.name, cost: pairCost };
}

/**
 * Lists the engines that could load a model, the cheapest first, and last those that recently
 * failed to accept an order. A copy of the weights in host memory or on disk lowers the cost, since
 * a load from the weight store takes seconds and is rate-limited across the fleet.
 */
function findCandidates(context: PlanContext, model: EngineModel): PlacementCandidate[] {
  return context.engines
    .filter(
      (engine) => engine.canTakeOrder && engine.isCooldownOver && engine.reservedModel === null,
    )
    .filter((engine) => !listAssignedModels(engine).includes(model.name))
    .flatMap((engine) => {
      const source = getWeightSource(engine, model.name);
      const eviction = chooseEviction(context, engine, model);
      if (eviction === undefined || (source === WeightSource.Store && !context.mayLoadFromStore)) {
        return [];
      }
      const loadSeconds = LOAD_TIMES[source](model) / MS_PER_SECOND;
      const loadCost =
        loadSeconds * Math.max(MIN_COST_PER_LOAD_SECOND, getUnplacedDemand(context, model.name));
      const engineLoad = context.distribution.loads[context.engineIndexes.get(engine.backendId)!]!;
      const cost = eviction.cost + loadCost + engineLoad;
      return [
        { engine, source, evictedModel: eviction.evictedModel, evictionCost: eviction.cost, cost },
      ];
    })
    .sort(
      (a, b) =>
        Number(a.engine.hasFailedOrder) - Number(b.engine.hasFailedOrder) || a.cost - b.cost,
    );
}

function createStep(candidate: PlacementCandidate, model: string, reason: string): PlanStep {
  const { evictedModel, engine, source } = candidate;
  const { backendId } = engine;
  return evictedModel === null
    ? { backendId, model, isLoad: true, targetModel: model, source, reason }
    : {
        backendId,
        model: evictedModel,
        isLoad: false,
        targetModel: model,
        source: null,
        reason: `memory is needed: ${reason} ${model}`,
      };
}

/**
 * Loads the model that memory is reserved for, or evicts one more if the free memory is too small.
 */
function planReservedModel(context: PlanContext): PlanStep | null {
  for (const engine of context.engines) {
    const name = engine.reservedModel;
    const model = name === null ? undefined : context.profile.modelsByName.get(name);
    if (engine.canTakeOrder && model !== undefined && !engine.models.has(model.name)) {
      const source = getWeightSource(engine, model.name);
      const eviction = chooseEviction(context, { ...engine, reservedModel: null }, model);
      if (eviction !== undefined && (source !== WeightSource.Store || context.mayLoadFromStore)) {
        const { evictedModel, cost } = eviction;
        const candidate = { engine, source, evictedModel, evictionCost: cost, cost };
        return createStep(candidate, model.name, 'memory is reserved for the model');
      }
    }
  }
  return null;
}

/** Returns the cheapest engine that could load a missing model; undefined if none is worth its evictions. */
function findPlacement(
  context: PlanContext,
  { demand, model: name, softwareVersion }: PlacementNeed,
): PlacementCandidate | undefined {
  const model = context.profile.modelsByName.get(name)!;
  const best = findCandidates(context, model).find(
    ({ engine }) => softwareVersion === null || engine.softwareVersion === softwareVersion,
  );
  return best !== undefined && best.evictionCost <= demand * LAST_REPLICA_FACTOR ? best : undefined;
}

/**
 * Plans a load of the model with the highest demand among those that no engine has or is loading, or none of a version that
 * requests wait for.
 */
function planUnplacedModel(context: PlanContext): PlanStep | null {
  for (const need of listPlacementNeeds(context)) {
    const placement = findPlacement(context, need);
    if (placement !== undefined) {
      const { model, softwareVersion } = need;
      const holder = softwareVersion === null ? 'engine' : `engine of ${softwareVersion}`;
      return createStep(placement, model, `no ${holder} holds the model`);
    }
  }
  return null;
}

/**
 * Returns the gain of another replica on an engine minus its cost, in tokens per second over the
 * payback time.
 */
function getNetGain(
  context: PlanContext,
  distribution: LoadDistribution,
  model: EngineModel,
  candidate: PlacementCandidate,
): number {
  const { evictionCost, evictedModel, engine, source } = candidate;
  const engineIndex = context.engineIndexes.get(engine.backendId)!;
  const gain = getReplicaGain(distribution, model.name, engineIndex, evictedModel);
  const loadFraction = Math.min(1, LOAD_TIMES[source](model) / MS_PER_SECOND / PAYBACK_SECONDS);
  // Evicting one of several replicas is part of the gain, except for the time until the load is done.
  const isLastReplica = evictedModel !== null && context.replicaCounts.get(evictedModel) === 1;
  return gain * (1 - loadFraction) - evictionCost * (isLastReplica ? 1 : loadFraction);
}

/**
 * Plans the additional replica with the highest net gain, if that exceeds the minimum. Demand is
 * estimated from a few seconds of requests, so the model that gets the replica counts with the
 * lower bound of its demand, and every other model with the upper bound.
 */
function planExtraReplica(context: PlanContext): PlanStep | null {
  const { profile, replicaCounts } = context;
  const getDemandPerReplica = (name: string): number =>
    getLowDemand(context, name) / (replicaCounts.get(name) ?? 1);
  const busiestModels = [...replicaCounts.keys()]
    .filter((name) => getLowDemand(context, name) > 0 && profile.modelsByName.has(name))
    .sort((a, b) => getDemandPerReplica(b) - getDemandPerReplica(a))
    .slice(0, MAX_REPLICATION_CANDIDATES);
  const scoredCandidates = busiestModels.flatMap((name) => {
    const model = profile.modelsByName.get(name)!;
    const { engineIndexesByModel } = context.distribution;
    const distribution = distributeLoads(context.engines.length, engineIndexesByModel, (other) =>
      other === name ? getLowDemand(context, other) : getHighDemand(context, other),
    );
    return findCandidates(context, model).map((candidate) => ({
      gain: getNetGain(context, distribution, model, candidate),
      candidate,
      name,
    }));
  });
  const [best] = scoredCandidates.sort((a, b) => b.gain - a.gain);
  return best !== undefined && best.gain > context.totalLoad * MIN_GAIN_FRACTION
    ? createStep(best.candidate, best.name, 'demand requires another replica of the model')
    : null;
}

/** Returns the next order to load or unload a model, or null if no change is worth its cost. */
export function planNextStep(input: PlanInput): PlanStep | null {
  const context = createContext(input);
  return planReservedModel(context) ?? planUnplacedModel(context) ?? planExtraReplica(context);
}

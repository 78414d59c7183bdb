/**
 * Decides which model an engine loads or drops next. Pure.
 *
 * A model that is asked for and that no engine holds comes first. Then models get replicas where that evens
 * out the load of the engines by more than it costs; demand is known only from some seconds of requests, so a
 * model that gains counts at the low end of what it may be, and one that loses at the high end. Room is made
 * by dropping the models whose loss costs least; one that is asked for keeps its last replica. An engine that
 * has a copy of the weights in host memory or on disk is preferred, since loading from the weight store takes
 * seconds and is limited over the fleet.
 */
import type { EngineModel, EngineProfile } from '../../state/entry/deployment.js';
import type { EngineOrder } from './events.js';
import { getReplicaGain, getReplicaLoss, type LoadSpread, spreadLoads } from './loadModel.js';

/** An engine as the plan sees it. */
export interface EngineView {
  readonly backendId: string;
  /** Models that it holds. */
  readonly models: ReadonlyMap<string, ReadonlySet<string>>;
  /** The model that it is loading; its memory counts. */
  readonly loadingModel: string | null;
  readonly droppingModel: string | null;
  /** The model that room was made for; it counts as being loaded. */
  readonly intendedModel: string | null;
  /** False shortly after a change: only the intended model is loaded then. */
  readonly isSettled: boolean;
  /** Orders that may still take effect; their memory counts. */
  readonly doubtful: readonly EngineOrder[];
  readonly hostCopies: readonly string[];
  readonly diskCopies: readonly string[];
  /** True if it can take an order now. */
  readonly isFree: boolean;
}

/** Demand for a model over all VMs. */
export interface ModelNeed {
  readonly tokensPerSecond: number;
  /** The same, with requests that are due sooner counting more. */
  readonly valuePerSecond: number;
  readonly waitingRequests: number;
}

/** The need for a model that nobody asks for. */
export const NO_NEED: ModelNeed = { tokensPerSecond: 0, valuePerSecond: 0, waitingRequests: 0 };

export interface PlanInput {
  readonly profile: EngineProfile;
  readonly engines: readonly EngineView[];
  readonly needs: ReadonlyMap<string, ModelNeed>;
  /** How soon requests for each model were ever due; a model that was never asked for counts as urgent. */
  readonly timeWeights: ReadonlyMap<string, number>;
  /** False while the limit on loads from the weight store is used up. */
  readonly mayLoadFromStore: boolean;
}

/** Where the weights of a load come from. */
export const WeightSource = { Host: 'host', Disk: 'disk', Store: 'store' } as const;
export type WeightSource = (typeof WeightSource)[keyof typeof WeightSource];

/** The next order on a model. */
export interface PlanStep {
  readonly backendId: string;
  readonly model: string;
  readonly isLoad: boolean;
  /** The model that the step is for: the one loaded, or the one that a drop makes room for. */
  readonly wantedModel: string;
  readonly source: WeightSource | null;
  readonly reason: string;
}

/** A waiting request counts as this demand, so that a model that was never asked for is loaded. */
const WAITING_TOKENS_PER_SECOND = 1_000;
/** More waiting requests do not make a model more urgent. */
const MAX_WAITING = 3;
/** A model without a replica is loaded ahead of a waiting request from this demand on. */
const AHEAD_TOKENS_PER_SECOND = 200;
/** Loss that dropping an idle replica counts, in tokens a second. */
const IDLE_LOSS = 50;
/**
 * Demand moves by whole models within seconds. The last replica of an idle model is worth the demand that is
 * lost if it comes back: this part of an engine's mean load for the time of a load, over the time in which a
 * placement has to pay.
 */
const RETURN_PART = 0.5;
/** Time of an order and of the news that the model is there, besides the load itself. */
const RETURN_SECONDS = 0.5;
/** Time weight of a model that was never asked for. */
const UNKNOWN_TIME_WEIGHT = 2.5;
/** Weight of the demand for a model that is lost with its last replica, or won with its first. */
const LAST_REPLICA_FACTOR = 5;
/**
 * Spread of a demand that is measured over some seconds: the cost of a request, weighted by costs, over twice
 * the time constant of the mean. Requests of all sites cost 700 to 3,000 tokens.
 */
const DEMAND_NOISE = 500;
/** Models that are considered for a replica more, those with most to do at each of theirs. */
const MAX_REPLICA_MODELS = 4;
/** A replica more has to take away this part of all demand from what is late. */
const MIN_GAIN_PART = 0.02;
/** Time over which a replica more has to pay: demand moves within some tens of seconds. */
const GAIN_SECONDS = 10;
/** Loss that a second of loading counts at least, in tokens a second; its demand meanwhile is lost too. */
const LOAD_SECOND_LOSS = 300;
const MS_PER_SECOND = 1000;

/** Returns the memory that a model takes with adapters in all slots, as far as it has any. */
function getModelMemory(profile: EngineProfile, model: EngineModel | undefined): number {
  if (model === undefined) {
    return 0;
  }
  const slots = Math.min(profile.adapterSlots, model.adapterCount);
  return model.memoryMb + slots * model.adapterMemoryMb;
}

/** Returns the memory of an engine that is in use or may come to be. */
export function getUsedMemory(profile: EngineProfile, engine: EngineView): number {
  const names = new Set(engine.models.keys());
  [engine.loadingModel, engine.intendedModel]
    .filter((model) => model !== null)
    .forEach((model) => names.add(model));
  engine.doubtful
    .filter(({ action }) => action === 'load')
    .forEach(({ model }) => names.add(model));
  return [...names].reduce(
    (sum, name) => sum + getModelMemory(profile, profile.modelsByName.get(name)),
    0,
  );
}

interface Placement {
  readonly engine: EngineView;
  readonly source: WeightSource;
  /** The model to drop first; null if there is room. */
  readonly dropped: string | null;
  /** What dropping costs, and what the placement costs in all; in tokens a second. */
  readonly dropLoss: number;
  readonly loss: number;
}

/** Works on one input; holds what is derived from it. */
interface PlanContext extends PlanInput {
  readonly replicas: ReadonlyMap<string, number>;
  /** Place of each engine in the spread. */
  readonly places: ReadonlyMap<string, number>;
  readonly spread: LoadSpread;
  readonly totalLoad: number;
  readonly meanLoad: number;
}

function getNeed(input: PlanInput, model: string): number {
  return input.needs.get(model)?.tokensPerSecond ?? 0;
}

function getValue(input: PlanInput, model: string): number {
  return input.needs.get(model)?.valuePerSecond ?? 0;
}

function getMissingNeed(input: PlanInput, model: string): number {
  const waiting = Math.min(MAX_WAITING, input.needs.get(model)?.waitingRequests ?? 0);
  const timeWeight = input.timeWeights.get(model) ?? UNKNOWN_TIME_WEIGHT;
  return getValue(input, model) + waiting * timeWeight * WAITING_TOKENS_PER_SECOND;
}

function listHeld(engine: EngineView): string[] {
  const held = [...engine.models.keys()].filter((model) => model !== engine.droppingModel);
  const coming = [engine.loadingModel, engine.intendedModel].filter((model) => model !== null);
  return [...new Set([...held, ...coming])];
}

/** The demand for a model at the high end of what it may be. */
function getHighNeed(input: PlanInput, model: string): number {
  const need = getNeed(input, model);
  return need + Math.sqrt(need * DEMAND_NOISE) + DEMAND_NOISE;
}

/** The demand for a model at the low end. */
function getLowNeed(input: PlanInput, model: string): number {
  const need = getNeed(input, model);
  return Math.max(0, need - Math.sqrt(need * DEMAND_NOISE));
}

function createContext(input: PlanInput): PlanContext {
  const holders = new Map<string, number[]>();
  input.engines.forEach((engine, place) => {
    listHeld(engine).forEach((model) => {
      holders.set(model, [...(holders.get(model) ?? []), place]);
    });
  });
  const totalLoad = [...input.needs.values()].reduce((sum, need) => sum + need.tokensPerSecond, 0);
  return {
    ...input,
    replicas: new Map([...holders.entries()].map(([model, places]) => [model, places.length])),
    places: new Map(input.engines.map(({ backendId }, place) => [backendId, place])),
    spread: spreadLoads(input.engines.length, holders, (model) => getHighNeed(input, model)),
    totalLoad,
    meanLoad: totalLoad / Math.max(1, input.engines.length),
  };
}

function getSource(engine: EngineView, model: string): WeightSource {
  if (engine.hostCopies.includes(model)) {
    return WeightSource.Host;
  }
  return engine.diskCopies.includes(model) ? WeightSource.Disk : WeightSource.Store;
}

/** Time of a load of a model, by where its weights come from. */
export const LOAD_TIMES: Readonly<Record<WeightSource, (model: EngineModel) => number>> = {
  [WeightSource.Host]: ({ hostLoadMs }) => hostLoadMs,
  [WeightSource.Disk]: ({ diskLoadMs }) => diskLoadMs,
  [WeightSource.Store]: ({ storeLoadMs }) => storeLoadMs,
};

/** What is lost when an engine drops a model, in tokens a second. */
function getDropLoss(context: PlanContext, engine: EngineView, model: string): number {
  const replicas = context.replicas.get(model) ?? 1;
  if (replicas > 1) {
    const place = context.places.get(engine.backendId)!;
    const replicaLoss = Math.max(0, getReplicaLoss(context.spread, model, place));
    return IDLE_LOSS / replicas + replicaLoss;
  }
  const timeWeight = context.timeWeights.get(model) ?? UNKNOWN_TIME_WEIGHT;
  // The engine keeps a copy of what it drops, on its disk at least.
  const loadMs = context.profile.modelsByName.get(model)?.diskLoadMs ?? 0;
  const returnSeconds = loadMs / MS_PER_SECOND + RETURN_SECONDS;
  const returnPart = (RETURN_PART * returnSeconds) / GAIN_SECONDS;
  const returnLoss = timeWeight * returnPart * context.meanLoad;
  return IDLE_LOSS + returnLoss + getValue(context, model) * LAST_REPLICA_FACTOR;
}

/** Finds what an engine has to drop for a model; undefined if that would not make room. */
function findRoom(
  context: PlanContext,
  engine: EngineView,
  model: EngineModel,
): { readonly dropped: string | null; readonly loss: number } | undefined {
  const { profile } = context;
  const missingMb =
    getUsedMemory(profile, engine) + getModelMemory(profile, model) - profile.memoryMb;
  if (missingMb <= 0) {
    return { dropped: null, loss: 0 };
  }
  const held = [...engine.models.keys()].map((name) => ({
    name,
    memoryMb: getModelMemory(profile, profile.modelsByName.get(name)),
    loss: getDropLoss(context, engine, name),
  }));
  const byLoss = held.toSorted((a, b) => a.loss - b.loss);
  // One drop is ordered at a time; the next step sees what is still missing.
  const enough = byLoss.find(({ memoryMb }) => memoryMb >= missingMb);
  const [cheapest, second] = byLoss;
  if (cheapest === undefined) {
    return undefined;
  }
  const pairLoss = second === undefined ? Number.POSITIVE_INFINITY : cheapest.loss + second.loss;
  if (enough !== undefined && enough.loss <= pairLoss) {
    return { dropped: enough.name, loss: enough.loss };
  }
  return second === undefined ? undefined : { dropped: cheapest.name, loss: pairLoss };
}

function findPlacements(context: PlanContext, model: EngineModel): Placement[] {
  return context.engines
    .filter((engine) => engine.isFree && engine.isSettled && engine.intendedModel === null)
    .filter((engine) => !listHeld(engine).includes(model.name))
    .flatMap((engine) => {
      const source = getSource(engine, model.name);
      const room = findRoom(context, engine, model);
      if (room === undefined || (source === WeightSource.Store && !context.mayLoadFromStore)) {
        return [];
      }
      const loadSeconds = LOAD_TIMES[source](model) / MS_PER_SECOND;
      const loadLoss =
        loadSeconds * Math.max(LOAD_SECOND_LOSS, getMissingNeed(context, model.name));
      const ownLoad = context.spread.loads[context.places.get(engine.backendId)!]!;
      const loss = room.loss + loadLoss + ownLoad;
      return [{ engine, source, dropped: room.dropped, dropLoss: room.loss, loss }];
    })
    .sort((a, b) => a.loss - b.loss);
}

function createStep(placement: Placement, model: string, reason: string): PlanStep {
  const { dropped, engine, source } = placement;
  const { backendId } = engine;
  return dropped === null
    ? { backendId, model, isLoad: true, wantedModel: model, source, reason }
    : {
        backendId,
        model: dropped,
        isLoad: false,
        wantedModel: model,
        source: null,
        reason: `${reason} ${model}`,
      };
}

/** Loads the model that room was made for, or drops one more if there is still too little. */
function planIntended(context: PlanContext): PlanStep | null {
  for (const engine of context.engines) {
    const name = engine.intendedModel;
    const model = name === null ? undefined : context.profile.modelsByName.get(name);
    if (engine.isFree && model !== undefined && !engine.models.has(model.name)) {
      const source = getSource(engine, model.name);
      const room = findRoom(context, { ...engine, intendedModel: null }, model);
      if (room !== undefined && (source !== WeightSource.Store || context.mayLoadFromStore)) {
        const { dropped, loss } = room;
        const placement = { engine, source, dropped, dropLoss: loss, loss };
        return createStep(placement, model.name, 'room was made');
      }
    }
  }
  return null;
}

/** The most wanted model that no engine holds or loads. */
function planMissing(context: PlanContext): PlanStep | null {
  const missing = [...context.needs.keys()]
    .filter((name) => !context.replicas.has(name) && context.profile.modelsByName.has(name))
    .filter((name) => getMissingNeed(context, name) >= AHEAD_TOKENS_PER_SECOND)
    .sort((a, b) => getMissingNeed(context, b) - getMissingNeed(context, a));
  for (const name of missing) {
    const model = context.profile.modelsByName.get(name)!;
    const [best] = findPlacements(context, model);
    const gain = getMissingNeed(context, name) * LAST_REPLICA_FACTOR;
    if (best !== undefined && best.dropLoss <= gain) {
      return createStep(best, name, 'no engine holds');
    }
  }
  return null;
}

/** What a replica more is worth at a place, in tokens a second over the time in which it has to pay. */
function getGain(
  context: PlanContext,
  spread: LoadSpread,
  model: EngineModel,
  placement: Placement,
): number {
  const { dropLoss, dropped, engine, source } = placement;
  const place = context.places.get(engine.backendId)!;
  const gain = getReplicaGain(spread, model.name, place, dropped);
  const loadPart = Math.min(1, LOAD_TIMES[source](model) / MS_PER_SECOND / GAIN_SECONDS);
  // The loss of one of several replicas is in the gain, but for the time until the load is done.
  const isLast = dropped !== null && context.replicas.get(dropped) === 1;
  return gain * (1 - loadPart) - dropLoss * (isLast ? 1 : loadPart);
}

/** The replica more that evens out the load most, if that is worth its load. */
function planReplicas(context: PlanContext): PlanStep | null {
  const { profile, replicas } = context;
  const getReplicaNeed = (name: string): number =>
    getLowNeed(context, name) / (replicas.get(name) ?? 1);
  const busiest = [...replicas.keys()]
    .filter((name) => getLowNeed(context, name) > 0 && profile.modelsByName.has(name))
    .sort((a, b) => getReplicaNeed(b) - getReplicaNeed(a))
    .slice(0, MAX_REPLICA_MODELS);
  const steps = busiest.flatMap((name) => {
    const model = profile.modelsByName.get(name)!;
    const { holders } = context.spread;
    const spread = spreadLoads(context.engines.length, holders, (other) =>
      other === name ? getLowNeed(context, other) : getHighNeed(context, other),
    );
    return findPlacements(context, model).map((placement) => ({
      gain: getGain(context, spread, model, placement),
      placement,
      name,
    }));
  });
  const [best] = steps.sort((a, b) => b.gain - a.gain);
  return best !== undefined && best.gain > context.totalLoad * MIN_GAIN_PART
    ? createStep(best.placement, best.name, 'more replicas of')
    : null;
}

/** Returns the next order on a model, or null if nothing is worth one. */
export function planNextStep(input: PlanInput): PlanStep | null {
  const context = createContext(input);
  return planIntended(context) ?? planMissing(context) ?? planReplicas(context);
}

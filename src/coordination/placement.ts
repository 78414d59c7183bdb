/**
 * Decides which models the engines of a failure domain hold, and plans the next load and unload orders.
 *
 * Each model has a home failure domain, chosen by rendezvous hashing. The home never gives up a model; any
 * other failure domain may do so while a replica elsewhere serves it. So while the home has a replica, failure
 * domains cannot unload the last replicas at the same time, although they do not communicate. Memory that
 * remains is used for a second replica.
 */
import { getModelTag } from '../state/configuration.js';
import {
  createServerPlan,
  getCommittedMb,
  hasPendingOrder,
  isPlacedWithoutPendingOrder,
  OrderKind,
  type PlacedModel,
  type PlacementPlan,
  type ReportedModels,
  type ServerPlan,
} from '../state/placementPlan.js';
import { hashText } from '../state/random.js';
import type { FailureDomain, Model } from '../state/types.js';

const MAX_REPLICAS = 2;

/** An engine of the failure domain, as input to planning. */
export interface EngineView {
  readonly name: string;
  readonly memoryMb: number;
  readonly isLeaving: boolean;
  /** Null while the engine does not report; it then gets no new orders. */
  readonly reported: ReportedModels | null;
}

export interface PlacementInput {
  readonly failureDomain: string;
  readonly domains: readonly FailureDomain[];
  readonly models: readonly Model[];
  readonly engines: readonly EngineView[];
  /** Tags that engines of other failure domains currently report as loaded. */
  readonly tagsServedElsewhere: ReadonlySet<string>;
  /** The number of loads that may be in progress at once, and the number that may be started now. */
  readonly maxConcurrentLoads: number;
  readonly maxNewLoads: number;
}

/** Returns the home failure domain of a model, which never gives up the model. */
export function getHomeDomain(domains: readonly FailureDomain[], modelName: string): string {
  const score = (domain: FailureDomain): number => hashText(`${domain.name}#${modelName}`);
  return domains.reduce((best, domain) => (score(domain) > score(best) ? domain : best)).name;
}

/** The mutable state of one planning round. */
interface PlanningRound {
  readonly input: PlacementInput;
  /** Plans of the engines, by engine name; updated as orders are added. */
  readonly servers: Map<string, ServerPlan>;
  readonly modelsByName: ReadonlyMap<string, Model>;
  orderCount: number;
  newLoads: number;
  /** False once the limits of the weight store allow no further load in this round. */
  canLoad: boolean;
}

function getEnginePlan(round: PlanningRound, engine: EngineView): ServerPlan {
  return round.servers.get(engine.name) ?? createServerPlan(engine.name);
}

function addOrder(
  round: PlanningRound,
  engine: EngineView,
  kind: OrderKind,
  model: PlacedModel,
): void {
  const server = getEnginePlan(round, engine);
  round.orderCount += 1;
  const order = { orderId: `${engine.name}/${round.orderCount}`, kind, ...model };
  round.servers.set(engine.name, { ...server, orders: [...server.orders, order] });
}

function isReported(engine: EngineView, tag: string): boolean {
  return engine.reported?.loadedTags.includes(tag) ?? false;
}

/** Returns the number of loads that are ordered, plus those that engines have accepted but not finished. */
function countPendingLoads(round: PlanningRound): number {
  return round.input.engines.reduce((sum, engine) => {
    const { orders, placed } = getEnginePlan(round, engine);
    const loadOrders = orders.filter((order) => order.kind === OrderKind.Load);
    const unfinished = placed.filter(({ tag }) => !isReported(engine, tag));
    return sum + loadOrders.length + unfinished.length;
  }, 0);
}

function canLoadMore(round: PlanningRound): boolean {
  const { input, newLoads } = round;
  return newLoads < input.maxNewLoads && countPendingLoads(round) < input.maxConcurrentLoads;
}

/** Returns the engines that hold a tag or have an order to load it, except engines that are leaving. */
function findReplicaEngines(round: PlanningRound, tag: string): EngineView[] {
  return round.input.engines.filter((engine) => {
    const server = getEnginePlan(round, engine);
    const isLoadOrdered = server.orders.some((o) => o.tag === tag && o.kind === OrderKind.Load);
    return !engine.isLeaving && (isLoadOrdered || isPlacedWithoutPendingOrder(server, tag));
  });
}

/** Returns the engines that currently serve a tag. */
function findServingEngines(round: PlanningRound, tag: string): EngineView[] {
  return findReplicaEngines(round, tag).filter((engine) => isReported(engine, tag));
}

function getFreeMb(round: PlanningRound, engine: EngineView): number {
  return engine.reported === null
    ? 0
    : engine.memoryMb - getCommittedMb(getEnginePlan(round, engine), engine.reported);
}

function hasBaseModel(round: PlanningRound, engine: EngineView, model: Model): boolean {
  if (model.baseModel === undefined) {
    return true;
  }
  const base = round.modelsByName.get(model.baseModel);
  if (base === undefined) {
    return false;
  }
  const tag = getModelTag(base);
  return isReported(engine, tag) && isPlacedWithoutPendingOrder(getEnginePlan(round, engine), tag);
}

function isEligible(round: PlanningRound, engine: EngineView, model: Model): boolean {
  const server = getEnginePlan(round, engine);
  const tag = getModelTag(model);
  const isAbsent = !hasPendingOrder(server, tag) && !server.placed.some((m) => m.tag === tag);
  return (
    !engine.isLeaving &&
    engine.reported !== null &&
    isAbsent &&
    !isReported(engine, tag) &&
    hasBaseModel(round, engine, model)
  );
}

function findEngineWithMostFreeMemory(round: PlanningRound, model: Model): EngineView | undefined {
  return round.input.engines
    .filter((engine) => isEligible(round, engine, model))
    .filter((engine) => getFreeMb(round, engine) >= model.memoryMb)
    .toSorted((a, b) => getFreeMb(round, b) - getFreeMb(round, a))[0];
}

function orderLoad(round: PlanningRound, engine: EngineView, model: Model): void {
  const placed = { tag: getModelTag(model), memoryMb: model.memoryMb };
  addOrder(round, engine, OrderKind.Load, placed);
  round.newLoads += 1;
  round.canLoad = canLoadMore(round);
}

function orderUnload(round: PlanningRound, engine: EngineView, tag: string): void {
  const server = getEnginePlan(round, engine);
  const placed = server.placed.find((model) => model.tag === tag) ?? { tag, memoryMb: 0 };
  addOrder(round, engine, OrderKind.Unload, placed);
}

function isHome({ input }: PlanningRound, model: Model): boolean {
  return getHomeDomain(input.domains, model.name) === input.failureDomain;
}

/**
 * Returns whether a replica is redundant: another one serves the model, either in this failure domain or, if
 * this is not the home of the model, in another one.
 */
function isRedundant(round: PlanningRound, engine: EngineView, model: Model): boolean {
  const tag = getModelTag(model);
  const isServedByOther = findServingEngines(round, tag).some((other) => other !== engine);
  return isServedByOther || (!isHome(round, model) && round.input.tagsServedElsewhere.has(tag));
}

/**
 * Returns whether an order may unload a tag from an engine. A model that is still loading is not unloaded,
 * because the load would finish after the unload.
 */
function canUnload(server: ServerPlan, engine: EngineView, tag: string): boolean {
  return isPlacedWithoutPendingOrder(server, tag) && isReported(engine, tag);
}

/** Returns the adapters of a base model that are placed on an engine or have an order there. */
function findAdapters(round: PlanningRound, engine: EngineView, base: Model): Model[] {
  const server = getEnginePlan(round, engine);
  return round.input.models.filter((model) => {
    const tag = getModelTag(model);
    const isOnEngine = server.placed.some((m) => m.tag === tag) || hasPendingOrder(server, tag);
    return model.baseModel === base.name && isOnEngine;
  });
}

/**
 * Returns the replicas that may be unloaded from an engine. A base model may be unloaded only if all of its
 * adapters there may be, and the adapters come first.
 */
function findRedundantReplicas(round: PlanningRound, engine: EngineView): Model[] {
  const server = getEnginePlan(round, engine);
  const isRemovable = (model: Model): boolean =>
    canUnload(server, engine, getModelTag(model)) && isRedundant(round, engine, model);
  return round.input.models
    .filter((model) => isRemovable(model) && findAdapters(round, engine, model).every(isRemovable))
    .toSorted((a, b) => Number(b.baseModel !== undefined) - Number(a.baseModel !== undefined));
}

/**
 * Unloads redundant replicas on one engine until a model fits there. Of the engines where that frees enough
 * memory, the one with the fewest redundant replicas is chosen.
 */
function evictRedundantReplicas(round: PlanningRound, model: Model): void {
  const candidates = round.input.engines
    .filter((engine) => isEligible(round, engine, model))
    .map((engine) => ({ engine, redundant: findRedundantReplicas(round, engine) }))
    .filter(({ engine, redundant }) => {
      const freedMb = redundant.reduce((sum, replica) => sum + replica.memoryMb, 0);
      return getFreeMb(round, engine) + freedMb >= model.memoryMb;
    })
    .toSorted((a, b) => a.redundant.length - b.redundant.length);
  const [best] = candidates;
  if (best === undefined) {
    return;
  }
  let freeMb = getFreeMb(round, best.engine);
  for (const replica of best.redundant) {
    if (freeMb >= model.memoryMb) {
      return;
    }
    orderUnload(round, best.engine, getModelTag(replica));
    freeMb += replica.memoryMb;
  }
}

function isEvictionPending(round: PlanningRound, model: Model): boolean {
  return round.input.engines.some((engine) => {
    const { orders } = getEnginePlan(round, engine);
    const freedMb = orders
      .filter((order) => order.kind === OrderKind.Unload)
      .reduce((sum, order) => sum + order.memoryMb, 0);
    return freedMb > 0 && getFreeMb(round, engine) + freedMb >= model.memoryMb;
  });
}

/** Places the first replica of a model. */
function placeFirstReplica(round: PlanningRound, model: Model): void {
  if (!round.canLoad || findReplicaEngines(round, getModelTag(model)).length > 0) {
    return;
  }
  const engine = findEngineWithMostFreeMemory(round, model);
  if (engine !== undefined) {
    orderLoad(round, engine, model);
    return;
  }
  const isNeeded = isHome(round, model) || !round.input.tagsServedElsewhere.has(getModelTag(model));
  if (isNeeded && !isEvictionPending(round, model)) {
    evictRedundantReplicas(round, model);
  }
}

/** Places a second replica of a model in memory that remains free. */
function placeSecondReplica(round: PlanningRound, model: Model): void {
  const tag = getModelTag(model);
  if (!round.canLoad) {
    return;
  }
  const isServed = findServingEngines(round, tag).length > 0;
  if (!isServed || findReplicaEngines(round, tag).length >= MAX_REPLICAS) {
    return;
  }
  const engine = findEngineWithMostFreeMemory(round, model);
  if (engine !== undefined) {
    orderLoad(round, engine, model);
  }
}

function getModelName(tag: string): string {
  return tag.slice(0, tag.lastIndexOf('@'));
}

/** Returns whether a replica other than the given one serves any version of a model in this failure domain. */
function isServedByOtherReplica(round: PlanningRound, engine: EngineView, tag: string): boolean {
  const modelName = getModelName(tag);
  return round.input.engines.some((other) => {
    const server = getEnginePlan(round, other);
    const isOtherReplica = (placed: PlacedModel): boolean =>
      getModelName(placed.tag) === modelName && (other !== engine || placed.tag !== tag);
    return (
      !other.isLeaving &&
      server.placed.some((placed) => isOtherReplica(placed) && canUnload(server, other, placed.tag))
    );
  });
}

/**
 * Returns the adapters on an engine that were loaded onto one replica of their base model. An engine can hold several
 * versions of the base; an adapter was loaded onto the one that was placed last before it.
 */
function findAdaptersOnReplica(
  round: PlanningRound,
  engine: EngineView,
  baseTag: string,
): string[] {
  const baseName = getModelName(baseTag);
  const tags = getEnginePlan(round, engine).placed.map(({ tag }) => tag);
  const baseTags = tags.filter((tag) => getModelName(tag) === baseName);
  const findBaseOf = (adapterTag: string): string | undefined => {
    const earlier = tags.slice(0, tags.indexOf(adapterTag));
    return baseTags.findLast((tag) => earlier.includes(tag)) ?? baseTags[0];
  };
  return tags.filter(
    (tag) =>
      round.modelsByName.get(getModelName(tag))?.baseModel === baseName &&
      findBaseOf(tag) === baseTag,
  );
}

/** Returns whether a replica of an old version, and the adapters that were loaded onto it, are served by others. */
function isReplaceableByOthers(round: PlanningRound, engine: EngineView, oldTag: string): boolean {
  return [oldTag, ...findAdaptersOnReplica(round, engine, oldTag)].every((tag) =>
    isServedByOtherReplica(round, engine, tag),
  );
}

/** Returns whether a replica of an old version may be unloaded. At every moment some version is served. */
function canUnloadOldVersion(
  round: PlanningRound,
  engine: EngineView,
  model: Model,
  oldTag: string,
): boolean {
  const { tagsServedElsewhere } = round.input;
  const tag = getModelTag(model);
  const isCurrentVersionServed =
    findServingEngines(round, tag).length > 0 || tagsServedElsewhere.has(tag);
  const isOldVersionServedElsewhere = !isHome(round, model) && tagsServedElsewhere.has(oldTag);
  return (
    isCurrentVersionServed ||
    isReplaceableByOthers(round, engine, oldTag) ||
    (isOldVersionServedElsewhere && findEngineWithMostFreeMemory(round, model) === undefined)
  );
}

/**
 * Unloads old versions of models. An old replica is unloaded at once if another replica of any version is
 * served, so that quick changes of the version do not fill the engines with old ones. The last one is unloaded
 * when the current version is served or, outside the model's home, to make room for the current version. A
 * model that is no longer configured is unloaded at once.
 */
function unloadOldVersions(round: PlanningRound, engine: EngineView): void {
  const server = getEnginePlan(round, engine);
  server.placed
    .filter(({ tag }) => canUnload(server, engine, tag))
    .forEach(({ tag }) => {
      const model = round.modelsByName.get(getModelName(tag));
      const isOutdated = model === undefined || getModelTag(model) !== tag;
      if (isOutdated && (model === undefined || canUnloadOldVersion(round, engine, model, tag))) {
        orderUnload(round, engine, tag);
      }
    });
}

/**
 * Sorts base models before adapters, then models whose home is this failure domain before others, then by
 * descending memory.
 */
function sortModels(input: PlacementInput): Model[] {
  const ranks = new Map(
    input.models.map((model) => {
      const isHomeElsewhere = getHomeDomain(input.domains, model.name) !== input.failureDomain;
      return [
        model.name,
        (model.baseModel === undefined ? 0 : 2) + (isHomeElsewhere ? 1 : 0),
      ] as const;
    }),
  );
  return input.models.toSorted(
    (a, b) =>
      ranks.get(a.name)! - ranks.get(b.name)! ||
      b.memoryMb - a.memoryMb ||
      a.name.localeCompare(b.name),
  );
}

/**
 * Plans the next orders without side effects. The returned plan must be written to the store before any of
 * its orders is sent.
 */
export function planPlacement(plan: PlacementPlan, input: PlacementInput): PlacementPlan {
  const round: PlanningRound = {
    input,
    servers: new Map(plan.servers.map((server) => [server.name, server])),
    modelsByName: new Map(input.models.map((model) => [model.name, model])),
    orderCount: plan.orderCount,
    newLoads: 0,
    canLoad: true,
  };
  round.canLoad = canLoadMore(round);
  const models = sortModels(input);
  input.engines.forEach((engine) => unloadOldVersions(round, engine));
  models.forEach((model) => placeFirstReplica(round, model));
  models.forEach((model) => placeSecondReplica(round, model));
  return round.orderCount === plan.orderCount
    ? plan
    : { ...plan, orderCount: round.orderCount, servers: [...round.servers.values()] };
}

/**
 * Which models belong on which engines of a failure domain, and the next orders towards that.
 *
 * Each model has a home failure domain, by rendezvous hashing. The home always keeps the model; any
 * other failure domain may give it up. So no two failure domains can give up the last two replicas at
 * the same time, and no word between them is needed. Memory that is left takes a second replica.
 */
import { getModelTag } from '../state/configuration.js';
import {
  createServerPlan,
  getCommittedMb,
  hasOpenOrder,
  isStaying,
  OrderKind,
  type PlacedModel,
  type PlacementPlan,
  type ReportedModels,
  type ServerPlan,
} from '../state/placementPlan.js';
import { hashText } from '../state/random.js';
import type { FailureDomain, Model } from '../state/types.js';

const MAX_REPLICAS = 2;

/** An engine of the failure domain as the controller sees it. */
export interface EngineView {
  readonly name: string;
  readonly memoryMb: number;
  readonly isLeaving: boolean;
  /** Null while the engine does not report; it gets no new orders then. */
  readonly reported: ReportedModels | null;
}

export interface PlacementInput {
  readonly failureDomain: string;
  readonly domains: readonly FailureDomain[];
  readonly models: readonly Model[];
  readonly engines: readonly EngineView[];
  /** Tags that engines of other failure domains report now. */
  readonly reportedElsewhere: ReadonlySet<string>;
  /** Loads that may be under way at once, and that may be started now. */
  readonly maxOpenLoads: number;
  readonly maxNewLoads: number;
}

/** Returns the failure domain that always keeps a model. */
export function getHomeDomain(domains: readonly FailureDomain[], modelName: string): string {
  const score = (domain: FailureDomain): number => hashText(`${domain.name}#${modelName}`);
  return domains.reduce((best, domain) => (score(domain) > score(best) ? domain : best)).name;
}

/** The state of one planning round. */
interface Round {
  readonly input: PlacementInput;
  /** Plans of the engines, by name; changed as orders are added. */
  readonly servers: Map<string, ServerPlan>;
  readonly modelsByName: ReadonlyMap<string, Model>;
  orderCount: number;
  newLoads: number;
  /** False once the weight store allows no further load in this round. */
  canLoad: boolean;
}

function getPlanOf(round: Round, engine: EngineView): ServerPlan {
  return round.servers.get(engine.name) ?? createServerPlan(engine.name);
}

function addOrder(round: Round, engine: EngineView, kind: OrderKind, model: PlacedModel): void {
  const server = getPlanOf(round, engine);
  round.orderCount += 1;
  const order = { orderId: `${engine.name}/${round.orderCount}`, kind, ...model };
  round.servers.set(engine.name, { ...server, orders: [...server.orders, order] });
}

function isReported(engine: EngineView, tag: string): boolean {
  return engine.reported?.loadedTags.includes(tag) ?? false;
}

/** Loads that are ordered, and those that engines have taken and not finished. */
function countOpenLoads(round: Round): number {
  return round.input.engines.reduce((sum, engine) => {
    const { orders, placed } = getPlanOf(round, engine);
    const ordered = orders.filter((order) => order.kind === OrderKind.Load);
    const unfinished = placed.filter(({ tag }) => !isReported(engine, tag));
    return sum + ordered.length + unfinished.length;
  }, 0);
}

function canLoadMore(round: Round): boolean {
  const { input, newLoads } = round;
  return newLoads < input.maxNewLoads && countOpenLoads(round) < input.maxOpenLoads;
}

/** Engines that hold a tag or are about to, the leaving ones left out. */
function findHolders(round: Round, tag: string): EngineView[] {
  return round.input.engines.filter((engine) => {
    const server = getPlanOf(round, engine);
    const isComing = server.orders.some((o) => o.tag === tag && o.kind === OrderKind.Load);
    return !engine.isLeaving && (isComing || isStaying(server, tag));
  });
}

/** Engines that answer for a tag now. */
function findAnswering(round: Round, tag: string): EngineView[] {
  return findHolders(round, tag).filter((engine) => isReported(engine, tag));
}

function getFreeMb(round: Round, engine: EngineView): number {
  return engine.reported === null
    ? 0
    : engine.memoryMb - getCommittedMb(getPlanOf(round, engine), engine.reported);
}

function hasBase(round: Round, engine: EngineView, model: Model): boolean {
  if (model.baseModel === undefined) {
    return true;
  }
  const base = round.modelsByName.get(model.baseModel);
  if (base === undefined) {
    return false;
  }
  const tag = getModelTag(base);
  return isReported(engine, tag) && isStaying(getPlanOf(round, engine), tag);
}

function isUsable(round: Round, engine: EngineView, model: Model): boolean {
  const server = getPlanOf(round, engine);
  const tag = getModelTag(model);
  const isFree = !hasOpenOrder(server, tag) && !server.placed.some((m) => m.tag === tag);
  return (
    !engine.isLeaving &&
    engine.reported !== null &&
    isFree &&
    !isReported(engine, tag) &&
    hasBase(round, engine, model)
  );
}

function findRoomiest(round: Round, model: Model): EngineView | undefined {
  return round.input.engines
    .filter((engine) => isUsable(round, engine, model))
    .filter((engine) => getFreeMb(round, engine) >= model.memoryMb)
    .toSorted((a, b) => getFreeMb(round, b) - getFreeMb(round, a))[0];
}

function orderLoad(round: Round, engine: EngineView, model: Model): void {
  const placed = { tag: getModelTag(model), memoryMb: model.memoryMb };
  addOrder(round, engine, OrderKind.Load, placed);
  round.newLoads += 1;
  round.canLoad = canLoadMore(round);
}

function orderUnload(round: Round, engine: EngineView, tag: string): void {
  const server = getPlanOf(round, engine);
  const placed = server.placed.find((model) => model.tag === tag) ?? { tag, memoryMb: 0 };
  addOrder(round, engine, OrderKind.Unload, placed);
}

function isHome({ input }: Round, model: Model): boolean {
  return getHomeDomain(input.domains, model.name) === input.failureDomain;
}

/** Tells whether a replica may go: another one answers, here or at the home of its model. */
function isSpare(round: Round, engine: EngineView, model: Model): boolean {
  const tag = getModelTag(model);
  const hasOther = findAnswering(round, tag).some((other) => other !== engine);
  return hasOther || (!isHome(round, model) && round.input.reportedElsewhere.has(tag));
}

/** A model that is still being loaded would come after its own unload. */
function canUnload(server: ServerPlan, engine: EngineView, tag: string): boolean {
  return isStaying(server, tag) && isReported(engine, tag);
}

/** Adapters of a base model on one engine, or ordered there. */
function findAdapters(round: Round, engine: EngineView, base: Model): Model[] {
  const server = getPlanOf(round, engine);
  return round.input.models.filter((model) => {
    const tag = getModelTag(model);
    const isHere = server.placed.some((m) => m.tag === tag) || hasOpenOrder(server, tag);
    return model.baseModel === base.name && isHere;
  });
}

/** Replicas that may go from an engine; a base model only together with its adapters, which come first. */
function findSpares(round: Round, engine: EngineView): Model[] {
  const server = getPlanOf(round, engine);
  const mayGo = (model: Model): boolean =>
    canUnload(server, engine, getModelTag(model)) && isSpare(round, engine, model);
  return round.input.models
    .filter((model) => mayGo(model) && findAdapters(round, engine, model).every(mayGo))
    .toSorted((a, b) => Number(b.baseModel !== undefined) - Number(a.baseModel !== undefined));
}

/** Gives up spare replicas on the engine where that frees enough memory for a model. */
function makeRoom(round: Round, model: Model): void {
  const candidates = round.input.engines
    .filter((engine) => isUsable(round, engine, model))
    .map((engine) => ({ engine, spares: findSpares(round, engine) }))
    .filter(({ engine, spares }) => {
      const freedMb = spares.reduce((sum, spare) => sum + spare.memoryMb, 0);
      return getFreeMb(round, engine) + freedMb >= model.memoryMb;
    })
    .toSorted((a, b) => a.spares.length - b.spares.length);
  const [best] = candidates;
  if (best === undefined) {
    return;
  }
  let freeMb = getFreeMb(round, best.engine);
  for (const spare of best.spares) {
    if (freeMb >= model.memoryMb) {
      return;
    }
    orderUnload(round, best.engine, getModelTag(spare));
    freeMb += spare.memoryMb;
  }
}

function isRoomBeingMade(round: Round, model: Model): boolean {
  return round.input.engines.some((engine) => {
    const { orders } = getPlanOf(round, engine);
    const freedMb = orders
      .filter((order) => order.kind === OrderKind.Unload)
      .reduce((sum, order) => sum + order.memoryMb, 0);
    return freedMb > 0 && getFreeMb(round, engine) + freedMb >= model.memoryMb;
  });
}

/** Places the first replica of a model. */
function placeMissing(round: Round, model: Model): void {
  if (!round.canLoad || findHolders(round, getModelTag(model)).length > 0) {
    return;
  }
  const engine = findRoomiest(round, model);
  if (engine !== undefined) {
    orderLoad(round, engine, model);
    return;
  }
  const isNeeded = isHome(round, model) || !round.input.reportedElsewhere.has(getModelTag(model));
  if (isNeeded && !isRoomBeingMade(round, model)) {
    makeRoom(round, model);
  }
}

/** Uses memory that is left for a second replica. */
function placeSecond(round: Round, model: Model): void {
  const tag = getModelTag(model);
  if (!round.canLoad) {
    return;
  }
  const isSettled = findAnswering(round, tag).length > 0;
  if (!isSettled || findHolders(round, tag).length >= MAX_REPLICAS) {
    return;
  }
  const engine = findRoomiest(round, model);
  if (engine !== undefined) {
    orderLoad(round, engine, model);
  }
}

/** Tells whether a replica of an old version may go. Some version answers throughout. */
function mayDropOld(round: Round, engine: EngineView, model: Model, oldTag: string): boolean {
  const { reportedElsewhere } = round.input;
  const tag = getModelTag(model);
  const isAnswered = findAnswering(round, tag).length > 0 || reportedElsewhere.has(tag);
  const isElsewhere = !isHome(round, model) && reportedElsewhere.has(oldTag);
  const hasOther = findAnswering(round, oldTag).some((other) => other !== engine);
  return isAnswered || hasOther || (isElsewhere && findRoomiest(round, model) === undefined);
}

/**
 * Gives up old versions: at once where another replica answers, the last one when the current version
 * answers or, away from home, to make room for it. A model that is no longer configured goes at once.
 */
function dropOld(round: Round, engine: EngineView): void {
  const server = getPlanOf(round, engine);
  server.placed
    .filter(({ tag }) => canUnload(server, engine, tag))
    .forEach(({ tag }) => {
      const model = round.modelsByName.get(tag.slice(0, tag.lastIndexOf('@')));
      const isOld = model === undefined || getModelTag(model) !== tag;
      if (isOld && (model === undefined || mayDropOld(round, engine, model, tag))) {
        orderUnload(round, engine, tag);
      }
    });
}

/** Base models come before their adapters, models of this home before others, large before small. */
function sortModels(input: PlacementInput): Model[] {
  const ranks = new Map(
    input.models.map((model) => {
      const isAway = getHomeDomain(input.domains, model.name) !== input.failureDomain;
      return [model.name, (model.baseModel === undefined ? 0 : 2) + (isAway ? 1 : 0)] as const;
    }),
  );
  return input.models.toSorted(
    (a, b) =>
      ranks.get(a.name)! - ranks.get(b.name)! ||
      b.memoryMb - a.memoryMb ||
      a.name.localeCompare(b.name),
  );
}

/** Plans the next orders. Pure; the plan that comes back must be written before any order is sent. */
export function planPlacement(plan: PlacementPlan, input: PlacementInput): PlacementPlan {
  const round: Round = {
    input,
    servers: new Map(plan.servers.map((server) => [server.name, server])),
    modelsByName: new Map(input.models.map((model) => [model.name, model])),
    orderCount: plan.orderCount,
    newLoads: 0,
    canLoad: true,
  };
  round.canLoad = canLoadMore(round);
  const models = sortModels(input);
  input.engines.forEach((engine) => dropOld(round, engine));
  models.forEach((model) => placeMissing(round, model));
  models.forEach((model) => placeSecond(round, model));
  return round.orderCount === plan.orderCount
    ? plan
    : { ...plan, orderCount: round.orderCount, servers: [...round.servers.values()] };
}

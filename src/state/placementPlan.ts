/**
 * Defines the placement plan of a failure domain: the models placed on each engine, and every order that may
 * still take effect. The plan is one value in the store. An order is written to the plan before it is sent, so
 * a controller that takes over has all orders of its predecessor.
 */
import { Schema } from 'effect';

/** The kinds of orders that a controller sends to an engine. */
export const OrderKind = { Load: 'load', Unload: 'unload' } as const;
export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind];

const CountSchema = Schema.Number.check(Schema.isInt(), Schema.isGreaterThanOrEqualTo(0));

const PlacedModelSchema = Schema.Struct({ tag: Schema.String, memoryMb: CountSchema });

const OrderSchema = Schema.Struct({
  orderId: Schema.String,
  kind: Schema.Literals(Object.values(OrderKind)),
  tag: Schema.String,
  memoryMb: CountSchema,
});

const ServerPlanSchema = Schema.Struct({
  name: Schema.String,
  placed: Schema.Array(PlacedModelSchema),
  orders: Schema.Array(OrderSchema),
});

export const PlacementPlanSchema = Schema.Struct({
  /** The fencing token of the controller that last wrote the plan. */
  fence: CountSchema,
  /** The number of orders created so far, from which the id of the next order is made. */
  orderCount: CountSchema,
  servers: Schema.Array(ServerPlanSchema),
});

/** A model or adapter on an engine, identified by its tag `name@version`. */
export type PlacedModel = typeof PlacedModelSchema.Type;
export type Order = typeof OrderSchema.Type;
export type ServerPlan = typeof ServerPlanSchema.Type;
export type PlacementPlan = typeof PlacementPlanSchema.Type;

export const EMPTY_PLAN: PlacementPlan = { fence: 0, orderCount: 0, servers: [] };

/** The models in the last load report of an engine. */
export interface ReportedModels {
  /** Models that are loaded and served. */
  readonly loadedTags: readonly string[];
  /** Models that are loaded or being loaded. */
  readonly loadedOrLoadingTags: readonly string[];
  readonly usedMemoryMb: number;
}

/** Creates the plan of a server on which nothing is placed. */
export function createServerPlan(name: string): ServerPlan {
  return { name, placed: [], orders: [] };
}

/** Returns the plan of a server, or an empty one if the placement plan has none. */
export function getServerPlan(plan: PlacementPlan, name: string): ServerPlan {
  return plan.servers.find((server) => server.name === name) ?? createServerPlan(name);
}

/** Returns a placement plan in which the plan of one server is replaced. */
export function replaceServerPlan(plan: PlacementPlan, server: ServerPlan): PlacementPlan {
  const others = plan.servers.filter(({ name }) => name !== server.name);
  return { ...plan, servers: [...others, server] };
}

/** Returns whether an order for a tag may still take effect. */
export function hasPendingOrder(server: ServerPlan, tag: string): boolean {
  return server.orders.some((order) => order.tag === tag);
}

/** Returns whether a tag is placed and no order for it may still take effect. */
export function isPlacedWithoutPendingOrder(server: ServerPlan, tag: string): boolean {
  return server.placed.some((model) => model.tag === tag) && !hasPendingOrder(server, tag);
}

/**
 * Returns the most memory that a server may come to use: placed models, reported memory use, and every load
 * that may still take effect. An unload frees no memory until the engine reports without the model.
 */
export function getCommittedMb(server: ServerPlan, reported: ReportedModels): number {
  const loads = server.orders.filter((order) => order.kind === OrderKind.Load);
  const sizes = new Map(
    [...server.placed, ...loads].map(({ memoryMb, tag }) => [tag, memoryMb] as const),
  );
  const planned = [...sizes.values()].reduce((sum, sizeMb) => sum + sizeMb, 0);
  const unreported = [...sizes]
    .filter(([tag]) => !reported.loadedOrLoadingTags.includes(tag))
    .reduce((sum, [, sizeMb]) => sum + sizeMb, 0);
  return Math.max(planned, reported.usedMemoryMb + unreported);
}

type OrderEffect = (server: ServerPlan, order: Order) => readonly PlacedModel[];

const ORDER_EFFECTS: Readonly<Record<OrderKind, OrderEffect>> = {
  [OrderKind.Load]: (server, { memoryMb, tag }) => [
    ...server.placed.filter((model) => model.tag !== tag),
    { tag, memoryMb },
  ],
  // The memory still counts as used until the engine reports without the model.
  [OrderKind.Unload]: (server, { tag }) => server.placed.filter((model) => model.tag !== tag),
};

/** Removes an order that the engine has accepted, and applies its effect to the placed models. */
export function applyAcceptedOrder(
  plan: PlacementPlan,
  serverName: string,
  orderId: string,
): PlacementPlan {
  const server = getServerPlan(plan, serverName);
  const order = server.orders.find((item) => item.orderId === orderId);
  if (order === undefined) {
    return plan;
  }
  const placed = ORDER_EFFECTS[order.kind](server, order);
  const orders = server.orders.filter((item) => item !== order);
  return replaceServerPlan(plan, { ...server, placed, orders });
}

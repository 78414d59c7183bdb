/**
 * The placement record of a failure domain: what is placed on each engine, and every order that may
 * still take effect. It is one value in the store. An order is written there before it is sent, so a
 * controller that takes over knows all orders of the one before it.
 */
import { Schema } from 'effect';

/** What an engine is told to do. */
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
  /** The fencing number of the controller that wrote it last. */
  fence: CountSchema,
  /** Orders written so far; names the next one. */
  orderCount: CountSchema,
  servers: Schema.Array(ServerPlanSchema),
});

/** A model or adapter on an engine, by its tag `name@version`. */
export type PlacedModel = typeof PlacedModelSchema.Type;
export type Order = typeof OrderSchema.Type;
export type ServerPlan = typeof ServerPlanSchema.Type;
export type PlacementPlan = typeof PlacementPlanSchema.Type;

export const EMPTY_PLAN: PlacementPlan = { fence: 0, orderCount: 0, servers: [] };

/** What an engine last said that it holds. */
export interface ReportedModels {
  /** Models that it answers for. */
  readonly loadedTags: readonly string[];
  /** The same and those that it is loading. */
  readonly tags: readonly string[];
  readonly usedMemoryMb: number;
}

/** Creates the plan of a server on which nothing is placed. */
export function createServerPlan(name: string): ServerPlan {
  return { name, placed: [], orders: [] };
}

/** Returns the plan of a server. */
export function getServerPlan(plan: PlacementPlan, name: string): ServerPlan {
  return plan.servers.find((server) => server.name === name) ?? createServerPlan(name);
}

/** Puts the plan of one server in place of the one before. */
export function setServerPlan(plan: PlacementPlan, server: ServerPlan): PlacementPlan {
  const others = plan.servers.filter(({ name }) => name !== server.name);
  return { ...plan, servers: [...others, server] };
}

/** Tells whether an order for a tag may still take effect. */
export function hasOpenOrder(server: ServerPlan, tag: string): boolean {
  return server.orders.some((order) => order.tag === tag);
}

/** Tells whether a tag is placed and not about to be unloaded. */
export function isStaying(server: ServerPlan, tag: string): boolean {
  return server.placed.some((model) => model.tag === tag) && !hasOpenOrder(server, tag);
}

/**
 * Returns the memory that a server may come to use: what is placed, what it reports, and every load that
 * may still take effect, all together. Unloads free nothing before the engine has reported without them.
 */
export function getCommittedMb(server: ServerPlan, reported: ReportedModels): number {
  const loads = server.orders.filter((order) => order.kind === OrderKind.Load);
  const sizes = new Map(
    [...server.placed, ...loads].map(({ memoryMb, tag }) => [tag, memoryMb] as const),
  );
  const planned = [...sizes.values()].reduce((sum, mb) => sum + mb, 0);
  const unreported = [...sizes]
    .filter(([tag]) => !reported.tags.includes(tag))
    .reduce((sum, [, mb]) => sum + mb, 0);
  return Math.max(planned, reported.usedMemoryMb + unreported);
}

type OrderSettler = (server: ServerPlan, order: Order) => readonly PlacedModel[];

const ORDER_SETTLERS: Readonly<Record<OrderKind, OrderSettler>> = {
  [OrderKind.Load]: (server, { memoryMb, tag }) => [
    ...server.placed.filter((model) => model.tag !== tag),
    { tag, memoryMb },
  ],
  // The memory stays counted through the engine's own report until that is without the model.
  [OrderKind.Unload]: (server, { tag }) => server.placed.filter((model) => model.tag !== tag),
};

/** Removes an order that the engine has taken, and notes what it led to. */
export function settleOrder(
  plan: PlacementPlan,
  serverName: string,
  orderId: string,
): PlacementPlan {
  const server = getServerPlan(plan, serverName);
  const order = server.orders.find((item) => item.orderId === orderId);
  if (order === undefined) {
    return plan;
  }
  const placed = ORDER_SETTLERS[order.kind](server, order);
  const orders = server.orders.filter((item) => item !== order);
  return setServerPlan(plan, { ...server, placed, orders });
}

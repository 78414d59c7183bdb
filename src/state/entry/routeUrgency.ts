/**
 * Orders the requests of a paced service by priority, and those of the same priority by latency objective.
 */
import type { Deployment, ForwardRoute } from './deployment.js';

/** The least urgent value of the urgency header. */
const MAX_URGENCY = 9;
/**
 * A route comes after others of its priority if its latency objective is this many times the shortest among them. Callers abandon a
 * stream after four times its objective, so the requests that go first have begun or are gone before the later ones are late.
 */
const LATER_OBJECTIVE_RATIO = 4;

/** Returns the urgency of a priority by itself. */
export function clampUrgency(priority: number): number {
  return Math.min(MAX_URGENCY, Math.max(0, priority));
}

/** The urgencies of one priority. */
interface PriorityClass {
  readonly urgency: number;
  /** Requests whose latency objective is this long or longer have the next urgency; infinite if there are none. */
  readonly laterFromMs: number;
}

/** The urgencies of a service's requests, by priority. */
export type UrgencyTable = ReadonlyMap<number, PriorityClass>;

type RouteClass = Pick<ForwardRoute, 'latencyObjectiveMs' | 'priority'>;

/** Returns the priorities in their order, and from which latency objective on their routes come later. */
function listClasses(routes: readonly RouteClass[], priorities: readonly number[]) {
  return [...new Set(priorities)]
    .sort((a, b) => a - b)
    .map((priority) => {
      const objectives = routes
        .filter((route) => route.priority === priority)
        .map(({ latencyObjectiveMs }) => latencyObjectiveMs);
      const laterFromMs = Math.min(...objectives) * LATER_OBJECTIVE_RATIO;
      return { priority, laterFromMs, isSplit: objectives.some((ms) => ms >= laterFromMs) };
    });
}

/**
 * Assigns the urgencies of a service. A priority keeps its own number where the urgencies of smaller ones leave it free, else it
 * gets the next free one. If there are more than the header holds, the least urgent share the last.
 */
export function createUrgencyTable(
  routes: readonly RouteClass[],
  workspacePriorities: readonly number[],
): UrgencyTable {
  const priorities = [...routes.map(({ priority }) => priority), ...workspacePriorities];
  let nextUrgency = 0;
  const table = new Map<number, PriorityClass>();
  listClasses(routes, priorities).forEach(({ isSplit, laterFromMs, priority }) => {
    const urgency = Math.min(MAX_URGENCY, Math.max(nextUrgency, priority));
    table.set(priority, { urgency, laterFromMs: isSplit ? laterFromMs : Number.POSITIVE_INFINITY });
    nextUrgency = urgency + (isSplit ? 2 : 1);
  });
  return table;
}

/** Returns the urgency of a request by its priority and the latency objective of its route. */
export function findUrgency(
  table: UrgencyTable,
  priority: number,
  latencyObjectiveMs: number,
): number {
  const found = table.get(priority);
  if (found === undefined) {
    return clampUrgency(priority);
  }
  const isLater = latencyObjectiveMs >= found.laterFromMs;
  return Math.min(MAX_URGENCY, found.urgency + (isLater ? 1 : 0));
}

/** Creates the urgencies of a service from the routes that lead to it and the priorities of all workspaces. */
export function createServiceUrgencies(deployment: Deployment, service: string): UrgencyTable {
  const routes = [...deployment.routesByHost.values()]
    .flat()
    .filter(({ targets }) => targets.some((target) => target.service === service));
  const workspacePriorities = [...deployment.workspacesByName.values()].flatMap(
    ({ priority }) => priority ?? [],
  );
  return createUrgencyTable(routes, workspacePriorities);
}

/**
 * Tells how urgent a request is, and whether it can go behind others that are as urgent.
 */
import type { Deployment } from '../../../state/entry/deployment.js';
import {
  clampUrgency,
  createServiceUrgencies,
  findUrgency,
  type UrgencyTable,
} from '../../../state/entry/routeUrgency.js';
import { isPacedService } from '../servers/serverLoads.js';
import type { EntryState, ForwardRecord } from '../state.js';

/** A request is deferrable if its latency objective is at least this multiple of the shortest one of its service. */
const DEFERRABLE_OBJECTIVES = 4;

/** Returns the urgencies of a service's requests in the configuration in force. */
function getUrgencyTable(state: EntryState, service: string): UrgencyTable {
  const known = state.urgencyTables.get(service);
  if (known !== undefined || state.deployment === null) {
    return known ?? new Map();
  }
  const created = createServiceUrgencies(state.deployment, service);
  state.urgencyTables.set(service, created);
  return created;
}

/** Returns the urgency of a request, from 0, the most urgent, to 9. On paced services it depends on the latency objective, too. */
export function getUrgency(
  state: EntryState,
  { route, service, workspace }: Pick<ForwardRecord, 'route' | 'service' | 'workspace'>,
): number {
  const priority = workspace?.priority ?? route.priority;
  return isPacedService(state, service.name)
    ? findUrgency(getUrgencyTable(state, service.name), priority, route.latencyObjectiveMs)
    : clampUrgency(priority);
}

/** The shortest latency objective of each service's routes, by configuration. */
const shortestObjectives = new WeakMap<Deployment, ReadonlyMap<string, number>>();

function computeShortestObjectives({ routesByHost }: Deployment): ReadonlyMap<string, number> {
  const shortest = new Map<string, number>();
  [...routesByHost.values()].flat().forEach(({ latencyObjectiveMs, targets }) =>
    targets.forEach(({ service }) => {
      shortest.set(service, Math.min(latencyObjectiveMs, shortest.get(service) ?? Infinity));
    }),
  );
  return shortest;
}

function getShortestObjectiveMs(deployment: Deployment, service: string): number | undefined {
  const known = shortestObjectives.get(deployment) ?? computeShortestObjectives(deployment);
  shortestObjectives.set(deployment, known);
  return known.get(service);
}

/** Returns whether the latency objective of a request is long compared with the shortest one of its service. */
export function isDeferrable(
  deployment: Deployment | null,
  { route, service }: Pick<ForwardRecord, 'route' | 'service'>,
): boolean {
  const shortestMs = deployment === null ? null : getShortestObjectiveMs(deployment, service.name);
  return route.latencyObjectiveMs >= (shortestMs ?? Infinity) * DEFERRABLE_OBJECTIVES;
}

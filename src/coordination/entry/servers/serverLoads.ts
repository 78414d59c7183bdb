/**
 * Keeps what servers have stated of their load in answers. A service one of whose servers has stated its pace, how long work takes on its
 * machine now, is a paced service: only for those is more decided by loads.
 */
import type { Backend, BackendLoad, ServerLoadView } from '../../../state/entry/backends.js';
import type { ServiceLoad } from '../../../state/entry/loadEstimate.js';
import type { EntryState } from '../state.js';

/** Weight of a report in the average utilization of its service: about the last 20 reports count. */
const UTILIZATION_WEIGHT = 0.05;
/** Weight of a report in the usual pace of its server. */
const PACE_WEIGHT = 0.3;
/** Weight of an answer in the average service time. */
const SERVICE_TIME_WEIGHT = 0.05;
/** Lower bound of the pace by which a service time is divided. */
const MIN_PACE = 0.1;
/** Bound of the dispatches kept for a server that reports no load. */
const MAX_UNREPORTED_DISPATCHES = 100;

/** Returns whether a server of a service has stated its pace. */
export function isPacedService({ pacedServices }: EntryState, service: string): boolean {
  return pacedServices.has(service);
}

function getServiceLoad({ serviceLoads }: EntryState, service: string): ServiceLoad {
  const known = serviceLoads.get(service);
  if (known !== undefined) {
    return known;
  }
  const created: ServiceLoad = { serviceTimeMs: null, utilization: null };
  serviceLoads.set(service, created);
  return created;
}

function average(known: number | null, sample: number, weight: number): number {
  return known === null ? sample : known + (sample - known) * weight;
}

/** Replaces the load of a server of a paced service by a newer one. */
function applyLoad(state: EntryState, backend: Backend, load: ServerLoadView): void {
  const service = getServiceLoad(state, backend.entry.service);
  const utilization = Math.min(1, load.running / Math.max(1, load.slots));
  service.utilization = average(service.utilization, utilization, UTILIZATION_WEIGHT);
  backend.usualPace = average(
    backend.load === null ? null : backend.usualPace,
    load.pace,
    PACE_WEIGHT,
  );
  backend.unreportedDispatches = backend.unreportedDispatches.filter(
    (atMs) => atMs > load.seenAtMs,
  );
  if (backend.fullRequests !== null && load.running + load.waiting > backend.fullRequests) {
    backend.fullRequests = null;
  }
  backend.load = load;
  state.loadExchange.recentIds.add(backend.entry.id);
}

/** Records the load that another VM has reported. Only loads of paced services are shared. */
export function recordSharedLoad(state: EntryState, backend: Backend, load: ServerLoadView): void {
  state.pacedServices.add(backend.entry.service);
  applyLoad(state, backend, load);
  state.loadExchange.ownIds.delete(backend.entry.id);
}

/** Records the load that a server has stated in an answer. */
export function recordServerLoad(
  state: EntryState,
  backend: Backend,
  { pace, running, slots, waiting }: BackendLoad,
  nowMs: number,
): void {
  const load = { running, waiting, slots, pace: pace ?? 1, seenAtMs: nowMs };
  if (pace !== null) {
    state.pacedServices.add(backend.entry.service);
  }
  if (isPacedService(state, backend.entry.service)) {
    applyLoad(state, backend, load);
    state.loadExchange.ownIds.add(backend.entry.id);
  } else {
    backend.load = load;
  }
}

/** Records a dispatch to a server of a paced service, which its next report will include. */
export function recordUnreportedDispatch(state: EntryState, backend: Backend, nowMs: number): void {
  if (isPacedService(state, backend.entry.service)) {
    const { unreportedDispatches } = backend;
    unreportedDispatches.push(nowMs);
    if (unreportedDispatches.length > MAX_UNREPORTED_DISPATCHES) {
      unreportedDispatches.shift();
    }
  }
}

/** Updates the average service time of a paced service with the time that a completed request has held a slot. */
export function recordServiceTime(state: EntryState, backend: Backend, heldMs: number): void {
  if (isPacedService(state, backend.entry.service)) {
    const service = getServiceLoad(state, backend.entry.service);
    const pace = Math.max(MIN_PACE, backend.usualPace);
    service.serviceTimeMs = average(service.serviceTimeMs, heldMs / pace, SERVICE_TIME_WEIGHT);
  }
}

/** Records that a server has rejected a request because all its slots and the places of its queue are taken. */
export function recordFullServer(backend: Backend): void {
  const { load } = backend;
  const requests = load === null ? 0 : load.running + load.waiting;
  // A server that rejects requests although it has free slots lacks something else, such as memory.
  backend.fullRequests = load !== null && requests >= load.slots ? requests : null;
}

/**
 * Chooses the backend server of a forwarded request.
 *
 * Servers are compared by this VM's own requests, which are current, taken to stand for those of the
 * other VMs alike, and corrected by the load that answers tell; and by the prompts that they have to read,
 * which hold up their streams. Own requests differ from VM to VM, so not all VMs choose the same server.
 */
import { type Backend, getVariantKey, holdsVariant } from '../../state/entry/backends.js';
import { nextRandomInt } from '../../state/random.js';
import { getHoldUp } from './promptLoad.js';
import { countLiveVms, type EntryState, type ForwardRecord } from './state.js';

/** The load that an answer told counts in full up to this age. */
const LOAD_FRESH_MS = 1_500;
/** Part of the other VMs' requests that is taken from the told load, and the rest from the own count. */
const TOLD_PART = 0.6;
/** A server of another failure domain is taken only if it is less loaded by this part of its slots. */
const REMOTE_COST = 0.03;
/** Load that holding up all streams for a late pause counts, in parts of a server's slots; grows with the square. */
const HOLD_UP_COST = 0.3;
/** Extra load of a server whose answers fail, for a failure part of one. */
const FAILURE_COST = 2;
/** Weight of the newest answer in the moving part of failures. */
const FAILURE_WEIGHT = 0.15;
/** How long a server that could not be reached is avoided. */
const UNREACHABLE_MS = 1_500;
/** How long a server that says that it lacks a model is believed, unless its entry changes. */
const MISSING_MODEL_MS = 1_000;
/** The same for an adapter, which loads in some milliseconds. */
const MISSING_ADAPTER_MS = 100;
/** How long an engine that has refused a model is avoided for it: it is full, or drops the model. */
const REFUSED_MS = 400;

/**
 * Tells whether a server takes new requests, as far as this VM knows. One whose entry may have lapsed only
 * because the store was away is used until the time for its return has passed.
 */
export function isOpenBackend(backend: Backend): boolean {
  return !backend.entry.isLeaving;
}

/** Returns the load of a server in parts of its slots. */
function getBackendLoad(backend: Backend, liveVms: number, nowMs: number): number {
  const { entry, inFlight, loadSeenAtMs, otherRequests } = backend;
  const guessed = inFlight * (liveVms - 1);
  const isFresh = nowMs - loadSeenAtMs < LOAD_FRESH_MS;
  const others = isFresh ? otherRequests * TOLD_PART + guessed * (1 - TOLD_PART) : guessed;
  return (inFlight + others) / Math.max(1, entry.slots);
}

function getCost(
  state: EntryState,
  record: Pick<ForwardRecord, 'request' | 'route'>,
  backend: Backend,
  liveVms: number,
  nowMs: number,
): number {
  const isRemote = backend.entry.failureDomain !== state.self.failureDomain;
  const holdUp = getHoldUp(backend, record);
  return (
    getBackendLoad(backend, liveVms, nowMs) +
    HOLD_UP_COST * holdUp * holdUp +
    (isRemote ? REMOTE_COST : 0) +
    backend.failurePart * FAILURE_COST +
    (backend.avoidUntilMs > nowMs ? FAILURE_COST * 2 : 0)
  );
}

/** Finds the servers of a service that can run a request now. */
export function findCandidates(
  state: EntryState,
  record: Pick<ForwardRecord, 'request' | 'service' | 'usedBackends' | 'refusedBy'>,
  nowMs: number,
): Backend[] {
  const { request, service } = record;
  return [...state.backends.values()].filter((backend) => {
    const { id, service: offered } = backend.entry;
    const isTried = record.usedBackends.includes(id) || record.refusedBy.includes(id);
    const isHeld =
      service.engine === null ||
      request.model === null ||
      holdsVariant(backend, request.model, request.adapter, nowMs);
    return offered === service.name && !isTried && isHeld && isOpenBackend(backend);
  });
}

/** Chooses among candidates; undefined if there are none. */
export function chooseBackend(
  state: EntryState,
  record: Pick<ForwardRecord, 'request' | 'route'>,
  candidates: readonly Backend[],
  nowMs: number,
): Backend | undefined {
  const reachable = candidates.filter((backend) => backend.avoidUntilMs <= nowMs);
  const pool = reachable.length > 0 ? reachable : candidates;
  // Begins at a random place, so that equals are chosen alike often.
  const first = nextRandomInt(state.random, Math.max(1, pool.length));
  const liveVms = countLiveVms(state, nowMs);
  const costs = pool.map((backend) => getCost(state, record, backend, liveVms, nowMs));
  let best = first;
  for (let i = 1; i < pool.length; i += 1) {
    const at = (first + i) % pool.length;
    best = costs[at]! < costs[best]! ? at : best;
  }
  return pool[best];
}

/** Takes note of the load that an answer told. */
export function noteLoad(
  backend: Backend,
  load: { readonly running: number; readonly waiting: number } | null,
  nowMs: number,
): void {
  if (load !== null) {
    backend.otherRequests = Math.max(0, load.running + load.waiting - backend.inFlight);
    backend.loadSeenAtMs = nowMs;
  }
}

/** Takes note of how a dispatch ended. */
export function noteOutcome(backend: Backend, isFailure: boolean): void {
  backend.failurePart += ((isFailure ? 1 : 0) - backend.failurePart) * FAILURE_WEIGHT;
}

/** Avoids a server that could not be reached. */
export function noteUnreachable(backend: Backend, nowMs: number): void {
  backend.avoidUntilMs = nowMs + UNREACHABLE_MS;
}

/** Believes a server that says that it lacks a model or adapter. */
export function noteMissing(
  backend: Backend,
  model: string,
  adapter: string | null,
  nowMs: number,
): void {
  const variant = getVariantKey(model, adapter);
  const beliefMs = adapter === null ? MISSING_MODEL_MS : MISSING_ADAPTER_MS;
  backend.missing.set(variant, nowMs + beliefMs);
  backend.orderedAdapters.delete(variant);
}

/** Avoids an engine for a model that it has just refused to run. */
export function noteRefused(backend: Backend, model: string, nowMs: number): void {
  backend.missing.set(model, nowMs + REFUSED_MS);
}

/**
 * Chooses the backend server of a forwarded request: the one with the lowest cost.
 *
 * The cost of a server grows with its load and with the prompts that it has yet to prefill, which delay its
 * streams. The load is estimated from this VM's in-flight requests, as if every other VM had as many, and corrected
 * by the load that answers report. In-flight requests differ from VM to VM, so the VMs do not all choose the same
 * server.
 *
 * For paced services the load comes from the reports that VMs share (`startEstimate.ts`). Since many VMs then see the same, the
 * choice is random: the requests that the VMs dispatch before they see each other's fill the servers to the same cost.
 */
import { isOffering, listOffering } from '../../../state/entry/backendLists.js';
import {
  type Backend,
  type BackendLoad,
  getVariantKey,
  holdsVariant,
} from '../../../state/entry/backends.js';
import type { CrashReport } from '../../../state/entry/crashEvidence.js';
import { chooseByLevel } from '../../../state/entry/levelChoice.js';
import { nextRandomInt } from '../../../state/random.js';
import { getPrefillDelay } from './prefillLoad.js';
import { createOption, estimateServer, estimateUnseen, getRelativeLoad } from './startEstimate.js';
import { isDomainAllowed } from '../servers/allowedRegions.js';
import { findObstacle, isEligible } from '../servers/serverAvailability.js';
import { isBrittlenessUnverified } from '../servers/brittleServers.js';
import { isPacedService, recordServerLoad } from '../servers/serverLoads.js';
import { isLimitUnverified } from '../limits/serverLimits.js';
import { countLiveVms } from '../liveVms.js';
import { type EntryState, type ForwardRecord } from '../state.js';

/** Reported load is ignored from this age on. */
const REPORTED_LOAD_MAX_AGE_MS = 1_500;
/** Weight of the reported load in the estimate of other VMs' requests; this VM's own count has the remaining weight. */
const REPORTED_LOAD_WEIGHT = 0.6;
/** A server of another failure domain is chosen only if its load is lower by this fraction of its slots. */
const REMOTE_DOMAIN_COST = 0.03;
/** Cost of a prefill delay of one maximum event gap, as a fraction of the slots; grows with the square of the delay. */
const PREFILL_DELAY_COST = 0.3;
/** Cost of a server whose failure rate is 1; proportional to the rate. */
const FAILURE_COST = 2;
/** Weight of the latest attempt in the exponential moving average of the failure rate. */
const FAILURE_AVERAGE_WEIGHT = 0.15;
/** How long an unreachable server is avoided. */
const AVOID_UNREACHABLE_MS = 1_500;
/**
 * How long a server that has crashed gets no requests, unless it registers a new process: a crashed server's
 * registration expires within this time.
 */
const AVOID_CRASHED_MS = 4_000;
/** How long a model that a server has reported missing counts as missing, unless its registration changes. */
const MISSING_MODEL_MS = 1_000;
/** The same for an adapter, which loads within milliseconds. */
const MISSING_ADAPTER_MS = 100;
/** How long an engine gets no requests for a model after rejecting one: it is full or is unloading the model. */
const MODEL_REFUSED_MS = 400;

/**
 * Returns whether a server may get new requests and orders. A server whose registration may have expired only because the
 * store was unreachable is used until its grace period has passed.
 */
export function isAcceptingRequests({ isEvacuated, isLeaving }: Backend): boolean {
  return !isLeaving && !isEvacuated;
}

/** Returns the estimated number of requests at a server over its slots. */
function getBackendLoad(backend: Backend, liveVms: number, nowMs: number): number {
  const { entry, inFlight, loadSeenAtMs, otherVmRequests } = backend;
  const estimatedOthers = inFlight * (liveVms - 1);
  const isReportFresh = nowMs - loadSeenAtMs < REPORTED_LOAD_MAX_AGE_MS;
  const others = isReportFresh
    ? otherVmRequests * REPORTED_LOAD_WEIGHT + estimatedOthers * (1 - REPORTED_LOAD_WEIGHT)
    : estimatedOthers;
  return (inFlight + others) / Math.max(1, entry.slots);
}

/** Returns the cost of sending a request to a server with a load, which is given as a fraction of its slots. */
function getCost(
  state: EntryState,
  record: Pick<ForwardRecord, 'request' | 'route'>,
  backend: Backend,
  load: number,
  nowMs: number,
): number {
  const isRemote = backend.entry.failureDomain !== state.self.failureDomain;
  const prefillDelay = getPrefillDelay(backend, record);
  return (
    load +
    PREFILL_DELAY_COST * prefillDelay * prefillDelay +
    (isRemote ? REMOTE_DOMAIN_COST : 0) +
    backend.failureRate * FAILURE_COST +
    (backend.avoidUntilMs > nowMs ? FAILURE_COST * 2 : 0)
  );
}

type Target = Pick<
  ForwardRecord,
  | 'request'
  | 'route'
  | 'workspace'
  | 'service'
  | 'streamVersion'
  | 'possiblyRunBackendIds'
  | 'notRunBackendIds'
>;

/** Returns the model that a server must have loaded to run a request; null if any server of its service will do. */
function getNeededModel({ request, service }: Target): string | null {
  return service.engine === null ? null : request.model;
}

/** Returns whether a server's software may run a request: what two versions write into a stream does not fit together. */
export function hasStreamVersion(
  { streamVersion }: Pick<ForwardRecord, 'streamVersion'>,
  { entry }: Backend,
): boolean {
  return streamVersion === null || entry.softwareVersion === streamVersion;
}

/** Returns whether a server is registered that could go on with a request's stream at some time. */
export function hasServerForStream(state: EntryState, record: Target): boolean {
  const { backendLists, backends } = state;
  return (
    record.streamVersion === null ||
    listOffering(backendLists, backends, record.service.name, null).some(
      (backend) => isAcceptingRequests(backend) && hasStreamVersion(record, backend),
    )
  );
}

/** Returns whether a server that offers a request's model holds all that it needs, has not been tried, and can be waited for. */
function isUsable(
  state: Pick<EntryState, 'regionsByDomain'>,
  record: Target,
  backend: Backend,
  nowMs: number,
): boolean {
  const { notRunBackendIds, possiblyRunBackendIds, request } = record;
  const { id } = backend.entry;
  const model = getNeededModel(record);
  return (
    (model === null || holdsVariant(backend, model, request.adapter, nowMs)) &&
    !possiblyRunBackendIds.includes(id) &&
    !notRunBackendIds.includes(id) &&
    hasStreamVersion(record, backend) &&
    isDomainAllowed(state, record, backend.entry.failureDomain) &&
    isEligible(backend, nowMs)
  );
}

/** Returns whether a server is of a request's service, holds its model, has not been tried, and can be waited for. */
export function isHolder(
  state: Pick<EntryState, 'regionsByDomain'>,
  record: Target,
  backend: Backend,
  nowMs: number,
): boolean {
  return (
    isOffering(backend, record.service.name, getNeededModel(record)) &&
    isUsable(state, record, backend, nowMs)
  );
}

/** Returns the servers of a request's service that hold its model and have not been tried, also those to wait for. */
export function findHolders(state: EntryState, record: Target, nowMs: number): Backend[] {
  const { backendLists, backends } = state;
  const model = getNeededModel(record);
  return listOffering(backendLists, backends, record.service.name, model).filter((backend) =>
    isUsable(state, record, backend, nowMs),
  );
}

/** Returns whether a request that a brittle server has just rejected is not sent to any server yet. */
export function isHeld(
  { heldUntilMs }: Pick<ForwardRecord, 'heldUntilMs'>,
  nowMs: number,
): boolean {
  return nowMs < heldUntilMs;
}

/** Returns the servers of a request's service that can run it now and have not been tried. */
export function findCandidates(
  state: EntryState,
  record: Target & Pick<ForwardRecord, 'heldUntilMs'>,
  nowMs: number,
): Backend[] {
  return nowMs >= state.noDispatchFromMs || isHeld(record, nowMs)
    ? []
    : findHolders(state, record, nowMs).filter((backend) => findObstacle(backend, nowMs) === null);
}

/** Chooses among the servers of a paced service. */
function choosePacedBackend(
  state: EntryState,
  record: Pick<ForwardRecord, 'request' | 'route'>,
  pool: readonly Backend[],
  nowMs: number,
): Backend | undefined {
  const estimates = pool.map((backend) => estimateServer(state, backend, nowMs));
  const unseen = estimateUnseen(estimates);
  const options = estimates.map((estimate, i) => {
    const cost = getCost(state, record, pool[i]!, getRelativeLoad(estimate), nowMs);
    return createOption(estimate, cost, unseen);
  });
  return pool[chooseByLevel(options, unseen.requests, state.random)];
}

/** Returns the candidate with the lowest cost, or one of those with low costs; undefined if there are no candidates. */
export function chooseBackend(
  state: EntryState,
  record: Pick<ForwardRecord, 'request' | 'route'>,
  candidates: readonly Backend[],
  nowMs: number,
): Backend | undefined {
  const reachable = candidates.filter((backend) => backend.avoidUntilMs <= nowMs);
  const pool = reachable.length > 0 ? reachable : candidates;
  const unverified = pool.find(
    (backend) => isLimitUnverified(backend, nowMs) || isBrittlenessUnverified(backend, nowMs),
  );
  if (unverified !== undefined) {
    return unverified;
  }
  if (pool[0] !== undefined && isPacedService(state, pool[0].entry.service)) {
    return choosePacedBackend(state, record, pool, nowMs);
  }
  // The scan starts at a random index, to break ties at random.
  const first = nextRandomInt(state.random, Math.max(1, pool.length));
  const liveVms = countLiveVms(state, nowMs);
  const costs = pool.map((backend) =>
    getCost(state, record, backend, getBackendLoad(backend, liveVms, nowMs), nowMs),
  );
  let best = first;
  for (let i = 1; i < pool.length; i += 1) {
    const index = (first + i) % pool.length;
    best = costs[index]! < costs[best]! ? index : best;
  }
  return pool[best];
}

/** Records the load that a server reported with an answer. */
export function recordReportedLoad(
  state: EntryState,
  backend: Backend,
  load: BackendLoad | null,
  nowMs: number,
): void {
  if (load !== null) {
    recordServerLoad(state, backend, load, nowMs);
    backend.otherVmRequests = Math.max(0, load.running + load.waiting - backend.inFlight);
    backend.loadSeenAtMs = nowMs;
  }
}

/** Updates the failure rate of a server with the outcome of an attempt. */
export function recordAttemptOutcome(backend: Backend, isFailure: boolean): void {
  backend.failureRate += ((isFailure ? 1 : 0) - backend.failureRate) * FAILURE_AVERAGE_WEIGHT;
}

/** Marks a server as unreachable, so that it is avoided for a while. */
export function markUnreachable(backend: Backend, nowMs: number): void {
  backend.avoidUntilMs = nowMs + AVOID_UNREACHABLE_MS;
}

/** Marks the server whose process has crashed, if it has not registered a new one. */
export function markCrashed(state: EntryState, crash: CrashReport): void {
  const backend = state.backends.get(crash.serverId);
  if (backend?.entry.bornAtWallMs === crash.bornAtWallMs) {
    backend.crashedUntilMs = crash.atMs + AVOID_CRASHED_MS;
  }
}

/** Marks a model or adapter as missing on a server that reported so. */
export function markVariantMissing(
  backend: Backend,
  model: string,
  adapter: string | null,
  nowMs: number,
): void {
  const variant = getVariantKey(model, adapter);
  const missingMs = adapter === null ? MISSING_MODEL_MS : MISSING_ADAPTER_MS;
  backend.missingUntilMs.set(variant, nowMs + missingMs);
  backend.controllerAdapters.delete(variant);
}

/** Marks a model as unavailable on an engine that has just rejected a request for it. */
export function markModelRefused(backend: Backend, model: string, nowMs: number): void {
  backend.missingUntilMs.set(model, nowMs + MODEL_REFUSED_MS);
}

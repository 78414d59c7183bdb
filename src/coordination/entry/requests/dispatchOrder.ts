/**
 * Decides which of the requests of this VM goes next: a new one, or one that waits for a server, a permit or a place.
 */
import type { Backend } from '../../../state/entry/backends.js';
import {
  findFirstWaiting,
  listWaiting,
  type WaitingSelection,
} from '../../../state/entry/waitingLists.js';
import { createDiagnostic, Diagnostics } from '../../../state/diagnostics.js';
import type { EntryCommand } from '../commands.js';
import type { EntryEventKind, EntryEventOf } from '../events.js';
import { creditPlace } from '../limits/serverPlaces.js';
import { hasBrittle } from '../servers/brittleServers.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';
import { findHolders, isHeld, isHolder } from './backendSelection.js';
import { isPacedService } from '../servers/serverLoads.js';
import { isServiceEvacuated } from '../servers/evacuatedServices.js';
import {
  dispatchOrWait,
  endForEvacuation,
  OVERLOADED_RETRY_AFTER_MS,
  tryDispatchWaiting,
} from './forwarding.js';
import { isServiceUnreachable } from './passing.js';
import { refuseForward } from './requestCompletion.js';
import { depositRetry } from './retryBudget.js';

/** Returns the services and models of the requests that some servers may run. */
function selectFor({ deployment }: EntryState, servers: readonly Backend[]): WaitingSelection {
  const selection = new Map<string, (string | null)[] | null>();
  servers.forEach(({ entry: { models, service } }) => {
    const hasEngine = (deployment?.servicesByName.get(service)?.engine ?? null) !== null;
    const known = selection.get(service) ?? [null];
    selection.set(service, hasEngine ? [...known, ...models.map(({ name }) => name)] : null);
  });
  return new Map(
    [...selection].map(([service, models]) => [service, models && [...new Set(models)]]),
  );
}

/** Dispatches the first of some waiting requests, or asks for what it lacks. */
function dispatchFirst(
  state: EntryState,
  selection: WaitingSelection | null,
  isMeant: (record: ForwardRecord) => boolean,
  nowMs: number,
): EntryCommand[] {
  const isReady = (record: ForwardRecord): boolean => !isHeld(record, nowMs) && isMeant(record);
  const first = findFirstWaiting(state.waiting, selection, isReady);
  return first === undefined ? [] : tryDispatchWaiting(state, first, nowMs);
}

/** Dispatches a request that has waited for brittle servers, so that a new one for them does not take its place. */
function dispatchAhead(state: EntryState, record: ForwardRecord, nowMs: number): EntryCommand[] {
  const { request, service } = record;
  const isAhead = (other: ForwardRecord): boolean => other !== record && other.service === service;
  return hasBrittle(findHolders(state, record, nowMs), nowMs)
    ? dispatchFirst(state, new Map([[service.name, [request.model]]]), isAhead, nowMs)
    : [];
}

/** Dispatches a request to the place that another VM has lent, and asks for one for the next. Without one it goes on waiting. */
export function handlePlaceLoan(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.LoanAnswered>,
  nowMs: number,
): EntryCommand[] {
  creditPlace(state, event.limit.name, event.vmId, event.lentTokens, nowMs);
  const record = state.requests.get(event.requestId);
  if (event.lentTokens === 0 || record?.phase !== ForwardPhase.Waiting) {
    return [];
  }
  const dispatch = tryDispatchWaiting(state, record, nowMs);
  return [...dispatch, ...dispatchFirst(state, null, () => true, nowMs)];
}

/** Dispatches an admitted request, or lets it wait. */
export function startForward(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): EntryCommand[] {
  depositRetry(state, record.service.name);
  if (isServiceUnreachable(state, record, nowMs)) {
    const diagnostic = createDiagnostic(Diagnostics.ServersUnreachable, record.service.name);
    return refuseForward(state, record, diagnostic, nowMs, OVERLOADED_RETRY_AFTER_MS);
  }
  const ahead = dispatchAhead(state, record, nowMs);
  return [...ahead, ...dispatchOrWait(state, record, nowMs)];
}

/** Ends the waiting requests of services whose servers have all been evacuated. */
export function refuseUnservable(state: EntryState, nowMs: number): EntryCommand[] {
  return listWaiting(state.waiting, null)
    .filter(({ service }) => isServiceEvacuated(state, service.name))
    .flatMap((record) => endForEvacuation(state, record, nowMs));
}

/** Dispatches waiting requests, most urgent first, once servers, models or adapters have become available. */
export function dispatchWaiting(state: EntryState, nowMs: number): EntryCommand[] {
  return listWaiting(state.waiting, null).flatMap((record) =>
    tryDispatchWaiting(state, record, nowMs),
  );
}

/** Does the same for the requests that one of some servers may run, without looking at all servers for the others. */
export function dispatchWaitingFor(
  state: EntryState,
  servers: readonly Backend[],
  nowMs: number,
): EntryCommand[] {
  return listWaiting(state.waiting, selectFor(state, servers))
    .filter((record) => servers.some((server) => isHolder(state, record, server, nowMs)))
    .flatMap((record) => tryDispatchWaiting(state, record, nowMs));
}

/**
 * Dispatches the first request that waits for a server which has just ended one of this VM, if the server is brittle or of a paced
 * service.
 */
export function dispatchFreed(
  state: EntryState,
  backend: Backend | undefined,
  nowMs: number,
): EntryCommand[] {
  const isMeant =
    backend !== undefined &&
    (backend.brittleness !== null || isPacedService(state, backend.entry.service));
  return isMeant
    ? dispatchFirst(
        state,
        selectFor(state, [backend]),
        (record) => isHolder(state, record, backend, nowMs),
        nowMs,
      )
    : [];
}

/**
 * The queue of the requests that wait in this VM for a server, a permit or a place. The more urgent go first, then those that
 * arrived first. On paced services, the workspaces take turns among requests that are equally urgent, and a deferrable request
 * goes behind the others of its urgency.
 */
import { isPacedService } from '../servers/serverLoads.js';
import { type EntryState, ForwardPhase, type ForwardRecord } from '../state.js';
import {
  addWaiting,
  countWaitingBefore,
  removeWaiting,
  type WaitingTerms,
} from '../../../state/entry/waitingLists.js';
import { getUrgency, isDeferrable } from './urgency.js';

/** Returns what the order of a request among those that wait follows from. */
function getWaitingTerms(state: EntryState, record: ForwardRecord): WaitingTerms {
  const { arrivedAtMs, request, route, sequence, service, workspace } = record;
  const isPaced = isPacedService(state, service.name);
  return {
    requestId: request.requestId,
    service: service.name,
    model: request.model,
    urgency: getUrgency(state, record),
    isDeferrable: isPaced && (record.isBeyondUsual || isDeferrable(state.deployment, record)),
    turnsOf: isPaced ? (workspace?.name ?? '') : null,
    latestStartMs: isPaced ? arrivedAtMs + route.latencyObjectiveMs : null,
    sequence,
  };
}

/** Lets a request wait. */
export function enqueue(state: EntryState, record: ForwardRecord): void {
  record.phase = ForwardPhase.Waiting;
  addWaiting(state.waiting, getWaitingTerms(state, record), record);
}

/** Removes a request from the queue, if it waits, since it is sent or ends. */
export function dequeue({ waiting }: EntryState, { request }: ForwardRecord): void {
  removeWaiting(waiting, request.requestId);
}

/** Returns the number of requests that wait for the model of a request and go before it. */
export function countAhead(state: EntryState, record: ForwardRecord): number {
  return countWaitingBefore(state.waiting, getWaitingTerms(state, record));
}

/**
 * Applies the forecast of room to the requests of paced services: those that no server has are sent, held or rejected by it.
 */
import { listOffering } from '../../../state/entry/backendLists.js';
import { type Backend, holdsVariant } from '../../../state/entry/backends.js';
import { createDiagnostic, Diagnostics } from '../../../state/diagnostics.js';
import { nextRandom } from '../../../state/random.js';
import { RunStatus } from '../../../state/types.js';
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import { countVmsSharingLimits } from '../liveVms.js';
import { isDomainAllowed } from '../servers/allowedRegions.js';
import { isEligible } from '../servers/serverAvailability.js';
import { isPacedService } from '../servers/serverLoads.js';
import type { EntryState, ForwardRecord } from '../state.js';
import { hasStreamVersion } from './backendSelection.js';
import { getRequestLogFields, refuseForward } from './requestCompletion.js';
import { getCallerTimeoutMs } from './requestTimes.js';
import {
  decideStart,
  type EarlyRejection,
  estimateHolder,
  forecastRoom,
  getRetryAfterMs,
  type RoomForecast,
  type StartDecision,
  StartDecisionKind,
} from './roomForecast.js';
import { getUrgency, isDeferrable } from './urgency.js';

/** Returns whether a server reports that all its slots are taken. */
function isReportedFull({ load }: Backend): boolean {
  return load !== null && load.running + load.waiting >= load.slots;
}

/**
 * Returns the servers on which room for a request may come. An engine that rejected requests for the model because it is full
 * counts, one that is unloading the model does not.
 */
function findRoomHolders(state: EntryState, record: ForwardRecord, nowMs: number): Backend[] {
  const { backendLists, backends } = state;
  const { possiblyRunBackendIds, request, service } = record;
  const model = service.engine === null ? null : request.model;
  const isHolding = (backend: Backend): boolean =>
    model === null ||
    holdsVariant(backend, model, request.adapter, nowMs) ||
    isReportedFull(backend);
  return listOffering(backendLists, backends, service.name, model).filter(
    (backend) =>
      isHolding(backend) &&
      backend.avoidUntilMs <= nowMs &&
      !possiblyRunBackendIds.includes(backend.entry.id) &&
      hasStreamVersion(record, backend) &&
      isDomainAllowed(state, record, backend.entry.failureDomain) &&
      isEligible(backend, nowMs),
  );
}

/** Forecasts the room for a request; null if its service is not paced or no server holds its model. */
export function forecastFor(
  state: EntryState,
  record: ForwardRecord,
  nowMs: number,
): RoomForecast | null {
  if (!isPacedService(state, record.service.name)) {
    return null;
  }
  const holders = findRoomHolders(state, record, nowMs);
  return holders.length === 0
    ? null
    : forecastRoom(holders.map((backend) => estimateHolder(state, backend, nowMs)));
}

/** The decision about a request and the forecast that it follows from. */
interface PacedDecision {
  readonly decision: StartDecision;
  readonly forecast: RoomForecast;
}

/** Decides about a request that no server has; null if that is not decided by loads. */
export function decidePacedStart(
  state: EntryState,
  record: ForwardRecord,
  requestsAhead: number,
  nowMs: number,
): PacedDecision | null {
  const forecast = record.firstEventAtMs === null ? forecastFor(state, record, nowMs) : null;
  record.isHeldForRoom = false;
  if (forecast === null) {
    return null;
  }
  const { arrivedAtMs, deadlineAtMs, isBeyondUsual, route, runStatus, wasFull } = record;
  const terms = {
    arrivedAtMs,
    deadlineAtMs,
    latencyObjectiveMs: route.latencyObjectiveMs,
    abandonedAtMs: arrivedAtMs + getCallerTimeoutMs(record),
    isDeferrable: isDeferrable(state.deployment, record),
    isBeyondUsual,
    wasFull,
    mayReject: runStatus === RunStatus.NotRun,
    requestsAhead,
  };
  const decision = decideStart(terms, forecast, nowMs);
  record.isHeldForRoom = decision.kind === StartDecisionKind.Hold;
  return { decision, forecast };
}

/**
 * Returns the delay after which room is expected for a request that is rejected. The starts that this VM can count on are given
 * away in turn, so that callers come back one after the other: a request waits for those that were rejected before it, except
 * less urgent ones.
 */
function reserveReturn(
  state: EntryState,
  record: ForwardRecord,
  { startDelayMs, startIntervalMs }: RoomForecast,
  nowMs: number,
): number {
  const key = `${record.service.name} ${record.request.model ?? ''}`;
  const isBehind = record.isBeyondUsual || isDeferrable(state.deployment, record);
  const rank = getUrgency(state, record) * 2 + Number(isBehind);
  const known = (state.returnTimes.get(key) ?? []).filter(({ atMs }) => atMs > nowMs);
  const before = known.filter((other) => other.rank <= rank).map(({ atMs }) => atMs);
  const intervalMs = startIntervalMs * countVmsSharingLimits(state);
  const atMs = Math.max(nowMs + startDelayMs, ...before) + nextRandom(state.random) * intervalMs;
  const others = known.filter((other) => other.rank !== rank);
  state.returnTimes.set(key, [...others, { rank, atMs }]);
  return atMs - nowMs;
}

/** Rejects a request for which there will be no room in time, with the time at which there will be. */
export function rejectEarly(
  state: EntryState,
  record: ForwardRecord,
  reason: EarlyRejection,
  forecast: RoomForecast,
  nowMs: number,
): EntryCommand[] {
  const roomDelayMs = reserveReturn(state, record, forecast, nowMs);
  const retryAfterMs = getRetryAfterMs(roomDelayMs, record.deadlineAtMs - nowMs);
  state.earlyRejections.set(reason, (state.earlyRejections.get(reason) ?? 0) + 1);
  const diagnostic = createDiagnostic(Diagnostics.Overloaded, record.service.name);
  return [
    createEntryLog(LogLevel.Info, EntryLogPrefix.Request, 'The request is rejected early.', {
      ...getRequestLogFields(record, nowMs),
      reason,
      startDelayMs: Math.round(forecast.startDelayMs),
      leastStartDelayMs: Math.round(forecast.leastStartDelayMs),
      retryMs: Math.round(retryAfterMs),
    }),
    ...refuseForward(state, record, diagnostic, nowMs, retryAfterMs),
  ];
}

/**
 * Keeps which backend servers are brittle: a brittle server ends when it has to reject too many requests in a second for want of
 * room, and says so in all its answers.
 *
 * A VM that reads the statement tells the others. It holds for the incarnation until an answer to a later request no longer has it.
 * The servers of a service become brittle together, so each other server of the service, also one that registers, counts as
 * brittle until it has answered a later request itself.
 */
import type { Backend } from '../../../state/entry/backends.js';
import type { BrittleReport } from '../../../state/entry/evidenceReports.js';
import { LogLevel } from '../../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix } from '../commands.js';
import type { EntryEventKind, EntryEventOf } from '../events.js';
import { spreadEvidence } from '../exchange/evidenceSpread.js';
import { updatePlaces } from '../limits/serverPlaces.js';
import type { EntryState } from '../state.js';
import { resumeSlowly } from './serverPauses.js';

/** Time in which a brittle server counts its rejections, and a margin. */
const FULL_MS = 1_050;
/** A time that another VM tells may be later than it was by as long as the message took. */
const TRANSIT_MS = 100;
/** Shortest time for which no VM sends to a brittle server after it has rejected a request for want of room. */
const MIN_FULL_MS = 100;
/** Time after its end for which requests may wait for a server that was brittle. */
const ENDED_MS = 2_000;
/** A brittle server that this VM has not used for this time is used before others. */
const VERIFICATION_MS = 5_000;

/** Sets or ends the brittleness of a server. What was lent and borrowed there stays so when the number changes. */
function setBrittleness(
  state: EntryState,
  backend: Backend,
  maxRejectionsPerSecond: number | null,
  nowMs: number,
): void {
  const { lentUntilMs = [], borrowed = [] } = backend.brittleness ?? {};
  const noLoanUntilMs = Number.NEGATIVE_INFINITY;
  const loans = { lentUntilMs, borrowed, noLoanUntilMs };
  backend.brittleChangedAtMs = nowMs;
  backend.brittleness =
    maxRejectionsPerSecond === null ? null : { maxRejectionsPerSecond, places: 0, ...loans };
  updatePlaces(state, backend);
}

/** Marks the servers of a service that are not known to be brittle, since one of the service is. */
function markOthers(state: EntryState, { brittleness, entry }: Backend, nowMs: number): void {
  [...state.backends.values()]
    .filter((other) => other.entry.service === entry.service && other.brittleness === null)
    .forEach((other) => setBrittleness(state, other, brittleness!.maxRejectionsPerSecond, nowMs));
}

/** Marks servers that were just registered, and that this VM has not used, if others of their service are brittle. */
export function inheritBrittleness(
  state: EntryState,
  registered: readonly Backend[],
  nowMs: number,
): void {
  registered
    .filter(
      ({ brittleVersion, dispatchedAtMs }) =>
        brittleVersion === 0 && !Number.isFinite(dispatchedAtMs),
    )
    .forEach((backend) => {
      const other = [...state.backends.values()].find(
        ({ brittleness, entry }) => brittleness !== null && entry.service === backend.entry.service,
      );
      if (other !== undefined && backend.brittleness === null) {
        setBrittleness(state, backend, other.brittleness!.maxRejectionsPerSecond, nowMs);
        resumeSlowly(backend, nowMs);
      }
    });
}

/** Applies what an answer, or another VM, says of a server. */
function applyStatement(
  state: EntryState,
  backend: Backend,
  maxRejectionsPerSecond: number | null,
  version: number,
  nowMs: number,
): EntryCommand[] {
  backend.brittleVersion = version;
  setBrittleness(state, backend, maxRejectionsPerSecond, nowMs);
  if (maxRejectionsPerSecond === null) {
    resumeSlowly(backend, nowMs);
  } else {
    markOthers(state, backend, nowMs);
  }
  const text =
    maxRejectionsPerSecond === null
      ? 'A backend server is no longer brittle.'
      : 'A backend server is brittle.';
  const { id: server, service } = backend.entry;
  return [
    createEntryLog(LogLevel.Info, EntryLogPrefix.Backend, text, {
      server,
      service,
      maxRejectionsPerSecond: maxRejectionsPerSecond ?? -1,
    }),
    ...spreadEvidence(state),
  ];
}

/** Records what an answer of a server states of the rejections that it bears. */
export function handleBrittlenessReported(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.BrittlenessReported>,
  nowMs: number,
): EntryCommand[] {
  const { backendId, bornAtWallMs, dispatchedAtMs, maxRejectionsPerSecond } = event;
  const backend = state.backends.get(backendId);
  if (backend?.entry.bornAtWallMs !== bornAtWallMs) {
    return [];
  }
  const known = backend.brittleness?.maxRejectionsPerSecond ?? null;
  const isUnstated = maxRejectionsPerSecond !== null && backend.brittleVersion === 0;
  // An answer to an earlier request may arrive after one that states it.
  const isOutdated = maxRejectionsPerSecond === null && dispatchedAtMs < backend.brittleChangedAtMs;
  return isOutdated || (known === maxRejectionsPerSecond && !isUnstated)
    ? []
    : applyStatement(state, backend, maxRejectionsPerSecond, backend.brittleVersion + 1, nowMs);
}

/** Returns what answers have stated, for the other VMs. */
export function listBrittle({ backends }: EntryState, nowMs: number): BrittleReport[] {
  return [...backends.values()]
    .filter(({ brittleVersion }) => brittleVersion > 0)
    .map(({ brittleVersion, brittleness, entry, fullUntilMs }) => ({
      serverId: entry.id,
      bornAtWallMs: entry.bornAtWallMs,
      maxRejectionsPerSecond: brittleness?.maxRejectionsPerSecond ?? null,
      version: brittleVersion,
      fullUntilMs: fullUntilMs > nowMs ? fullUntilMs : null,
    }));
}

/** Returns whether another VM's report is of a later change, or of the stricter one of two at the same time. */
function isLaterStatement(
  { brittleVersion, brittleness }: Backend,
  report: BrittleReport,
): boolean {
  const known = brittleness?.maxRejectionsPerSecond ?? Number.POSITIVE_INFINITY;
  const reported = report.maxRejectionsPerSecond ?? Number.POSITIVE_INFINITY;
  return report.version > brittleVersion || (report.version === brittleVersion && reported < known);
}

/** Returns how long a brittle server counts as full after a rejection, so that it has no more in a second than it bears. */
function getFullMs({ brittleness }: Backend): number {
  return Math.max(MIN_FULL_MS, FULL_MS / (brittleness?.maxRejectionsPerSecond ?? 1));
}

/** Lets a server count as full until a time. Returns the commands that tell the other VMs, if it did not. */
function markFull(
  state: EntryState,
  backend: Backend,
  untilMs: number,
  nowMs: number,
): EntryCommand[] {
  const wasFull = backend.fullUntilMs > nowMs;
  if (untilMs <= backend.fullUntilMs + TRANSIT_MS) {
    return [];
  }
  backend.fullUntilMs = Math.max(
    backend.fullUntilMs,
    Math.min(untilMs, nowMs + getFullMs(backend)),
  );
  return wasFull || backend.fullUntilMs <= nowMs ? [] : spreadEvidence(state);
}

/** Merges what other VMs have read of brittle servers. */
export function mergeBrittle(
  state: EntryState,
  reports: readonly BrittleReport[],
  nowMs: number,
): EntryCommand[] {
  return reports.flatMap((report) => {
    const { bornAtWallMs, fullUntilMs, maxRejectionsPerSecond, serverId, version } = report;
    const backend = state.backends.get(serverId);
    if (backend?.entry.bornAtWallMs !== bornAtWallMs) {
      return [];
    }
    return [
      ...(isLaterStatement(backend, report)
        ? applyStatement(state, backend, maxRejectionsPerSecond, version, nowMs)
        : []),
      ...(fullUntilMs === null ? [] : markFull(state, backend, fullUntilMs, nowMs)),
    ];
  });
}

/** Records that a server has rejected a request of this VM for want of room, if it is brittle. */
export function recordWantOfRoom(
  state: EntryState,
  backend: Backend,
  nowMs: number,
): EntryCommand[] {
  return backend.brittleness === null
    ? []
    : markFull(state, backend, Number.POSITIVE_INFINITY, nowMs);
}

/** Returns whether a server may no longer be brittle without this VM having noticed: only an answer shows that. */
export function isBrittlenessUnverified(
  { brittleChangedAtMs, brittleness, dispatchedAtMs }: Backend,
  nowMs: number,
): boolean {
  const verifiedAtMs = Math.max(brittleChangedAtMs, dispatchedAtMs);
  return brittleness !== null && nowMs - verifiedAtMs > VERIFICATION_MS;
}

/** Returns whether one of some servers is brittle, or was a moment ago, so that requests may wait for room there. */
export function hasBrittle(servers: readonly Backend[], nowMs: number): boolean {
  return servers.some(
    ({ brittleChangedAtMs, brittleness }) =>
      brittleness !== null || nowMs - brittleChangedAtMs < ENDED_MS,
  );
}

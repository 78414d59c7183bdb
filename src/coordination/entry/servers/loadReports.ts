/**
 * Shares with the other VMs which loads servers of paced services have stated. A relayed VM sends what it has observed itself; the other
 * VMs send the newest that they know. Deployments without paced services exchange nothing.
 */
import { LoadReportResult } from '../../../state/entry/loadExchange.js';
import type { ServerLoadReport } from '../../../state/entry/reports.js';
import type { Backend } from '../../../state/entry/backends.js';
import type { EntryState } from '../state.js';
import { isPacedService, recordSharedLoad } from './serverLoads.js';

const MAX_REPORTS = 64;
const MAX_REPORT_AGE_MS = 3_000;
/**
 * Added to the age of a report at each VM that receives it. Without this, the time on the way would count as freshness, and a VM would
 * take its own observation for a newer one when it comes back.
 */
const HOP_AGE_MS = 30;
/** Encoded size of a report without the id of the server. */
const REPORT_BYTES = 25;
/**
 * Bytes for reports in a second at a VM that sends to few others. A relay exchanges more of everything else the more relays there are,
 * and both together stay within the bytes for control (docs/CAPACITY.md).
 */
const MAX_BYTES_PER_SECOND = 12_000;
const BYTES_PER_SECOND_OF_RELAYS = 80_000;
/**
 * Part of the bytes left that one message may use, so that messages sent at the same time all have some reports. A VM behind a relay has
 * no other source, while relays hear from several others.
 */
const MESSAGE_PART = 0.5;
const RELAY_MESSAGE_PART = 0.1;
const MS_PER_SECOND = 1_000;

/** Returns the bytes that the reports of a message may take now. */
function refillBytes({ loadExchange, relays }: EntryState, nowMs: number): number {
  const perSecond = Math.min(
    MAX_BYTES_PER_SECOND,
    BYTES_PER_SECOND_OF_RELAYS / Math.max(1, relays.length),
  );
  const elapsedMs = Math.max(0, nowMs - loadExchange.refilledAtMs);
  const refilled = loadExchange.bytes + (elapsedMs * perSecond) / MS_PER_SECOND;
  loadExchange.bytes = Math.min(perSecond, refilled);
  loadExchange.refilledAtMs = nowMs;
  return loadExchange.bytes;
}

function getSeenAtMs({ load }: Backend): number {
  return load?.seenAtMs ?? Number.NEGATIVE_INFINITY;
}

/** Returns the reports of servers, the newest first, as far as a message holds them. */
function createReports(
  state: EntryState,
  backends: readonly Backend[],
  messagePart: number,
  nowMs: number,
): ServerLoadReport[] {
  const reports: ServerLoadReport[] = [];
  let leftBytes = refillBytes(state, nowMs) * messagePart;
  const newest = backends.toSorted((a, b) => getSeenAtMs(b) - getSeenAtMs(a));
  for (const { entry, load } of newest.slice(0, MAX_REPORTS)) {
    const bytes = REPORT_BYTES + entry.id.length;
    if (load === null || bytes > leftBytes) {
      break;
    }
    leftBytes -= bytes;
    state.loadExchange.bytes -= bytes;
    const { pace, running, seenAtMs, slots, waiting } = load;
    reports.push({
      serverId: entry.id,
      bornAtWallMs: entry.bornAtWallMs,
      running,
      waiting,
      slots,
      pace,
      ageMs: Math.max(0, nowMs - seenAtMs),
    });
  }
  return reports;
}

/** Returns the servers whose load is new enough to be reported, and forgets the others. */
function listRecent(state: EntryState, ids: Set<string>, nowMs: number): Backend[] {
  const recent: Backend[] = [];
  ids.forEach((id) => {
    const backend = state.backends.get(id);
    if (backend === undefined || nowMs - getSeenAtMs(backend) > MAX_REPORT_AGE_MS) {
      ids.delete(id);
    } else if (isPacedService(state, backend.entry.service)) {
      recent.push(backend);
    }
  });
  return recent;
}

/** Returns the newest loads that this VM knows, without those of the given servers, for a VM that it relays for or for another. */
export function listNewestLoads(
  state: EntryState,
  isRelayed: boolean,
  nowMs: number,
  exceptIds: ReadonlySet<string> = new Set(),
): ServerLoadReport[] {
  const recent = listRecent(state, state.loadExchange.recentIds, nowMs);
  const reports = recent.filter(({ entry }) => !exceptIds.has(entry.id));
  return createReports(state, reports, isRelayed ? MESSAGE_PART : RELAY_MESSAGE_PART, nowMs);
}

/** Returns what this VM has observed itself since the last call. */
export function takeOwnLoads(state: EntryState, nowMs: number): ServerLoadReport[] {
  const { ownIds } = state.loadExchange;
  const reports = createReports(state, listRecent(state, ownIds, nowMs), MESSAGE_PART, nowMs);
  ownIds.clear();
  return reports;
}

/** Returns the number of servers whose load is new enough to be reported. */
export function countRecentLoads(state: EntryState, nowMs: number): number {
  return listRecent(state, state.loadExchange.recentIds, nowMs).length;
}

function mergeReport(
  state: EntryState,
  { ageMs, bornAtWallMs, pace, running, serverId, slots, waiting }: ServerLoadReport,
  nowMs: number,
): LoadReportResult {
  const backend = state.backends.get(serverId);
  if (backend?.entry.bornAtWallMs !== bornAtWallMs) {
    return LoadReportResult.UnknownServer;
  }
  const seenAtMs = nowMs - Math.max(0, ageMs) - HOP_AGE_MS;
  if (seenAtMs <= getSeenAtMs(backend) || nowMs - seenAtMs > MAX_REPORT_AGE_MS) {
    return LoadReportResult.Outdated;
  }
  recordSharedLoad(state, backend, { running, waiting, slots, pace, seenAtMs });
  return LoadReportResult.Merged;
}

/** Merges the loads that another VM has sent. */
export function mergeServerLoads(
  state: EntryState,
  reports: readonly ServerLoadReport[],
  nowMs: number,
): void {
  const { results } = state.loadExchange;
  reports.slice(0, MAX_REPORTS).forEach((report) => {
    const result = mergeReport(state, report, nowMs);
    results.set(result, (results.get(result) ?? 0) + 1);
  });
}

/**
 * Tells what a graceful shutdown does and which requests it waits for, so that a VM that ends late can be traced to its cause.
 */
import { LogLevel } from '../events.js';
import { createEntryLog, type EntryCommand, EntryLogPrefix, type LogFields } from './commands.js';
import type { EntryState, ForwardRecord } from './state.js';
import { WAIT_REPORT_INTERVAL_MS } from './stopProgress.js';

/** Requests that a line names. */
const MAX_NAMED_REQUESTS = 3;

/** Returns the time since the shutdown was requested; 0 if none was. */
export function getStopMs({ stop }: EntryState, nowMs: number): number {
  return stop === null ? 0 : nowMs - stop.requestedAtMs;
}

function describeRequest(record: ForwardRecord, nowMs: number): string {
  const target = record.backendId ?? record.passedTo ?? 'no server';
  const { callerRequestId } = record.request;
  return `${callerRequestId} (${record.phase}, ${target}, ${nowMs - record.arrivedAtMs} ms)`;
}

/** Returns how many requests there are, in which phases, and the oldest of them. */
function describeRequests(records: readonly ForwardRecord[], nowMs: number): LogFields {
  const counts = new Map<string, number>();
  records.forEach(({ phase }) => counts.set(phase, (counts.get(phase) ?? 0) + 1));
  const oldest = [...records].sort((a, b) => a.arrivedAtMs - b.arrivedAtMs);
  return {
    requests: records.length,
    phases: [...counts].map(([phase, count]) => `${phase}=${count}`).join(' '),
    oldestRequests: oldest
      .slice(0, MAX_NAMED_REQUESTS)
      .map((record) => describeRequest(record, nowMs))
      .join(' '),
  };
}

/** Creates the line of a step of a graceful shutdown, with the requests that it concerns. */
export function logStopStep(
  state: EntryState,
  text: string,
  records: readonly ForwardRecord[],
  nowMs: number,
): EntryCommand {
  return createEntryLog(LogLevel.Info, EntryLogPrefix.Lifecycle, text, {
    stopMs: getStopMs(state, nowMs),
    ...describeRequests(records, nowMs),
  });
}

/** Logs the requests that a graceful shutdown waits for, if that is due. */
export function reportStopWait(state: EntryState, nowMs: number): EntryCommand[] {
  const { requests, stop } = state;
  if (stop === null || requests.size === 0 || nowMs < stop.reportDueAtMs) {
    return [];
  }
  stop.reportDueAtMs = nowMs + WAIT_REPORT_INTERVAL_MS;
  const text = 'The shutdown waits for requests.';
  return [logStopStep(state, text, [...requests.values()], nowMs)];
}

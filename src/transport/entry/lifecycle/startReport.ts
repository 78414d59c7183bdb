/**
 * Measures how long each part of a start takes, and tells which part a VM waits for that is not ready, so that a VM that is ready
 * late or never can be traced to what it waited for.
 */
import type { LogFields } from '../../../coordination/entry/commands.js';
import { LogLevel } from '../../../coordination/events.js';

/** The parts of a start in their order. With `Ms`, each names the field of the line that has all times. */
export const StartPart = {
  /** From the start of the process until its modules are loaded. */
  Program: 'program',
  Settings: 'settings',
  Ports: 'ports',
  /** Until the store or a relay has supplied a configuration. */
  Configuration: 'configuration',
  /** From the configuration until the VM is ready. */
  Servers: 'servers',
} as const;
export type StartPart = (typeof StartPart)[keyof typeof StartPart];

const PARTS = Object.values(StartPart);
/** Time without readiness after which the part that a start waits for is logged; it doubles up to the maximum. */
const FIRST_WAIT_REPORT_MS = 5_000;
const MAX_WAIT_REPORT_MS = 60_000;

/** Writes a line about a start. */
export type WriteStartLine = (level: LogLevel, text: string, fields: LogFields) => void;

/** The times of a start. */
export interface StartReport {
  /** Records the end of a part; later calls for the same part have no effect. */
  readonly finish: (part: StartPart) => void;
  /** Returns the milliseconds that each finished part took, and their sum. */
  readonly getTimes: () => LogFields;
  /** Returns the first part that has not ended, and how long the process has been waiting for it. */
  readonly getWait: () => LogFields;
  /** Writes the end of each part, also of those that have ended before, and from time to time which one the start waits for. */
  readonly logTo: (write: WriteStartLine) => void;
  /** Writes no more of what the start waits for. */
  readonly close: () => void;
}

/** @param getUptimeMs Returns the time since the process was started. */
export function createStartReport(getUptimeMs: () => number): StartReport {
  const timesMs = new Map<StartPart, number>();
  let finishedAtMs = 0;
  let writeLine: WriteStartLine | null = null;
  let waitTimer: NodeJS.Timeout | undefined;

  const getWait = (): LogFields => {
    const uptimeMs = Math.round(getUptimeMs());
    const waitsFor = PARTS.find((part) => !timesMs.has(part)) ?? '';
    return { waitsFor, waitedMs: uptimeMs - finishedAtMs, uptimeMs };
  };
  const writeEnd = (part: StartPart, partMs: number, uptimeMs: number): void =>
    writeLine?.(LogLevel.Info, 'A part of the start has ended.', { part, partMs, uptimeMs });
  const startWaitTimer = (delayMs: number): void => {
    waitTimer = setTimeout(() => {
      writeLine?.(LogLevel.Warn, 'The VM is not ready yet.', getWait());
      startWaitTimer(Math.min(2 * delayMs, MAX_WAIT_REPORT_MS));
    }, delayMs);
    waitTimer.unref();
  };
  const close = (): void => clearTimeout(waitTimer);
  return {
    finish: (part) => {
      if (timesMs.has(part)) {
        return;
      }
      const nowMs = Math.round(getUptimeMs());
      const partMs = nowMs - finishedAtMs;
      timesMs.set(part, partMs);
      finishedAtMs = nowMs;
      writeEnd(part, partMs, nowMs);
      if (timesMs.size === PARTS.length) {
        close();
      }
    },
    getTimes: () => ({
      ...Object.fromEntries([...timesMs].map(([part, partMs]) => [`${part}Ms`, partMs])),
      totalMs: finishedAtMs,
    }),
    getWait,
    logTo: (write) => {
      writeLine = write;
      let endedAtMs = 0;
      timesMs.forEach((partMs, part) => {
        endedAtMs += partMs;
        writeEnd(part, partMs, endedAtMs);
      });
      startWaitTimer(FIRST_WAIT_REPORT_MS);
    },
    close,
  };
}

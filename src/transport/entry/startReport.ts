/**
 * Measures how long each part of a start takes, so that a VM that is ready late can be traced to what it waited for.
 */
import type { LogFields } from '../../coordination/entry/commands.js';

/** The parts of a start in their order; the value is the field of the log line. */
export const StartPart = {
  /** From the start of the process until its modules are loaded. */
  Program: 'programMs',
  Settings: 'settingsMs',
  Ports: 'portsMs',
  /** Until the store or a relay has supplied a configuration. */
  Configuration: 'configurationMs',
  /** From the configuration until the VM is ready. */
  Servers: 'serversMs',
} as const;
export type StartPart = (typeof StartPart)[keyof typeof StartPart];

/** The times of a start. */
export interface StartReport {
  /** Records the end of a part; later calls for the same part have no effect. */
  readonly finish: (part: StartPart) => void;
  /** Returns the milliseconds that each finished part took, and their sum. */
  readonly getTimes: () => LogFields;
}

/** @param getUptimeMs Returns the time since the process was started. */
export function createStartReport(getUptimeMs: () => number): StartReport {
  const timesMs = new Map<StartPart, number>();
  let finishedAtMs = 0;
  return {
    finish: (part) => {
      if (!timesMs.has(part)) {
        const nowMs = Math.round(getUptimeMs());
        timesMs.set(part, nowMs - finishedAtMs);
        finishedAtMs = nowMs;
      }
    },
    getTimes: () => ({ ...Object.fromEntries(timesMs), totalMs: finishedAtMs }),
  };
}

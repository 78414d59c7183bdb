/**
 * Measures a graceful shutdown that is under way.
 */

/** Interval at which a stopping VM logs what it waits for. */
export const WAIT_REPORT_INTERVAL_MS = 1_000;

/** A graceful shutdown that is under way. */
export interface StopProgress {
  readonly requestedAtMs: number;
  /** Time at which the VM ends whatever it waits for. */
  readonly exitAtMs: number;
  /** Time at which the requests that it waits for are logged next. */
  reportDueAtMs: number;
}

/** Begins to measure a graceful shutdown. */
export function beginStopProgress(nowMs: number, exitDelayMs: number): StopProgress {
  const exitAtMs = nowMs + exitDelayMs;
  return { requestedAtMs: nowMs, exitAtMs, reportDueAtMs: nowMs + WAIT_REPORT_INTERVAL_MS };
}

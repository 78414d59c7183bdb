/**
 * Measures how late the runtime's loop is. While it is late, requests wait unread on their connections, and their callers
 * may have left by the time they are read.
 */

const CHECK_INTERVAL_MS = 100;
/** A smaller delay is normal. */
const MIN_DELAY_MS = 50;
/** From this delay on, callers with short patience have left before their requests are read. */
const REPORTED_DELAY_MS = 250;

/**
 * Runs work at once if the loop is on time, else once the data that lies unread on connections has been read: callers may have
 * left in the meantime.
 */
export function runAfterUnreadData(delayMs: number, work: () => void): void {
  if (delayMs === 0) {
    work();
  } else {
    setImmediate(() => setImmediate(work));
  }
}

/** Measures the delay of the loop by a periodic timer. */
export interface LoopDelayMonitor {
  /** Returns the delay in milliseconds that data which is read now may have had; 0 if the loop is on time. */
  readonly getDelayMs: () => number;
  /** Returns the longest delay since the start. */
  readonly getMaxDelayMs: () => number;
  readonly close: () => void;
}

/**
 * Starts the periodic timer.
 *
 * @param onLate Called with each delay that is long.
 */
export function createLoopDelayMonitor(
  getNowMs: () => number,
  onLate: (delayMs: number) => void = () => {},
): LoopDelayMonitor {
  let dueAtMs = getNowMs() + CHECK_INTERVAL_MS;
  let lastDelayMs = 0;
  let maxDelayMs = 0;
  const timer = setInterval(() => {
    const nowMs = getNowMs();
    lastDelayMs = Math.max(0, nowMs - dueAtMs);
    maxDelayMs = Math.max(maxDelayMs, lastDelayMs);
    dueAtMs = nowMs + CHECK_INTERVAL_MS;
    if (lastDelayMs >= REPORTED_DELAY_MS) {
      onLate(lastDelayMs);
    }
  }, CHECK_INTERVAL_MS);
  timer.unref();
  return {
    getDelayMs: () => {
      const delayMs = Math.max(lastDelayMs, getNowMs() - dueAtMs);
      return delayMs < MIN_DELAY_MS ? 0 : delayMs;
    },
    getMaxDelayMs: () => maxDelayMs,
    close: () => clearInterval(timer),
  };
}

/**
 * Measures how late the runtime's loop is. While it is late, requests wait unread on their connections, and their callers
 * may have left by the time they are read.
 */

const CHECK_INTERVAL_MS = 100;
/** A smaller delay is normal. */
const MIN_DELAY_MS = 50;
/** How long a VM counts as behind after its loop was late. */
const BEHIND_MS = 1_000;
/** From this delay on, callers with short patience have left before their requests are read. */
const REPORTED_DELAY_MS = 250;

/**
 * Runs work at once unless the VM is behind, else once the data that lies unread on connections has been read: callers may have
 * left in the meantime.
 */
export function runAfterUnreadData(isBehind: boolean, work: () => void): void {
  if (isBehind) {
    setImmediate(() => setImmediate(work));
  } else {
    work();
  }
}

/** Measures the delay of the loop by a periodic timer. */
export interface LoopDelayMonitor {
  /** Returns the delay in milliseconds that data which is read now may have had; 0 if the loop is on time. */
  readonly getDelayMs: () => number;
  /**
   * Returns whether the loop is late, or was in the last second. A VM that has used up its share of a core is late in parts of
   * each second only, but needs many turns of the loop to read a request.
   */
  readonly isBehind: () => boolean;
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
  let lateAtMs = Number.NEGATIVE_INFINITY;
  const timer = setInterval(() => {
    const nowMs = getNowMs();
    lastDelayMs = Math.max(0, nowMs - dueAtMs);
    maxDelayMs = Math.max(maxDelayMs, lastDelayMs);
    lateAtMs = lastDelayMs < MIN_DELAY_MS ? lateAtMs : nowMs;
    dueAtMs = nowMs + CHECK_INTERVAL_MS;
    if (lastDelayMs >= REPORTED_DELAY_MS) {
      onLate(lastDelayMs);
    }
  }, CHECK_INTERVAL_MS);
  timer.unref();
  const getDelayMs = (): number => {
    const delayMs = Math.max(lastDelayMs, getNowMs() - dueAtMs);
    return delayMs < MIN_DELAY_MS ? 0 : delayMs;
  };
  return {
    getDelayMs,
    isBehind: () => getDelayMs() > 0 || getNowMs() - lateAtMs < BEHIND_MS,
    getMaxDelayMs: () => maxDelayMs,
    close: () => clearInterval(timer),
  };
}

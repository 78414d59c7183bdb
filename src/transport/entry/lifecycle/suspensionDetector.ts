/**
 * Detects that the VM was suspended: the wall clock advanced and the monotonic clock did not. Leases and other
 * time-limited grants of this VM may have expired in the meantime.
 */

/** Smaller differences are normal drift between the clocks. */
const MIN_SUSPENSION_MS = 200;
const CHECK_INTERVAL_MS = 100;

/** Compares the two clocks of the VM periodically and on demand. */
export interface SuspensionDetector {
  /** Returns the duration of a suspension since the last check; 0 if there was none. */
  readonly check: () => number;
  /** Starts to measure a time. The function that it returns gives the milliseconds since then, with all suspensions. */
  readonly startStopwatch: () => () => number;
  readonly close: () => void;
}

/** Starts the periodic check. A wall clock that is set forward cannot be distinguished and counts as a suspension. */
export function createSuspensionDetector(
  getNowMs: () => number,
  getWallMs: () => number,
  onSuspended: (lostMs: number) => void,
): SuspensionDetector {
  let clockDifferenceMs = getWallMs() - getNowMs();
  let totalLostMs = 0;
  const check = (): number => {
    const currentDifferenceMs = getWallMs() - getNowMs();
    const lostMs = currentDifferenceMs - clockDifferenceMs;
    clockDifferenceMs = currentDifferenceMs;
    if (lostMs < MIN_SUSPENSION_MS) {
      return 0;
    }
    totalLostMs += lostMs;
    onSuspended(lostMs);
    return lostMs;
  };
  const startStopwatch = (): (() => number) => {
    check();
    const startedAtMs = getNowMs();
    const lostBeforeMs = totalLostMs;
    return () => {
      check();
      return getNowMs() - startedAtMs + totalLostMs - lostBeforeMs;
    };
  };
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  timer.unref();
  return { check, startStopwatch, close: () => clearInterval(timer) };
}

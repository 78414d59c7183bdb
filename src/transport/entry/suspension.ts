/**
 * Notices that the VM stood still: the wall clock has gone on and the monotonic clock has not. Whatever was
 * held for a time may have ended meanwhile.
 */

/** A difference below this is the clocks' own. */
const MIN_LOST_MS = 200;
const CHECK_INTERVAL_MS = 100;

/** Watches the clocks of the VM. */
export interface SuspensionWatch {
  /** Returns the time that was lost since the last look; zero mostly. */
  readonly check: () => number;
  readonly close: () => void;
}

/** Starts a watch. A wall clock that is set forward looks the same, and is taken for a suspension. */
export function createSuspensionWatch(
  getNowMs: () => number,
  getWallMs: () => number,
  onSuspended: (lostMs: number) => void,
): SuspensionWatch {
  let offsetMs = getWallMs() - getNowMs();
  const check = (): number => {
    const currentMs = getWallMs() - getNowMs();
    const lostMs = currentMs - offsetMs;
    offsetMs = currentMs;
    if (lostMs < MIN_LOST_MS) {
      return 0;
    }
    onSuspended(lostMs);
    return lostMs;
  };
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  timer.unref();
  return { check, close: () => clearInterval(timer) };
}

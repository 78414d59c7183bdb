/**
 * Limits the events and chunks of answers that a VM passes on in a second, over all answers together: each costs processor time, of
 * which a server that sends short ones as fast as it can would take all.
 */

const MAX_EVENTS_PER_SECOND = 100_000;
/** Events that are passed on at once after a pause of all answers. */
const MAX_BURST_EVENTS = 10_000;
const MS_PER_SECOND = 1_000;

/** The events and chunks that all answers may bring. */
export interface EventPacer {
  /** Takes events or chunks that have arrived. Returns the milliseconds for which their answer must not be read. */
  readonly take: (count: number) => number;
}

/** Creates the pacer of a VM. */
export function createEventPacer(getNowMs: () => number): EventPacer {
  let events = MAX_BURST_EVENTS;
  let updatedAtMs = getNowMs();
  return {
    take: (count) => {
      const nowMs = getNowMs();
      const earned = ((nowMs - updatedAtMs) * MAX_EVENTS_PER_SECOND) / MS_PER_SECOND;
      events = Math.min(MAX_BURST_EVENTS, events + earned) - count;
      updatedAtMs = nowMs;
      return Math.max(0, (-events * MS_PER_SECOND) / MAX_EVENTS_PER_SECOND);
    },
  };
}

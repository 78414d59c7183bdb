/**
 * Bounds the last steps of a process, which wait for the store and for the reader of the log, so that it ends before the platform
 * kills it.
 */
import type { EntryState } from '../../../coordination/entry/state.js';

/** Fraction of the time until the process is killed by which its last step ends. */
const END_FRACTION = 0.95;
/** Each step gets this time also if the others were late. */
const MIN_STEP_MS = 20;

/** Returns the time that a shutdown has left; infinite if none was requested. */
export function getStopLeftMs({ policy, stop }: EntryState, nowMs: number): number {
  return stop === null
    ? Number.POSITIVE_INFINITY
    : stop.requestedAtMs + policy.stopGraceMs * END_FRACTION - nowMs;
}

/** Limits the time of a last step to what is left for it. */
export function limitEndStep(limitMs: number, leftMs: number): number {
  return Math.max(MIN_STEP_MS, Math.min(limitMs, leftMs));
}

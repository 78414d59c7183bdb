/**
 * Tracks the prompt tokens that each backend server has yet to prefill, and estimates its prefill speed. An engine
 * interleaves prefill with the token generation of its streams, so prompts that arrive together delay all streams.
 * The choice of a server uses this to spread this VM's prompts and to keep long ones from slow servers.
 */
import type { Backend } from '../../../state/entry/backends.js';
import type { ForwardRecord } from '../state.js';

/** Shorter prompts give no sample: network latency and one engine step take as long as their prefill. */
const MIN_SAMPLE_TOKENS = 500;
/** Network latency and one engine step, which are not part of the prefill time. */
const FIXED_LATENCY_MS = 12;
/**
 * Weights of samples below and above the moving average. A higher sample has less weight, as the prompt may have
 * waited for others, which says nothing about the prefill speed.
 */
const LOWER_SAMPLE_WEIGHT = 0.3;
const HIGHER_SAMPLE_WEIGHT = 0.05;
/** Assumed before the first sample: about the prefill time per token of fast engines with a large model. */
const INITIAL_MS_PER_TOKEN = 0.04;
/** Event gap from which a stream counts as late if the route specifies none. */
const DEFAULT_MAX_GAP_MS = 250;

/** Adds the prompt of a dispatched request to the tokens that its server has yet to prefill. */
export function addPendingPrefill(backend: Backend, record: ForwardRecord, nowMs: number): void {
  record.pendingPrefillTokens = record.request.promptTokens;
  record.dispatchedAtMs = nowMs;
  backend.pendingPrefillTokens += record.pendingPrefillTokens;
}

/** Removes a prompt from the tokens yet to prefill, once it is prefilled or its attempt has ended. */
export function removePendingPrefill(backend: Backend, record: ForwardRecord): void {
  backend.pendingPrefillTokens = Math.max(
    0,
    backend.pendingPrefillTokens - record.pendingPrefillTokens,
  );
  record.pendingPrefillTokens = 0;
}

/** Updates the estimated prefill speed of a server from the time to the first event. */
export function updatePrefillSpeed(backend: Backend, record: ForwardRecord, nowMs: number): void {
  const { promptTokens } = record.request;
  const isOnlyPrompt = backend.pendingPrefillTokens <= record.pendingPrefillTokens;
  removePendingPrefill(backend, record);
  if (promptTokens < MIN_SAMPLE_TOKENS || !isOnlyPrompt) {
    return;
  }
  const sample = Math.max(0, nowMs - record.dispatchedAtMs - FIXED_LATENCY_MS) / promptTokens;
  const estimate = backend.prefillMsPerToken;
  if (estimate === null) {
    backend.prefillMsPerToken = Math.min(sample, INITIAL_MS_PER_TOKEN * 2);
    return;
  }
  const weight = sample < estimate ? LOWER_SAMPLE_WEIGHT : HIGHER_SAMPLE_WEIGHT;
  backend.prefillMsPerToken = estimate + (sample - estimate) * weight;
}

/**
 * Returns how long a completed request has held a slot: since its dispatch, or, for a stream, since the prefill before its
 * first event. The time in the server's queue before that does not count.
 */
export function getHeldMs(
  { prefillMsPerToken }: Backend,
  { attemptAnsweredAtMs, dispatchedAtMs, request }: ForwardRecord,
  nowMs: number,
): number {
  if (attemptAnsweredAtMs === null) {
    return nowMs - dispatchedAtMs;
  }
  const prefillMs = request.promptTokens * (prefillMsPerToken ?? INITIAL_MS_PER_TOKEN);
  return nowMs - Math.max(dispatchedAtMs, attemptAnsweredAtMs - prefillMs);
}

/** Returns the time to prefill a server's pending prompts and this request's, in multiples of the maximum event gap. */
export function getPrefillDelay(
  backend: Backend,
  { request, route }: Pick<ForwardRecord, 'request' | 'route'>,
): number {
  const tokens = backend.pendingPrefillTokens + request.promptTokens;
  const prefillMs = tokens * (backend.prefillMsPerToken ?? INITIAL_MS_PER_TOKEN);
  return prefillMs / (route.maxEventGapMs ?? DEFAULT_MAX_GAP_MS);
}

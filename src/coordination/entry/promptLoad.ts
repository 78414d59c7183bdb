/**
 * Prompts that a backend server has yet to read. An engine reads prompts between the tokens of its streams,
 * so prompts that come together hold up all of them; this VM keeps its own apart, and keeps long ones from
 * servers that read slowly.
 */
import type { Backend } from '../../state/entry/backends.js';
import type { ForwardRecord } from './state.js';

/** Prompts shorter than this tell little of how fast a server reads: the way and a step count as much. */
const MIN_SAMPLE_TOKENS = 500;
/** Way of a request and its first event, and one step of the engine: not part of reading. */
const FIXED_MS = 12;
/**
 * Weights of a sample below and above the estimate: a prompt that waits for others takes longer, which says
 * nothing of the server.
 */
const LOWER_WEIGHT = 0.3;
const HIGHER_WEIGHT = 0.05;
/** Taken for a server before its first sample: about what fast engines need for a large model. */
const FIRST_MS_PER_TOKEN = 0.04;
/** Pause in a stream, in ms, that is taken as late if the route states none. */
const DEFAULT_GAP_MS = 250;

/** Notes that a request was sent to a server, which has to read its prompt. */
export function noteSent(backend: Backend, record: ForwardRecord, nowMs: number): void {
  record.unreadTokens = record.request.promptTokens;
  record.sentAtMs = nowMs;
  backend.unreadTokens += record.unreadTokens;
}

/** Notes that a server has read the prompt, or has lost the request. */
export function noteRead(backend: Backend, record: ForwardRecord): void {
  backend.unreadTokens = Math.max(0, backend.unreadTokens - record.unreadTokens);
  record.unreadTokens = 0;
}

/** Learns from the time to the first event how fast a server reads. */
export function noteFirstEvent(backend: Backend, record: ForwardRecord, nowMs: number): void {
  const { promptTokens } = record.request;
  const isAlone = backend.unreadTokens <= record.unreadTokens;
  noteRead(backend, record);
  if (promptTokens < MIN_SAMPLE_TOKENS || !isAlone) {
    return;
  }
  const sample = Math.max(0, nowMs - record.sentAtMs - FIXED_MS) / promptTokens;
  const known = backend.readMsPerToken;
  if (known === null) {
    backend.readMsPerToken = Math.min(sample, FIRST_MS_PER_TOKEN * 2);
    return;
  }
  const weight = sample < known ? LOWER_WEIGHT : HIGHER_WEIGHT;
  backend.readMsPerToken = known + (sample - known) * weight;
}

/** Time for which a server would hold up its streams with one more prompt, in parts of a late pause. */
export function getHoldUp(
  backend: Backend,
  { request, route }: Pick<ForwardRecord, 'request' | 'route'>,
): number {
  const tokens = backend.unreadTokens + request.promptTokens;
  const readMs = tokens * (backend.readMsPerToken ?? FIRST_MS_PER_TOKEN);
  return readMs / (route.maxEventGapMs ?? DEFAULT_GAP_MS);
}

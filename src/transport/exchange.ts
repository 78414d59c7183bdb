/**
 * One caller's request and its answer on the way out. Bytes stream past the loop; the loop is told of
 * the start, the end and every failure.
 */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { createDispatchId } from '../protocol/engine.js';
import {
  type CompletionChunk,
  type CompletionRequest,
  encodeWholeAnswer,
} from '../protocol/openai.js';
import { encodeSse, SSE_DONE } from '../protocol/sse.js';
import { encodeRefusal, getRefusalHeaders, getStatus } from '../protocol/statusCodes.js';
import type { Refusal, RequestInfo } from '../state/types.js';

const HTTP_OK = 200;
const MS_PER_SECOND = 1000;
const SSE_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };

/** An answer of a plain service that is held whole. */
export interface HeldAnswer {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

/** A request that has been read, until its answer is out. */
export interface Exchange {
  readonly info: RequestInfo;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  /** Null for a plain service. */
  readonly completion: CompletionRequest | null;
  /** Wall clock time, shown to the caller. */
  readonly createdAtMs: number;
  /** Tokens taken from engines so far, over all dispatches. */
  deliveredTokens: number;
  /** The text of a whole answer so far. */
  text: string;
  finishReason: string;
  lastTokenAtMs: number | null;
  maxGapMs: number;
  sumGapsMs: number;
  /** Ends the dispatch under way. */
  cancel: (() => void) | null;
  /** Kept for the claim of an idempotency key. */
  held: HeldAnswer | null;
  isEnded: boolean;
}

/** Creates the exchange of a request. */
export function createExchange(
  fields: Pick<Exchange, 'info' | 'request' | 'response' | 'body' | 'completion' | 'createdAtMs'>,
): Exchange {
  return {
    ...fields,
    deliveredTokens: 0,
    text: '',
    finishReason: 'stop',
    lastTokenAtMs: null,
    maxGapMs: 0,
    sumGapsMs: 0,
    cancel: null,
    held: null,
    isEnded: false,
  };
}

/** Tells whether any byte of the answer has gone to the caller. */
export function isAnswerBegun(exchange: Exchange): boolean {
  return exchange.response.headersSent;
}

/** Sends a whole answer. */
export function sendWhole(
  exchange: Exchange,
  status: number,
  headers: OutgoingHttpHeaders,
  body: Buffer | string,
): void {
  const { response } = exchange;
  exchange.isEnded = true;
  if (response.destroyed) {
    return;
  }
  response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
  response.end(exchange.request.method === 'HEAD' ? undefined : body);
}

/** Refuses a request whose answer has not begun. */
export function sendRefusal(exchange: Exchange, refusal: Refusal): void {
  sendWhole(
    exchange,
    getStatus(refusal.diagnostic),
    getRefusalHeaders(refusal),
    encodeRefusal(refusal),
  );
}

/** Ends an answer that has begun so that the caller sees that it is not whole. */
export function abortAnswer(exchange: Exchange, refusal: Refusal): void {
  const { response } = exchange;
  if (!response.headersSent) {
    sendRefusal(exchange, refusal);
    return;
  }
  exchange.isEnded = true;
  if (response.destroyed) {
    return;
  }
  if (exchange.completion?.isStreamed === true) {
    response.write(encodeSse(encodeRefusal(refusal)), () => response.destroy());
  } else {
    response.destroy();
  }
}

function noteTokenTime(exchange: Exchange, nowMs: number): void {
  if (exchange.lastTokenAtMs !== null) {
    const gapMs = nowMs - exchange.lastTokenAtMs;
    exchange.maxGapMs = Math.max(exchange.maxGapMs, gapMs);
    exchange.sumGapsMs += gapMs;
  }
  exchange.lastTokenAtMs = nowMs;
}

/** Returns the mean time between two tokens so far. */
export function getMeanGapMs({ deliveredTokens, sumGapsMs }: Exchange): number {
  return sumGapsMs / Math.max(1, deliveredTokens - 1);
}

/** The id that the caller sees, whichever dispatch the answer comes from. */
function getAnswerId(exchange: Exchange): string {
  return createDispatchId(exchange.info.requestId, 1);
}

/**
 * Takes one part of a model's answer.
 *
 * @returns false if the caller reads too slowly for more to be taken now.
 */
export function deliverChunk(
  exchange: Exchange,
  chunk: CompletionChunk,
  data: string,
  nowMs: number,
): boolean {
  if (chunk.tokenIndex !== null) {
    exchange.deliveredTokens += 1;
    noteTokenTime(exchange, nowMs);
  }
  exchange.finishReason = chunk.finishReason ?? exchange.finishReason;
  if (exchange.completion?.isStreamed !== true) {
    exchange.text += chunk.text;
    return true;
  }
  if (!exchange.response.headersSent) {
    exchange.response.writeHead(HTTP_OK, SSE_HEADERS);
  }
  const answerId = getAnswerId(exchange);
  const text =
    chunk.id === answerId
      ? data
      : data.replace(JSON.stringify(chunk.id), () => JSON.stringify(answerId));
  return exchange.response.write(encodeSse(text));
}

/** Ends a model's answer that has come whole. */
export function completeAnswer(exchange: Exchange): void {
  const { completion, response } = exchange;
  if (completion === null) {
    return;
  }
  if (completion.isStreamed) {
    exchange.isEnded = true;
    if (!response.headersSent) {
      response.writeHead(HTTP_OK, SSE_HEADERS);
    }
    response.end(encodeSse(SSE_DONE));
    return;
  }
  const answer = encodeWholeAnswer(completion, {
    id: getAnswerId(exchange),
    createdAtSeconds: Math.floor(exchange.createdAtMs / MS_PER_SECOND),
    text: exchange.text,
    finishReason: exchange.finishReason,
    completionTokens: exchange.deliveredTokens,
  });
  sendWhole(exchange, HTTP_OK, { 'content-type': 'application/json' }, answer);
}

/**
 * An exchange: one caller's request and the answer that is sent to it. The bytes of the answer don't
 * pass through the event loop, which receives events for its start, its end and each failure only.
 */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { createDispatchId } from '../protocol/engine.js';
import {
  type CompletionChunk,
  type CompletionRequest,
  encodeChunk,
  encodeCompletionResponse,
} from '../protocol/openai.js';
import { encodeSse, SSE_DONE } from '../protocol/sse.js';
import { encodeRefusal, getRefusalHeaders, getStatus } from '../protocol/statusCodes.js';
import type { Refusal, RequestInfo } from '../state/types.js';
import { type BodyMemory, UNCOUNTED_BODY } from './bodyMemory.js';
import { lacksChunks, resetAnswer, watchUnframedAnswer } from './unframedAnswers.js';

const HTTP_OK = 200;
const MS_PER_SECOND = 1000;
const SSE_HEADERS = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' };

/** A complete answer of a plain service, buffered in memory. */
export interface BufferedAnswer {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
  readonly body: Buffer;
}

/** A request whose body has been read, and the state of its answer. */
export interface Exchange {
  readonly info: RequestInfo;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly bodyMemory: BodyMemory;
  /** Null for a request to a plain service. */
  readonly completion: CompletionRequest | null;
  /** Wall-clock time, sent to the caller as the creation time of the answer. */
  readonly createdAtMs: number;
  /** Tokens received from engines so far, over all dispatches of the request. */
  deliveredTokens: number;
  /** The text received so far of an answer that is not streamed. */
  answerText: string;
  finishReason: string;
  lastTokenAtMs: number | null;
  maxGapMs: number;
  sumGapsMs: number;
  /** Cancels the current dispatch; null if there is none. */
  cancelDispatch: (() => void) | null;
  /**
   * Answer for the claim of the request's idempotency key: from its own dispatch, or replayed from an
   * earlier request.
   */
  bufferedAnswer: BufferedAnswer | null;
  /** True if the answer ends with its connection, so that only a reset shows that it is incomplete. */
  endsWithConnection: boolean;
  isEnded: boolean;
}

/** Creates the exchange of a request whose answer has not begun. */
export function createExchange(
  fields: Pick<Exchange, 'info' | 'request' | 'response' | 'body' | 'completion' | 'createdAtMs'>,
  bodyMemory = UNCOUNTED_BODY,
): Exchange {
  return {
    ...fields,
    bodyMemory,
    deliveredTokens: 0,
    answerText: '',
    finishReason: 'stop',
    lastTokenAtMs: null,
    maxGapMs: 0,
    sumGapsMs: 0,
    cancelDispatch: null,
    bufferedAnswer: null,
    endsWithConnection: false,
    isEnded: false,
  };
}

/** Returns whether the headers of the answer have been sent to the caller. */
export function isAnswerBegun(exchange: Exchange): boolean {
  return exchange.response.headersSent;
}

/** Sends the head of an answer whose body follows piece by piece. */
export function beginAnswer(
  exchange: Exchange,
  status: number,
  headers: OutgoingHttpHeaders,
): void {
  exchange.response.writeHead(status, headers);
  exchange.endsWithConnection =
    lacksChunks(exchange.request) && headers['content-length'] === undefined;
  if (exchange.endsWithConnection) {
    watchUnframedAnswer(exchange.response);
  }
}

/** Sends a complete answer and ends the exchange. */
export function sendCompleteAnswer(
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

/** Sends a refusal to a caller whose answer has not begun. */
export function sendRefusal(exchange: Exchange, refusal: Refusal): void {
  sendCompleteAnswer(
    exchange,
    getStatus(refusal.diagnostic),
    getRefusalHeaders(refusal),
    encodeRefusal(refusal),
  );
}

/**
 * Aborts an answer that has begun by closing the caller's connection, so that the caller detects the
 * truncation. A streamed completion gets the refusal as its last event. Sends the plain refusal if the
 * answer has not begun.
 */
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
  } else if (exchange.endsWithConnection) {
    resetAnswer(response);
  } else {
    response.destroy();
  }
}

function recordTokenTime(exchange: Exchange, nowMs: number): void {
  if (exchange.lastTokenAtMs !== null) {
    const gapMs = nowMs - exchange.lastTokenAtMs;
    exchange.maxGapMs = Math.max(exchange.maxGapMs, gapMs);
    exchange.sumGapsMs += gapMs;
  }
  exchange.lastTokenAtMs = nowMs;
}

/** Returns the mean time between two consecutive tokens so far. */
export function getMeanGapMs({ deliveredTokens, sumGapsMs }: Exchange): number {
  return sumGapsMs / Math.max(1, deliveredTokens - 1);
}

/** Returns the id of the answer for the caller, which is the same for all dispatches of the request. */
function getAnswerId(exchange: Exchange): string {
  return createDispatchId(exchange.info.requestId, 1);
}

/**
 * Forwards one chunk of a model's answer to the caller if it is streamed, else appends the chunk's
 * text.
 *
 * @returns false if the write buffer to the caller is full.
 */
export function deliverChunk(exchange: Exchange, chunk: CompletionChunk, nowMs: number): boolean {
  if (chunk.tokenIndex !== null) {
    exchange.deliveredTokens += 1;
    recordTokenTime(exchange, nowMs);
  }
  exchange.finishReason = chunk.finishReason ?? exchange.finishReason;
  if (exchange.completion?.isStreamed !== true) {
    exchange.answerText += chunk.text ?? '';
    return true;
  }
  if (!exchange.response.headersSent) {
    beginAnswer(exchange, HTTP_OK, SSE_HEADERS);
  }
  return exchange.response.write(encodeSse(encodeChunk(chunk, getAnswerId(exchange))));
}

/**
 * Ends a model's answer after its last chunk: ends the stream, or sends the collected text as one
 * answer.
 */
export function finishModelAnswer(exchange: Exchange): void {
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
  const answer = encodeCompletionResponse(completion, {
    id: getAnswerId(exchange),
    createdAtSeconds: Math.floor(exchange.createdAtMs / MS_PER_SECOND),
    text: exchange.answerText,
    finishReason: exchange.finishReason,
    completionTokens: exchange.deliveredTokens,
  });
  sendCompleteAnswer(exchange, HTTP_OK, { 'content-type': 'application/json' }, answer);
}

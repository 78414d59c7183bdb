/**
 * Holds a forwarded request and sends the response to its caller. Response bodies are streamed outside the event loop.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { PassedEnd, PassedRequest } from '../../../coordination/entry/passedRequest.js';
import { encodePassedEnd } from '../../../protocol/entry/passedRequests.js';
import { createStreamPlace, type StreamPlace } from '../../../protocol/entry/streamJudge.js';
import {
  getForwardRefusalHeaders,
  getForwardRefusalStatus,
} from '../../../protocol/entry/refusals.js';
import { encodeRefusal } from '../../../protocol/statusCodes.js';
import type { Refusal } from '../../../state/types.js';
import { type BodyMemory, UNCOUNTED_BODY } from '../../bodyMemory.js';
import { resetAnswer, watchUnframedAnswer } from '../../unframedAnswers.js';
import type { EntryWire } from '../wire.js';

/** The header of event streams with which a caller asks for the events after one that it has. */
const LAST_EVENT_ID_HEADER = 'last-event-id';

/** A complete response that is buffered until the event loop decides whether to deliver it. */
export interface BufferedAnswer {
  readonly attempt: number;
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A request that has been read completely and whose response has not been sent completely. */
export interface ForwardExchange {
  readonly requestId: string;
  readonly callerRequestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly bodyMemory: BodyMemory;
  /** True if another VM has passed the request to this one. */
  readonly isPassed: boolean;
  /** Addresses of the servers that have rejected the request. */
  readonly rejectedAddresses: Set<string>;
  /** Up to where the caller has the stream, over all attempts. */
  readonly place: StreamPlace;
  /** True once events that the caller has are in doubt, so that no other server can go on after them. */
  isPlaceDoubtful: boolean;
  lastEventAtMs: number | null;
  /** The longest time between two events that were sent to the caller. */
  maxGapMs: number;
  sumGapsMs: number;
  eventCount: number;
  bufferedAnswer: BufferedAnswer | null;
  /** Cancels the attempt in progress, which has this number. */
  cancel: {
    readonly attempt: number;
    readonly run: () => void;
    /** Fails the attempt instead if nothing of its request has been sent. */
    readonly recall: () => void;
  } | null;
  /** True if the response ends with its connection, so that only a reset shows that it is incomplete. */
  endsWithConnection: boolean;
  /** True once the response has been handed over to be sent, or the caller has left. */
  isEnded: boolean;
  /** True if this program has closed the connection, so that the caller detects that the response is incomplete. */
  isAborted: boolean;
  /** True once the whole response has been passed to the operating system. */
  isSent: boolean;
}

/** Creates the exchange of a request that has no response yet. `pass` is what another VM tells that has passed it to this one. */
export function createForwardExchange(
  fields: Pick<ForwardExchange, 'requestId' | 'callerRequestId' | 'request' | 'response' | 'body'>,
  pass: Pick<PassedRequest, 'isConsecutive'> | null = null,
  bodyMemory = UNCOUNTED_BODY,
): ForwardExchange {
  const startsAfterId = fields.request.headers[LAST_EVENT_ID_HEADER]?.toString() ?? null;
  return {
    ...fields,
    bodyMemory,
    isPassed: pass !== null,
    rejectedAddresses: new Set(),
    place: createStreamPlace(startsAfterId, pass?.isConsecutive),
    isPlaceDoubtful: false,
    lastEventAtMs: null,
    maxGapMs: 0,
    sumGapsMs: 0,
    eventCount: 0,
    bufferedAnswer: null,
    cancel: null,
    endsWithConnection: false,
    isEnded: false,
    isAborted: false,
    isSent: false,
  };
}

/** Returns whether any byte of the response has been sent to the caller. */
export function isAnswerBegun({ response }: ForwardExchange): boolean {
  return response.headersSent;
}

/**
 * Closes the connection of a response that has started, so that the caller detects that it is incomplete. A response that
 * is complete and still being written is left alone.
 */
function breakOffAnswer(exchange: ForwardExchange): void {
  const { endsWithConnection, isPassed, isPlaceDoubtful, response } = exchange;
  exchange.isEnded = true;
  if (response.writableEnded) {
    return;
  }
  exchange.isAborted = true;
  if (endsWithConnection) {
    resetAnswer(response);
  } else if (isPassed && isPlaceDoubtful) {
    // The event that shows the doubt may still be buffered.
    response.socket?.destroySoon();
  } else {
    response.destroy();
  }
}

/** Marks the end of a response that has not started only by closing its connection. */
export function endWithConnection(exchange: ForwardExchange): void {
  const { response } = exchange;
  exchange.endsWithConnection = true;
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
  watchUnframedAnswer(response);
}

/**
 * Sends a complete response. The event loop may decide on one before it learns that another has started; that one is broken
 * off.
 */
export function sendWholeAnswer(
  exchange: ForwardExchange,
  status: number,
  headers: readonly string[],
  body: Buffer | string,
): void {
  const { request, response } = exchange;
  if (response.headersSent) {
    breakOffAnswer(exchange);
    return;
  }
  exchange.isEnded = true;
  if (response.destroyed) {
    return;
  }
  const length = String(Buffer.byteLength(body));
  response.writeHead(status, [...headers, 'Content-Length', length]);
  response.end(request.method === 'HEAD' ? undefined : body);
}

/** Returns what another VM is told that has passed a request which is rejected. */
export function getPassedEnd({ diagnostic, retryAfterMs, run }: Refusal): PassedEnd {
  const { code, message } = diagnostic;
  return { run, code, message, retryAfterMs };
}

/** Rejects a request whose response has not started. */
export function sendForwardRefusal(
  exchange: ForwardExchange,
  refusal: Refusal,
  wire: EntryWire,
): void {
  const headers = [
    ...wire.encodeOwnAnswerHead(exchange.callerRequestId),
    ...getForwardRefusalHeaders(refusal),
    ...(exchange.isPassed ? encodePassedEnd(getPassedEnd(refusal)) : []),
  ];
  sendWholeAnswer(exchange, getForwardRefusalStatus(refusal), headers, encodeRefusal(refusal));
}

/**
 * Closes the connection of a response that has started, so that the caller detects that it is incomplete. Rejects the
 * request if its response has not started.
 */
export function abortForwardAnswer(
  exchange: ForwardExchange,
  refusal: Refusal,
  wire: EntryWire,
): void {
  if (isAnswerBegun(exchange)) {
    breakOffAnswer(exchange);
  } else {
    sendForwardRefusal(exchange, refusal, wire);
  }
}

/** Records the time of a stream event that is sent to the caller. */
export function recordStreamEvent(exchange: ForwardExchange, nowMs: number): void {
  if (exchange.lastEventAtMs !== null) {
    const gapMs = nowMs - exchange.lastEventAtMs;
    exchange.maxGapMs = Math.max(exchange.maxGapMs, gapMs);
    exchange.sumGapsMs += gapMs;
  }
  exchange.eventCount += 1;
  exchange.lastEventAtMs = nowMs;
}

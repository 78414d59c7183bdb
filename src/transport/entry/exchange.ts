/**
 * One forwarded request and its answer on the way out. Bytes stream past the loop.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { getForwardRefusalHeaders, getForwardStatus } from '../../protocol/entry/refusals.js';
import { encodeRefusal } from '../../protocol/statusCodes.js';
import type { Refusal } from '../../state/types.js';
import type { EntryWire } from './wire.js';

/** A whole answer that waits for the decision to deliver it. */
export interface HeldAnswer {
  readonly attempt: number;
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** False if only the end of the connection told the end of the body, as it must to the caller. */
  readonly isFramed: boolean;
}

/** A request that has been read, until its answer is out. */
export interface ForwardExchange {
  readonly requestId: string;
  readonly callerRequestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  /** Id of the last event that the caller has, over all dispatches. */
  lastEventId: string | null;
  lastEventAtMs: number | null;
  maxGapMs: number;
  sumGapsMs: number;
  eventCount: number;
  held: HeldAnswer | null;
  /** Ends the dispatch under way, by its attempt. */
  cancel: { readonly attempt: number; readonly run: () => void } | null;
  isEnded: boolean;
}

/** Creates the exchange of a request. */
export function createForwardExchange(
  fields: Pick<ForwardExchange, 'requestId' | 'callerRequestId' | 'request' | 'response' | 'body'>,
): ForwardExchange {
  return {
    ...fields,
    lastEventId: null,
    lastEventAtMs: null,
    maxGapMs: 0,
    sumGapsMs: 0,
    eventCount: 0,
    held: null,
    cancel: null,
    isEnded: false,
  };
}

/** Tells whether any byte of the answer has gone to the caller. */
export function isAnswerBegun({ response }: ForwardExchange): boolean {
  return response.headersSent;
}

/** Sends a body that ends with the connection: whether it is whole is not known. */
export function sendUnframedAnswer(
  exchange: ForwardExchange,
  status: number,
  headers: readonly string[],
  body: Buffer,
): void {
  const { response } = exchange;
  exchange.isEnded = true;
  if (response.destroyed || response.headersSent) {
    return;
  }
  response.shouldKeepAlive = false;
  response.useChunkedEncodingByDefault = false;
  response.writeHead(status, [...headers, 'Connection', 'close']);
  response.end(body);
}

/** Sends a whole answer. */
export function sendWholeAnswer(
  exchange: ForwardExchange,
  status: number,
  headers: readonly string[],
  body: Buffer | string,
): void {
  const { request, response } = exchange;
  exchange.isEnded = true;
  if (response.destroyed || response.headersSent) {
    return;
  }
  const length = String(Buffer.byteLength(body));
  response.writeHead(status, [...headers, 'Content-Length', length]);
  response.end(request.method === 'HEAD' ? undefined : body);
}

/** Refuses a request whose answer has not begun. */
export function sendForwardRefusal(
  exchange: ForwardExchange,
  refusal: Refusal,
  wire: EntryWire,
): void {
  const headers = [
    ...wire.encodeOwnAnswerHead(exchange.callerRequestId),
    ...getForwardRefusalHeaders(refusal),
  ];
  sendWholeAnswer(exchange, getForwardStatus(refusal), headers, encodeRefusal(refusal));
}

/** Ends an answer that has begun so that the caller sees that it is not whole. */
export function abortForwardAnswer(
  exchange: ForwardExchange,
  refusal: Refusal,
  wire: EntryWire,
): void {
  if (!isAnswerBegun(exchange)) {
    sendForwardRefusal(exchange, refusal, wire);
    return;
  }
  exchange.isEnded = true;
  exchange.response.destroy();
}

/** Notes the time of one event that goes to the caller. */
export function noteEvent(exchange: ForwardExchange, id: string | null, nowMs: number): void {
  if (exchange.lastEventAtMs !== null) {
    const gapMs = nowMs - exchange.lastEventAtMs;
    exchange.maxGapMs = Math.max(exchange.maxGapMs, gapMs);
    exchange.sumGapsMs += gapMs;
  }
  exchange.eventCount += 1;
  exchange.lastEventAtMs = nowMs;
  exchange.lastEventId = id ?? exchange.lastEventId;
}

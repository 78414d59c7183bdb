/**
 * Answers of backend servers: held whole for a decision, or passed on event by event.
 */
import type { IncomingMessage } from 'node:http';
import { EntryEventKind } from '../../coordination/entry/events.js';
import {
  createEventFrameReader,
  type EventFrame,
  isLaterEvent,
} from '../../protocol/entry/eventFrames.js';
import { Diagnostics } from '../../state/diagnostics.js';
import { DispatchSignal } from '../../state/runState.js';
import {
  type Attempt,
  completeAttempt,
  failAttempt,
  failForLostConnection,
  holdAttempt,
  noteSignal,
} from './attempt.js';
import { type ForwardExchange, isAnswerBegun, noteEvent } from './exchange.js';
import type { AnswerHead } from './wire.js';

const HTTP_OK = 200;
/** No content, and not modified. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const EVENT_STREAM_PATTERN = /^text\/event-stream\b/i;
/** Larger answers are passed on as they come, and a break in them ends the caller's connection. */
const MAX_HELD_BYTES = 1_048_576;

/** Ends an answer that is not the caller's; its connection must not be used again. */
function rejectAnswer(attempt: Attempt): void {
  failAttempt(attempt, Diagnostics.AnswerMismatched);
}

function postBegun({ command, context, load }: Attempt): void {
  const { attempt, requestId } = command;
  context.post({ kind: EntryEventKind.AnswerStarted, requestId, attempt, load });
}

/**
 * Returns what tells whether the end of the body was the end of the answer, and not of a broken connection.
 * The connection leaves the response before its end is told.
 */
function createWholenessCheck(response: IncomingMessage): () => boolean {
  const { socket } = response;
  return () => response.complete && socket.errored === null;
}

/** Stops reading from the server while the caller reads too slowly. */
function writeOn(attempt: Attempt, response: IncomingMessage, bytes: Buffer): void {
  const caller = attempt.exchange.response;
  if (!caller.write(bytes)) {
    response.pause();
    caller.once('drain', () => response.resume());
  }
}

/** Tells whether the answer itself tells where it ends. */
function isFramed(
  { request }: ForwardExchange,
  { headers, statusCode = 0 }: IncomingMessage,
): boolean {
  const hasNoBody = request.method === 'HEAD' || BODILESS_STATUSES.has(statusCode);
  const hasFraming =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return hasNoBody || hasFraming;
}

function beginAnswer(attempt: Attempt, response: IncomingMessage): void {
  const { context, exchange } = attempt;
  if (!isAnswerBegun(exchange) && !exchange.response.destroyed) {
    const headers = context.wire.encodeAnswerHead(response.rawHeaders);
    if (!isFramed(exchange, response)) {
      exchange.response.shouldKeepAlive = false;
      exchange.response.useChunkedEncodingByDefault = false;
    }
    exchange.response.writeHead(response.statusCode ?? HTTP_OK, [...headers]);
    postBegun(attempt);
  }
}

function passOnFrame(attempt: Attempt, response: IncomingMessage, frame: EventFrame): void {
  const { context, exchange } = attempt;
  const { lastEventId } = exchange;
  const isKnown = frame.id !== null && lastEventId !== null && !isLaterEvent(frame.id, lastEventId);
  if (isKnown) {
    return;
  }
  beginAnswer(attempt, response);
  noteEvent(exchange, frame.id, context.getNowMs());
  writeOn(attempt, response, frame.bytes);
}

function passOnEvents(attempt: Attempt, response: IncomingMessage): void {
  const reader = createEventFrameReader();
  const isWhole = createWholenessCheck(response);
  response.on('data', (chunk: Buffer) => {
    if (attempt.isSettled) {
      return;
    }
    noteSignal(attempt, DispatchSignal.BodyReceived);
    reader.take(chunk).forEach((frame) => passOnFrame(attempt, response, frame));
  });
  response.on('end', () => {
    if (attempt.isSettled) {
      return;
    }
    if (!isWhole() || reader.getRestLength() > 0) {
      failForLostConnection(attempt);
      return;
    }
    beginAnswer(attempt, response);
    attempt.exchange.isEnded = true;
    attempt.exchange.response.end();
    completeAttempt(attempt);
  });
}

function holdAnswer(attempt: Attempt, response: IncomingMessage): void {
  const { context, exchange } = attempt;
  const held: Buffer[] = [];
  const isWhole = createWholenessCheck(response);
  let heldBytes = 0;
  let isPassedOn = false;
  response.on('data', (chunk: Buffer) => {
    if (attempt.isSettled) {
      return;
    }
    noteSignal(attempt, DispatchSignal.BodyReceived);
    heldBytes += chunk.length;
    if (isPassedOn) {
      writeOn(attempt, response, chunk);
      return;
    }
    held.push(chunk);
    if (heldBytes > MAX_HELD_BYTES) {
      isPassedOn = true;
      beginAnswer(attempt, response);
      held.splice(0).forEach((part) => writeOn(attempt, response, part));
    }
  });
  response.on('end', () => {
    if (attempt.isSettled) {
      return;
    }
    if (!isWhole()) {
      failForLostConnection(attempt);
    } else if (isPassedOn) {
      exchange.isEnded = true;
      exchange.response.end();
      completeAttempt(attempt);
    } else {
      const headers = context.wire.encodeAnswerHead(response.rawHeaders);
      const status = response.statusCode ?? 0;
      holdAttempt(attempt, status, headers, Buffer.concat(held), isFramed(exchange, response));
    }
  });
}

/** Takes the answer of a backend server from its head on. */
export function takeAnswer(attempt: Attempt, response: IncomingMessage, head: AnswerHead): void {
  const { command, exchange } = attempt;
  const isOwn = head.callerRequestId === exchange.callerRequestId;
  const isUnnamedRefusal = head.callerRequestId === null && head.isRefused;
  const isEncoded = response.headers['content-encoding'] !== undefined;
  if (!(isOwn || isUnnamedRefusal) || isEncoded) {
    rejectAnswer(attempt);
    return;
  }
  if (head.isRefused) {
    response.resume();
    failAttempt(attempt, Diagnostics.BackendRefused, head, response.statusCode ?? 0);
    return;
  }
  const isOk = response.statusCode === HTTP_OK;
  const isEvents = EVENT_STREAM_PATTERN.test(response.headers['content-type'] ?? '');
  if (command.isStream && isOk && isEvents) {
    passOnEvents(attempt, response);
  } else if (isAnswerBegun(exchange)) {
    // The caller has a part of a stream, which another kind of answer cannot continue.
    rejectAnswer(attempt);
  } else {
    holdAnswer(attempt, response);
  }
}

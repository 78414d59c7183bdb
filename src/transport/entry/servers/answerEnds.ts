/**
 * Decides whether an answer that has ended is complete. One without a length ends with its connection: it is complete only if that ended in
 * order and its server has outlived it.
 */
import type { IncomingMessage } from 'node:http';
import { Effect } from 'effect';
import { EntryCommandKind } from '../../../coordination/entry/commands.js';
import { EntryEventKind } from '../../../coordination/entry/events.js';
import { SIGNS_OF_LIFE } from '../../../state/entry/serverLife.js';
import type { Attempt } from './attemptState.js';
import { failForLostConnection } from './attempt.js';
import type { ForwardExchange } from '../callers/exchange.js';
import { openWitness } from './serverWitness.js';

/** 204 No Content and 304 Not Modified. */
const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Returns whether the response marks its own end, rather than ending with its connection. */
export function isFramed(
  { request }: ForwardExchange,
  { headers, statusCode = 0 }: IncomingMessage,
): boolean {
  const hasNoBody = request.method === 'HEAD' || NO_BODY_STATUSES.has(statusCode);
  const hasFraming =
    headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
  return hasNoBody || hasFraming;
}

/** Opens a witness of an answer that will end with its connection. Called once its head has been read. */
export function watchServer(attempt: Attempt, response: IncomingMessage): void {
  if (isFramed(attempt.exchange, response)) {
    return;
  }
  if (attempt.command.kind !== EntryCommandKind.Dispatch) {
    return;
  }
  const witness = openWitness(attempt.command, attempt.context.wire);
  attempt.witness = witness;
  response.once('close', () => {
    if (!attempt.isBodyRead) {
      witness.release();
    }
  });
}

/**
 * Creates a check, to be called at the end of the body, of whether the response is complete or its connection failed.
 * The socket is read in advance because Node.js detaches it from the response before the `end` event.
 */
export function createCompletenessCheck(
  exchange: ForwardExchange,
  response: IncomingMessage,
): () => boolean {
  const { socket } = response;
  let isReset = false;
  if (!isFramed(exchange, response)) {
    // For a reset that finds unread data, libuv reports an end in order. Only a connection that was reset has no peer then.
    socket.prependOnceListener('end', () => {
      isReset = socket.remoteAddress === undefined;
    });
  }
  return () => response.complete && socket.errored === null && !isReset;
}

/** Calls `complete` for an answer whose body has ended in order, unless it ended with its connection and its server may not have outlived it. */
export function completeUnlessServerEnded(
  attempt: Attempt,
  response: IncomingMessage,
  complete: () => void,
): void {
  const { command, context, exchange, witness } = attempt;
  if (isFramed(exchange, response) || witness === null) {
    complete();
    return;
  }
  attempt.isBodyRead = true;
  const decision = Effect.map(witness.ask(), (evidence) => {
    if (attempt.isSettled) {
      return;
    }
    const { attempt: number, requestId } = command;
    const kind = EntryEventKind.UnframedAnswerEnded;
    context.post({ kind, requestId, attempt: number, evidence });
    if (SIGNS_OF_LIFE.has(evidence)) {
      complete();
    } else {
      failForLostConnection(attempt);
    }
  });
  Effect.runFork(decision);
}

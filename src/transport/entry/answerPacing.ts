/**
 * Decides when the responses of backend servers are read: not while their callers are slow, not all in one turn of the loop, and not
 * faster than their events can be handled. Counts what is held until the callers have read it.
 */
import type { IncomingMessage } from 'node:http';
import type { HeldMemory, MemoryPurpose } from '../vmMemory.js';
import type { Attempt } from './attempt.js';
import { MAX_READ_BYTES } from './turnPacer.js';

/** Events that a stream may bring in one chunk without being paced. */
const MAX_UNPACED_EVENTS = 64;

/** Why a response is not read for now. */
const PauseReason = {
  SlowCaller: 'slowCaller',
  Pace: 'pace',
  Turn: 'turn',
} as const;
type PauseReason = (typeof PauseReason)[keyof typeof PauseReason];

/** Stops reading a response, and returns the function that ends this. It is read again once no reason is left. */
function pauseResponse(
  attempt: Attempt,
  response: IncomingMessage,
  reason: PauseReason,
): () => void {
  const { pauseReasons } = attempt;
  pauseReasons.add(reason);
  response.pause();
  return () => {
    pauseReasons.delete(reason);
    if (pauseReasons.size === 0) {
      response.resume();
    }
  };
}

/** Lets other connections have their turn after much of a response was read. */
export function leaveTurn(attempt: Attempt, response: IncomingMessage, chunk: Buffer): void {
  if (chunk.length >= MAX_READ_BYTES && !attempt.pauseReasons.has(PauseReason.Turn)) {
    attempt.context.turnPacer.schedule(pauseResponse(attempt, response, PauseReason.Turn));
  }
}

/** Returns memory that is given back when the answer to the caller has ended, so that what a slow caller has not read counts. */
export function holdForCaller({ context, exchange }: Attempt, purpose: MemoryPurpose): HeldMemory {
  const held = context.vmMemory.hold(purpose);
  if (exchange.response.closed) {
    held.release();
  } else {
    exchange.response.once('close', held.release);
  }
  return held;
}

/** Writes bytes to the caller, and pauses reading from the server while the caller reads too slowly. */
export function writeWithBackpressure(
  attempt: Attempt,
  response: IncomingMessage,
  bytes: Buffer,
  onDrained: () => void = () => {},
): void {
  const caller = attempt.exchange.response;
  if (caller.write(bytes)) {
    onDrained();
    return;
  }
  const resume = pauseResponse(attempt, response, PauseReason.SlowCaller);
  caller.once('drain', () => {
    onDrained();
    attempt.context.turnPacer.schedule(resume);
  });
}

/** Pauses a stream that has brought many events at once, if all such streams together have brought more than they may. */
export function keepPace(attempt: Attempt, response: IncomingMessage, eventCount: number): void {
  const delayMs = eventCount > MAX_UNPACED_EVENTS ? attempt.context.eventPacer.take(eventCount) : 0;
  if (delayMs > 0) {
    setTimeout(pauseResponse(attempt, response, PauseReason.Pace), delayMs);
  }
}

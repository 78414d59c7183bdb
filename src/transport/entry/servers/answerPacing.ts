/**
 * Decides when the responses of backend servers are read: not while their callers are slow, not all in one turn of the loop, and not
 * faster than their events can be handled. Counts what is held until the callers have read it.
 */
import type { BodyPiece } from '../../bodyReader.js';
import type { HeldMemory, MemoryPurpose } from '../../vmMemory.js';
import type { Attempt } from './attemptState.js';
import { MAX_READ_BYTES } from '../../turnPacer.js';

/** Events or chunks that an answer may bring at once without being paced. */
const MAX_UNPACED_PARTS = 64;

/** Why a response is not read for now. */
const PauseReason = {
  SlowCaller: 'slowCaller',
  Pace: 'pace',
  Turn: 'turn',
} as const;
type PauseReason = (typeof PauseReason)[keyof typeof PauseReason];

/** Stops reading an answer, and returns the function that ends this. It is read again once no reason is left. */
function pauseAnswer({ bodyReader, pauseReasons }: Attempt, reason: PauseReason): () => void {
  pauseReasons.add(reason);
  bodyReader?.pause();
  return () => {
    pauseReasons.delete(reason);
    if (pauseReasons.size === 0) {
      bodyReader?.resume();
    }
  };
}

/** Lets other connections have their turn after much of an answer was read. */
export function leaveTurn(attempt: Attempt, { receivedBytes }: BodyPiece): void {
  if (receivedBytes >= MAX_READ_BYTES && !attempt.pauseReasons.has(PauseReason.Turn)) {
    attempt.context.turnPacer.schedule(pauseAnswer(attempt, PauseReason.Turn));
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
  bytes: Buffer,
  onDrained: () => void = () => {},
): void {
  const caller = attempt.exchange.response;
  if (caller.write(bytes)) {
    onDrained();
    return;
  }
  const resume = pauseAnswer(attempt, PauseReason.SlowCaller);
  caller.once('drain', () => {
    onDrained();
    attempt.context.turnPacer.schedule(resume);
  });
}

/** Pauses an answer that has brought many events or chunks at once, if all such answers together have brought more than they may. */
export function keepPace(attempt: Attempt, partCount: number): void {
  const delayMs = partCount > MAX_UNPACED_PARTS ? attempt.context.eventPacer.take(partCount) : 0;
  if (delayMs > 0) {
    setTimeout(pauseAnswer(attempt, PauseReason.Pace), delayMs);
  }
}

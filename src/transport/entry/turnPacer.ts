/**
 * Spreads the reading of large answers and bodies over turns of the loop: of each connection, Node.js would read up to 2 MB in one
 * turn. It accepts one connection in each, so the calls of others wait for as many turns as there are connections before them: turns
 * are kept short while connections arrive.
 */
import type { IncomingMessage } from 'node:http';

/** Answers and bodies that are read on in one turn; each brings up to 128 KB. */
const MAX_READS_PER_TURN = 64;
/** The same after a turn in which a connection has arrived, so that more may wait. */
const MAX_READS_BESIDE_CONNECTIONS = 2;

/** Of a message that brings this much at once, more is read in a later turn. */
export const MAX_READ_BYTES = 32_768;

/** Runs work in later turns of the loop. */
export interface TurnPacer {
  readonly schedule: (work: () => void) => void;
  /** Records that a caller's connection has arrived. */
  readonly recordConnection: () => void;
}

/** Creates a pacer without work. */
export function createTurnPacer(): TurnPacer {
  let queue: (() => void)[] = [];
  let hasConnection = false;
  const runTurn = (): void => {
    const count = hasConnection ? MAX_READS_BESIDE_CONNECTIONS : MAX_READS_PER_TURN;
    hasConnection = false;
    const works = queue.slice(0, count);
    queue = queue.slice(count);
    if (queue.length > 0) {
      setImmediate(runTurn);
    }
    works.forEach((work) => work());
  };
  return {
    schedule: (work) => {
      queue.push(work);
      if (queue.length === 1) {
        setImmediate(runTurn);
      }
    },
    recordConnection: () => {
      hasConnection = true;
    },
  };
}

/** Reads a body on in a later turn after much of it was read. */
export function leaveTurnOfBody(pacer: TurnPacer, request: IncomingMessage, chunk: Buffer): void {
  if (chunk.length >= MAX_READ_BYTES && !request.isPaused()) {
    request.pause();
    pacer.schedule(() => request.resume());
  }
}

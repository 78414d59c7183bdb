/**
 * Spreads the reading of large answers and bodies over turns of the loop: of each connection, Node.js would read up to 2 MB in one
 * turn. It accepts one connection in each, so the calls of others wait for as many turns as there are connections before them: turns
 * are kept short while connections arrive. What has been read is garbage soon, which a collection takes some turns to free, so that
 * little is read while there is much of it.
 */
import type { IncomingMessage } from 'node:http';
import { getHeapStatistics } from 'node:v8';
import { UNCOLLECTED_BYTES, type VmMemory } from './vmMemory.js';

/** Answers and bodies that are read on in one turn; each brings up to 128 KB. */
const MAX_READS_PER_TURN = 64;
/** The same after a turn in which a connection has arrived, so that more may wait, and while much garbage is not collected. */
const FEW_READS_PER_TURN = 2;
/** Pause between turns while much garbage is not collected. */
const COLLECTION_PAUSE_MS = 5;

/** Of a message that brings this much at once, more is read in a later turn. */
export const MAX_READ_BYTES = 32_768;

/** Runs work in later turns of the loop. */
export interface TurnPacer {
  readonly schedule: (work: () => void) => void;
  /** Records that a caller's connection has arrived. */
  readonly recordConnection: () => void;
}

/** Returns whether the buffers that a VM no longer holds take as much memory as they may before the runtime collects them. */
export function hasMuchGarbage(vmMemory: VmMemory, maxBytes = UNCOLLECTED_BYTES): boolean {
  const { external_memory: bufferBytes } = getHeapStatistics();
  return bufferBytes - vmMemory.getTotalUsedBytes() > maxBytes;
}

/**
 * Creates a pacer without work.
 *
 * @param isCollecting Returns whether there is so much garbage that little may be read until it is collected; never, if it is left out.
 */
export function createTurnPacer(isCollecting = (): boolean => false): TurnPacer {
  let queue: (() => void)[] = [];
  let hasConnection = false;
  const runTurn = (): void => {
    const mustWait = isCollecting();
    const count = hasConnection || mustWait ? FEW_READS_PER_TURN : MAX_READS_PER_TURN;
    hasConnection = false;
    const works = queue.slice(0, count);
    queue = queue.slice(count);
    if (queue.length > 0 && mustWait) {
      setTimeout(runTurn, COLLECTION_PAUSE_MS);
    } else if (queue.length > 0) {
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

/** Reads a body on in a later turn after much of it was read, or before that. */
export function leaveTurnOfBody(
  pacer: TurnPacer,
  request: IncomingMessage,
  sizeBytes: number,
): void {
  if (sizeBytes >= MAX_READ_BYTES && !request.isPaused()) {
    request.pause();
    pacer.schedule(() => request.resume());
  }
}

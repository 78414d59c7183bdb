/**
 * Spreads the reading of large answers over turns of the loop. Node.js accepts one connection in each turn, so the calls of others
 * wait for as many turns as there are connections before them: turns are kept short while connections arrive.
 */

/** Answers that are read on in one turn; each brings up to 128 KB. */
const MAX_READS_PER_TURN = 64;
/** The same after a turn in which a connection has arrived, so that more may wait. */
const MAX_READS_BESIDE_CONNECTIONS = 2;

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

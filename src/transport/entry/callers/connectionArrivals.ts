/**
 * Tells whether many connections are arriving at a server. Node.js accepts one in each turn of the loop, so those that wait are served
 * only after as many turns: work that can wait is done later then.
 */
import type { Server } from 'node:net';

/** Turns in a row in which a connection has arrived, from which on more are expected. */
const MIN_ARRIVING_TURNS = 4;

/** Starts to watch a server. Returns a function that tells whether connections have arrived in several turns in a row. */
export function watchArrivals(server: Server): () => boolean {
  let arrivingTurns = 0;
  let hasArrived = false;
  let isWatching = false;
  const endTurn = (): void => {
    arrivingTurns = hasArrived ? arrivingTurns + 1 : 0;
    isWatching = hasArrived;
    hasArrived = false;
    if (isWatching) {
      setImmediate(endTurn);
    }
  };
  server.on('connection', () => {
    hasArrived = true;
    if (!isWatching) {
      isWatching = true;
      setImmediate(endTurn);
    }
  });
  return () => arrivingTurns >= MIN_ARRIVING_TURNS;
}

/**
 * Limits what a connection may bring without any part of an answer. The HTTP parser bounds heads, trailers and the extensions of chunks, but
 * skips blank lines before a head and zeros of a chunk's size without end.
 */
import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Most bytes without a head, an informational response or a part of a body. */
export const MAX_FRUITLESS_BYTES = 131_072;

/** Counts such bytes. Whoever handles a part of an answer sets the count to 0. */
interface FruitlessCount {
  fruitlessBytes: number;
}

/** Calls back once a request's connection has brought more. */
export function watchFruitlessBytes(
  request: ClientRequest,
  count: FruitlessCount,
  onExceeded: () => void,
): void {
  request.once('socket', (socket: Socket) => {
    const addData = (data: Buffer): void => {
      count.fruitlessBytes += data.length;
      if (count.fruitlessBytes > MAX_FRUITLESS_BYTES) {
        onExceeded();
      }
    };
    socket.on('data', addData);
    request.once('close', () => socket.off('data', addData));
  });
}

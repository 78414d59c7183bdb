/**
 * Makes room for new callers when the connections of a server are used up: closes those on which nothing was ever sent, oldest first,
 * then those that have been idle for longest since their answers, then rejected ones. None with a request or a part of one is
 * closed.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { MIN_UNFINISHED_MS } from '../../vmMemory.js';

/** Records that a request has come. */
export type RequestRecorder = (request: IncomingMessage, response: ServerResponse) => void;

/**
 * Starts to watch the connections of a server.
 *
 * @param isIdle Returns whether a connection has had a request, all its requests are answered, and nothing has been read since.
 * @param onClose Called with a connection before it is closed.
 */
export function closeIdleForNew(
  server: Server,
  maxConnections: number,
  isIdle: (socket: Socket) => boolean,
  onClose: (socket: Socket) => void,
): RequestRecorder {
  const openSockets = new Set<Socket>();
  /** Connections without a request, in the order in which they were accepted. */
  const unusedSockets = new Set<Socket>();
  /** Connections whose requests are answered, in the order of their last answers. */
  const idleSockets = new Set<Socket>();
  /** The latest request of each connection, in the order in which they came. */
  const requests = new Map<
    Socket,
    { readonly request: IncomingMessage; readonly sinceMs: number }
  >();

  /** Returns the connection whose request has been incomplete for longest, and long enough. */
  const findUnfinished = (): Socket | null => {
    const maxSinceMs = performance.now() - MIN_UNFINISHED_MS;
    const found = [...requests].find(
      ([, { request, sinceMs }]) => !request.complete && sinceMs <= maxSinceMs,
    );
    return found?.[0] ?? null;
  };

  const findClosable = (): Socket | null => {
    const isUntouched = ({ bytesRead }: Socket): boolean => bytesRead === 0;
    for (const [sockets, isClosable] of [
      [unusedSockets, isUntouched],
      [idleSockets, isIdle],
    ] as const) {
      for (const socket of sockets) {
        sockets.delete(socket);
        if (isClosable(socket)) {
          return socket;
        }
      }
    }
    // One that was rejected waits for its caller to read that.
    const rejected = [...openSockets].find(({ writableFinished }) => writableFinished);
    return rejected ?? findUnfinished();
  };

  server.on('connection', (socket: Socket) => {
    if (openSockets.size >= maxConnections) {
      const closable = findClosable() ?? socket;
      onClose(closable);
      closable.destroy();
    }
    openSockets.add(socket);
    unusedSockets.add(socket);
    socket.once('close', () => {
      [openSockets, unusedSockets, idleSockets, requests].forEach((sockets) =>
        sockets.delete(socket),
      );
    });
  });

  return (request, response) => {
    const { socket } = request;
    requests.delete(socket);
    requests.set(socket, { request, sinceMs: performance.now() });
    unusedSockets.delete(socket);
    idleSockets.delete(socket);
    response.once('close', () => {
      if (openSockets.has(socket)) {
        idleSockets.delete(socket);
        idleSockets.add(socket);
      }
    });
  };
}

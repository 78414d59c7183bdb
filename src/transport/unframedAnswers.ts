/**
 * Answers without framing, which end with their connections: only a reset shows a caller that one is incomplete. The kernel ends the
 * connections of a process in order when the process exits, so those of incomplete answers are reset before that.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

const incompleteAnswers = new Set<ServerResponse>();

/** Returns whether a caller's version of HTTP has no chunks, so that an answer of unknown length ends with its connection. */
export function lacksChunks({ httpVersionMajor, httpVersionMinor }: IncomingMessage): boolean {
  return httpVersionMajor === 1 && httpVersionMinor === 0;
}

/**
 * Resets a connection at once, and drops what is unsent. A connection whose end in order has been passed to the operating system is
 * closed instead, because it cannot be reset any more.
 */
export function resetConnection(socket: Socket): void {
  if (socket.writableEnded) {
    socket.destroy();
    return;
  }
  // In some versions of Node.js, a reset waits for unsent data and ends the connection in order first.
  Object.assign(socket, { destroySoon: () => socket.destroy() });
  socket.resetAndDestroy();
}

/** Breaks off an answer without framing. Nothing has been sent of one that waits for an earlier answer on its connection. */
export function resetAnswer(response: ServerResponse): void {
  const { socket } = response;
  if (socket === null) {
    response.destroy();
  } else {
    resetConnection(socket);
  }
}

/** Resets the connection of an answer without framing if the process exits before the whole answer has been written. */
export function watchUnframedAnswer(response: ServerResponse): void {
  const forget = (): void => {
    incompleteAnswers.delete(response);
  };
  incompleteAnswers.add(response);
  response.once('finish', forget);
  response.once('close', forget);
}

process.on('exit', () => incompleteAnswers.forEach(resetAnswer));

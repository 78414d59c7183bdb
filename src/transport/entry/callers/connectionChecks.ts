/**
 * Closes the connections of callers whose timers have expired, or on which bytes arrived that are no request. After a delay
 * of the loop, timers run before connections are read, so a timer alone does not show that nothing has arrived.
 */
import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import { CloseCause } from '../../../coordination/entry/closeCause.js';
import { closeAfterRejection } from '../../closeAfterRejection.js';
import type { CallerConnections } from './callerConnections.js';
import type { CallerReader } from './callerReader.js';
import { runAfterUnreadData } from '../monitoring/loopDelay.js';

const HTTP_BAD_REQUEST = 400;
/** Code of the error of a request whose head took too long. */
const HEADER_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
/** HTTP status by the code of the error; 400 for all others. */
const STATUSES_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  [HEADER_TIMEOUT_CODE]: 408,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  HPE_HEADER_OVERFLOW: 431,
};
const EXTRA_HEADERS_BY_STATUS: Readonly<Record<number, string>> = { 503: 'Retry-After: 0.3\r\n' };

/** Closes a connection whose idle timer has expired, unless data lies unread on it. */
export function closeIfIdle(connections: CallerConnections, socket: Socket): void {
  const { bytesRead } = socket;
  runAfterUnreadData(true, () => {
    if (socket.bytesRead === bytesRead) {
      connections.recordCause(socket, CloseCause.IdleTimer);
      socket.destroy();
    }
  });
}

/** Answers what came on a connection after the requests that were read whole have been answered, and closes it. */
export function rejectConnection(reader: CallerReader, socket: Socket, status: number): void {
  reader.stop(socket);
  reader.onAnswered(socket, () => {
    if (socket.writable) {
      const headers = EXTRA_HEADERS_BY_STATUS[status] ?? '';
      const line = `HTTP/1.1 ${status} ${STATUS_CODES[status]}`;
      socket.end(`${line}\r\n${headers}Content-Length: 0\r\nConnection: close\r\n\r\n`);
      closeAfterRejection(socket);
    }
  });
}

/**
 * Handles an error of a connection: a head that took too long, unless its rest lies unread; bytes that are no request. A
 * connection that its caller has ended is closed at once, as is one on which other bytes follow a request.
 */
export function handleConnectionError(
  connections: CallerConnections,
  reader: CallerReader,
  socket: Socket,
  error: NodeJS.ErrnoException,
): void {
  const requestCount = connections.getRequestCount(socket);
  const isLate = error.code === HEADER_TIMEOUT_CODE;
  runAfterUnreadData(isLate, () => {
    if (isLate && connections.getRequestCount(socket) !== requestCount) {
      return;
    }
    const status = STATUSES_BY_ERROR_CODE[error.code ?? ''] ?? HTTP_BAD_REQUEST;
    const isCut = status === HTTP_BAD_REQUEST && connections.hasOpenRequest(socket);
    if (socket.writable && !socket.readableEnded && !isCut) {
      rejectConnection(reader, socket, status);
    } else {
      socket.destroy(error);
    }
  });
}

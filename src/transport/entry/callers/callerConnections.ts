/**
 * Records the requests on the connections of callers and what closes these, and counts the requests whose connections were
 * closed before their answers were complete.
 */
import type { Socket } from 'node:net';
import { CloseCause } from '../../../coordination/entry/closeCause.js';

const METRIC_NAME = 'gentiandeck_requests_cut_total';

/** Causes by the code of the error with which a connection was closed. */
const CAUSES_BY_ERROR_CODE: Readonly<Record<string, CloseCause>> = {
  ECONNRESET: CloseCause.Caller,
  EPIPE: CloseCause.Caller,
  ERR_HTTP_REQUEST_TIMEOUT: CloseCause.HeaderCheck,
};

/** The causes of the ends of callers' connections, and counts of the requests that were cut off by them. */
export interface CallerConnections {
  /** Records what closes a connection. Only the first cause of a connection counts. */
  readonly recordCause: (socket: Socket, cause: CloseCause) => void;
  /** Returns what has closed a connection: the recorded cause, else that of its error. */
  readonly getCause: (socket: Socket) => CloseCause;
  /** Records that the head of a request was read. */
  readonly addRequest: (socket: Socket) => void;
  /** Returns the number of requests whose heads were read. */
  readonly getRequestCount: (socket: Socket) => number;
  /** Records that the answer to a request has been sent, or cannot be sent any more. */
  readonly removeRequest: (socket: Socket) => void;
  /** Returns whether a connection has had a request, all its requests are answered, and nothing has been read since. */
  readonly isIdle: (socket: Socket) => boolean;
  /** Records that a request was read whole. */
  readonly openRequest: (socket: Socket) => void;
  /** Records that the answer to such a request has been sent. */
  readonly closeRequest: (socket: Socket) => void;
  /** Returns whether a request that was read whole has no complete answer yet. */
  readonly hasOpenRequest: (socket: Socket) => boolean;
  /** Counts a request that was read whole and whose answer is not complete. */
  readonly addCut: (cause: CloseCause) => void;
  /** Formats the counts in the Prometheus text format. */
  readonly formatPrometheus: () => string;
}

/** Creates a record without any connection. */
export function createCallerConnections(): CallerConnections {
  const causes = new WeakMap<Socket, CloseCause>();
  const requestCounts = new WeakMap<Socket, number>();
  const answeredCounts = new WeakMap<Socket, number>();
  const readBytes = new WeakMap<Socket, number>();
  const openCounts = new WeakMap<Socket, number>();
  const counts = new Map<CloseCause, number>();
  return {
    recordCause: (socket, cause) => {
      if (!causes.has(socket)) {
        causes.set(socket, cause);
      }
    },
    getCause: (socket) => {
      const { code = '' }: NodeJS.ErrnoException = socket.errored ?? new Error('no error');
      return causes.get(socket) ?? CAUSES_BY_ERROR_CODE[code] ?? CloseCause.Error;
    },
    addRequest: (socket) => {
      requestCounts.set(socket, (requestCounts.get(socket) ?? 0) + 1);
    },
    removeRequest: (socket) => {
      answeredCounts.set(socket, (answeredCounts.get(socket) ?? 0) + 1);
      readBytes.set(socket, socket.bytesRead);
    },
    isIdle: (socket) =>
      answeredCounts.get(socket) === requestCounts.get(socket) &&
      readBytes.get(socket) === socket.bytesRead,
    getRequestCount: (socket) => requestCounts.get(socket) ?? 0,
    openRequest: (socket) => {
      openCounts.set(socket, (openCounts.get(socket) ?? 0) + 1);
    },
    closeRequest: (socket) => {
      openCounts.set(socket, (openCounts.get(socket) ?? 0) - 1);
    },
    hasOpenRequest: (socket) => (openCounts.get(socket) ?? 0) > 0,
    addCut: (cause) => {
      counts.set(cause, (counts.get(cause) ?? 0) + 1);
    },
    formatPrometheus: () => {
      const lines = Object.values(CloseCause).map(
        (cause) => `${METRIC_NAME}{cause="${cause}"} ${counts.get(cause) ?? 0}\n`,
      );
      return `# TYPE ${METRIC_NAME} counter\n${lines.join('')}`;
    },
  };
}

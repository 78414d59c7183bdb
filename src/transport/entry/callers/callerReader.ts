/**
 * Passes what callers send to the HTTP parser of the server, in pieces that end with a head. A connection on which several
 * requests have no answer yet is not parsed further, so that a caller that sends many requests at once waits behind itself and
 * not before the others. What such a caller sends is read all the same, since the end of its connection comes after it: a part is
 * kept, the rest is dropped and rejected. A head that is too long is rejected before all of it is parsed.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { VmMemory } from '../../vmMemory.js';
import {
  closeWaitingResponses,
  countLines,
  type Connection,
  findPiece,
  getHeldBytes,
  hasUnparsedData,
  isBlocked,
  isInBody,
  isInChunks,
  MAX_TAIL_BYTES,
  type Piece,
} from './callerPieces.js';
import { watchArrivals } from './connectionArrivals.js';
import { createInputMemory } from './inputMemory.js';

/** Bytes of a body in chunks that are parsed in one turn of the loop: each chunk costs processor time, however short. */
const MAX_CHUNKED_BYTES_PER_TURN = 32_768;
/** Requests of one connection that are parsed and not answered. */
const MAX_UNANSWERED_REQUESTS = 4;
/** Requests of all connections that are parsed while an earlier one of their connection is not answered. */
const MAX_PIPELINED_REQUESTS = 64;
/** While many connections arrive, kept data is parsed in one of this many turns of the loop. */
const PARSING_TURNS = 8;
/** Bytes of one connection that are kept without being parsed, whatever the other connections hold. */
const MAX_UNPARSED_BYTES = 65_536;
/** The same while the memory for such data is hardly in use. */
const MAX_SPARE_UNPARSED_BYTES = 1_048_576;

/** Dependencies of a reader. */
export interface CallerReaderContext {
  /** Bounds the unfinished heads and the unparsed data of all connections together. */
  readonly vmMemory: VmMemory;
  /** Returns the longest head, in bytes from its request line to its empty line. */
  readonly getMaxHeadBytes: () => number;
  /** Called once with a connection whose head is longer, after its reading has stopped. */
  readonly onOverlongHead: (socket: Socket) => void;
  /** Called once with a connection whose data there is no memory for, after its reading has stopped. */
  readonly onExhausted: (socket: Socket) => void;
}

/** Reads the connections of callers. */
export interface CallerReader {
  /** Records that the head of a request was parsed. */
  readonly addRequest: (request: IncomingMessage, response: ServerResponse) => void;
  /** Returns whether data has been read that belongs to a request whose head is not parsed yet. */
  readonly hasUnparsedData: (socket: Socket) => boolean;
  /** Returns whether nothing has been read on the connection of a request after it. */
  readonly isLast: (request: IncomingMessage) => boolean;
  /** Drops all further data of a connection. */
  readonly stop: (socket: Socket) => void;
  /** Calls back once all requests that were parsed whole are answered, on a connection whose reading has stopped. */
  readonly onAnswered: (socket: Socket, callback: () => void) => void;
}

/** Calls back when the parser has data of the body of a request. A listener for data would start to read the body. */
function watchBodyData(request: IncomingMessage, onData: () => void): void {
  const push = request.push.bind(request);
  Object.assign(request, {
    push: (data: Buffer | null) => {
      onData();
      return push(data);
    },
  });
}

/** Starts to read the connections of a server. */
export function createCallerReader(context: CallerReaderContext, server: Server): CallerReader {
  const { getMaxHeadBytes, onExhausted, onOverlongHead, vmMemory } = context;
  const connections = new WeakMap<Socket, Connection>();
  /** Connections whose kept data may be parsed, in the order in which their requests were answered. */
  const waiting = new Set<Connection>();

  const isArriving = watchArrivals(server);

  let pipelinedCount = 0;
  let isScheduled = false;
  let turnsWaited = 0;

  const isBusy = (connection: Connection): boolean => {
    const { unansweredCount } = connection;
    const mayPipeline = pipelinedCount < MAX_PIPELINED_REQUESTS;
    return unansweredCount >= (mayPipeline ? MAX_UNANSWERED_REQUESTS : 1) && !isInBody(connection);
  };

  /** Stops reading a connection while data of a body in chunks is kept. Node.js starts that again with each part that it parses. */
  const holdBody = (connection: Connection): void => {
    const { isStopped, socket, unparsed } = connection;
    if (unparsed !== null && isInChunks(connection) && !isStopped) {
      connection.isHeld = true;
      socket.pause();
    }
  };

  /** Reads a connection on once nothing of a body is kept. */
  const releaseBody = (connection: Connection): void => {
    if (connection.isHeld && (connection.unparsed === null || !isInChunks(connection))) {
      connection.isHeld = false;
      connection.socket.resume();
    }
  };

  const drop = (socket: Socket): void => {
    const connection = connections.get(socket);
    if (connection === undefined) {
      return;
    }
    connection.isStopped = true;
    connection.unparsed = null;
    connection.headBytes = 0;
    connection.headLines = 0;
    releaseBody(connection);
  };
  const inputMemory = createInputMemory(vmMemory, (socket) => {
    drop(socket);
    onExhausted(socket);
  });
  const stop = (socket: Socket): void => {
    drop(socket);
    inputMemory.hold(socket, 0);
  };

  const parsePiece = (
    connection: Connection,
    data: Buffer,
    start: number,
    { end, endsHead }: Piece,
  ): void => {
    const { bodyBytesLeft, requestCount, socket } = connection;
    const isBody = isInBody(connection);
    const sizeBytes = end - start;
    if (!isBody && !endsHead && connection.headBytes + sizeBytes > getMaxHeadBytes()) {
      stop(socket);
      onOverlongHead(socket);
      return;
    }
    if (isBody && bodyBytesLeft !== null) {
      connection.bodyBytesLeft = bodyBytesLeft - sizeBytes;
    }
    if (isBody && bodyBytesLeft === null) {
      connection.trailerBytes += sizeBytes;
      connection.trailerLines += countLines(data, start, end);
    }
    connection.parse(sizeBytes === data.length ? data : data.subarray(start, end));
    if (connection.requestCount > requestCount) {
      connection.headBytes = 0;
      connection.headLines = 0;
    }
    const isUnfinished = !endsHead && !isInBody(connection);
    const isHead = isUnfinished && !(isBody && bodyBytesLeft !== null);
    if (isHead && !connection.isStopped) {
      connection.headBytes += sizeBytes;
      connection.headLines += countLines(data, start, end);
    }
    const pieceTail = data.toString('latin1', Math.max(start, end - MAX_TAIL_BYTES), end);
    const headTail = isBody ? pieceTail : connection.headTail + pieceTail;
    connection.headTail = isUnfinished ? headTail.slice(-MAX_TAIL_BYTES) : '';
  };

  /** Parses data until requests have to be answered first, one request only while many connections arrive, and keeps the rest. */
  const parseAll = (connection: Connection, data: Buffer): void => {
    const { requestCount, socket } = connection;
    let start = 0;
    connection.isParsing = true;
    const mayGoOn = (): boolean => !connection.isStopped && !socket.destroyed;
    const mustLeave = (): boolean =>
      isBusy(connection) ||
      (isArriving() && connection.requestCount > requestCount && !isInBody(connection));
    let chunkedBytes = 0;
    while (
      start < data.length &&
      chunkedBytes < MAX_CHUNKED_BYTES_PER_TURN &&
      mayGoOn() &&
      !isBlocked(connection) &&
      !mustLeave()
    ) {
      const piece = findPiece(connection, data, start);
      chunkedBytes += isInChunks(connection) ? piece.end - start : 0;
      parsePiece(connection, data, start, piece);
      start = piece.end;
    }
    connection.isParsing = false;
    connection.unparsed = start < data.length && mayGoOn() ? data.subarray(start) : null;
  };

  const recordHeld = (connection: Connection): void => {
    const { socket } = connection;
    inputMemory.hold(socket, socket.destroyed ? 0 : getHeldBytes(connection));
  };

  /** Keeps data that is not parsed yet, unless the connection has too much of it already. What belongs to a body is not read on. */
  const keep = (connection: Connection, unparsed: Buffer, data: Buffer): void => {
    const maxBytes = inputMemory.isHalfFree() ? MAX_SPARE_UNPARSED_BYTES : MAX_UNPARSED_BYTES;
    const isBody = isInChunks(connection);
    connection.isFull ||= !isBody && unparsed.length >= maxBytes;
    if (!connection.isFull) {
      connection.unparsed = Buffer.concat([unparsed, data]);
    }
    holdBody(connection);
  };

  /** Parses new or kept data as far as it may be now, and records what is left. */
  const parseNow = (connection: Connection, data: Buffer): void => {
    parseAll(connection, data);
    recordHeld(connection);
    holdBody(connection);
    releaseBody(connection);
    if (connection.unparsed !== null && !isBusy(connection)) {
      waiting.add(connection);
    }
  };

  const parseRest = (connection: Connection): void => {
    const { isFull, isParsing, socket, unparsed } = connection;
    if (unparsed === null || isParsing || isBlocked(connection) || isBusy(connection)) {
      return;
    }
    parseNow(connection, unparsed);
    if (isFull && connection.unparsed === null && !connection.isStopped && !socket.destroyed) {
      onExhausted(socket);
    }
  };

  /**
   * Parses kept data in later turns of the loop, that of one connection in each: a turn accepts one new connection only, so in
   * long turns new callers would wait for seconds.
   */
  const schedule = (): void => {
    if (isScheduled || waiting.size === 0) {
      return;
    }
    isScheduled = true;
    setImmediate(() => {
      isScheduled = false;
      turnsWaited += 1;
      if (!isArriving() || turnsWaited >= PARSING_TURNS) {
        turnsWaited = 0;
        const [connection] = waiting;
        waiting.delete(connection!);
        parseRest(connection!);
      }
      schedule();
    });
  };

  const scheduleRest = (connection: Connection): void => {
    if (connection.unparsed !== null) {
      waiting.add(connection);
      schedule();
    }
  };

  const read = (connection: Connection, data: Buffer): void => {
    const { isStopped, unparsed } = connection;
    if (isStopped) {
      return;
    }
    if (unparsed === null && isInChunks(connection) && waiting.size > 0) {
      connection.unparsed = data;
      recordHeld(connection);
      holdBody(connection);
      scheduleRest(connection);
    } else if (unparsed === null) {
      parseNow(connection, data);
      schedule();
    } else {
      keep(connection, unparsed, data);
      recordHeld(connection);
    }
  };

  const checkAnswered = (connection: Connection): void => {
    const { onAnswered, unansweredCount } = connection;
    if (onAnswered !== null && unansweredCount === Number(isInBody(connection))) {
      connection.onAnswered = null;
      onAnswered();
    }
  };

  server.on('connection', (socket: Socket) => {
    const [parse] = socket.listeners('data');
    const connection: Connection = {
      ...{ socket, parse: parse!.bind(socket), unparsed: null },
      ...{ headBytes: 0, headLines: 0, headTail: '', trailerBytes: 0, trailerLines: 0 },
      ...{ latest: null, latestResponse: null, responses: new Set<ServerResponse>() },
      ...{ requestCount: 0, unansweredCount: 0, bodyBytesLeft: 0, isParsing: false },
      ...{ isFull: false, isStopped: false, isHeld: false, onAnswered: null },
    };
    connections.set(socket, connection);
    // With a second listener, the parser no longer reads from the handle of the socket by itself.
    socket.on('data', (data: Buffer) => read(connection, data));
    socket.off('data', parse as (data: Buffer) => void);
    socket.on('resume', () => {
      holdBody(connection);
      scheduleRest(connection);
    });
    socket.once('close', () => {
      inputMemory.hold(socket, 0);
      closeWaitingResponses(connection);
    });
  });

  return {
    stop,
    addRequest: (request, response) => {
      const connection = connections.get(request.socket);
      if (connection === undefined) {
        return;
      }
      const { 'content-length': length = '0', 'transfer-encoding': encoding } = request.headers;
      connection.latest = request;
      connection.latestResponse = response;
      const forgetTrailers = (): void => {
        connection.trailerBytes = 0;
        connection.trailerLines = 0;
      };
      forgetTrailers();
      watchBodyData(request, forgetTrailers);
      connection.responses.add(response);
      const isPipelined = connection.unansweredCount > 0;
      pipelinedCount += Number(isPipelined);
      connection.requestCount += 1;
      connection.unansweredCount += 1;
      connection.bodyBytesLeft = encoding === undefined ? Number(length) : null;
      response.once('close', () => {
        connection.responses.delete(response);
        connection.unansweredCount -= 1;
        pipelinedCount -= Number(isPipelined);
        checkAnswered(connection);
        scheduleRest(connection);
      });
    },
    hasUnparsedData: (socket) => {
      const connection = connections.get(socket);
      return connection !== undefined && hasUnparsedData(connection);
    },
    isLast: (request) => {
      const connection = connections.get(request.socket);
      return connection?.latest === request && !hasUnparsedData(connection);
    },
    onAnswered: (socket, callback) => {
      const connection = connections.get(socket);
      if (connection === undefined) {
        callback();
      } else {
        connection.onAnswered = callback;
        checkAnswered(connection);
      }
    },
  };
}

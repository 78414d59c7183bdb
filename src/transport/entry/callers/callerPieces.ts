/**
 * Describes a caller's connection while it is read, and splits what it has brought into the pieces that the HTTP parser gets.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Ends each head, and each body that is sent in chunks. */
const HEAD_END = '\r\n\r\n';
/** Bytes of it that may have arrived before the rest. */
export const MAX_TAIL_BYTES = HEAD_END.length - 1;
/** Shortest piece of a body in chunks, which may contain many empty lines. */
const MIN_CHUNKED_PIECE_BYTES = 64;
const MAX_CHUNKED_PIECE_BYTES = 4_096;
/** Memory of a header line besides its text: the two strings that the parser keeps. */
const LINE_BYTES = 96;
/** The same with its place among the decoded headers of a request. */
const PARSED_LINE_BYTES = 160;
const LF = 10;

/** A connection of a caller while it is read. */
export interface Connection {
  readonly socket: Socket;
  /** Passes data to the parser. */
  readonly parse: (data: Buffer) => void;
  /** Data that was read and is not parsed yet. */
  unparsed: Buffer | null;
  /** Bytes of the unfinished head that were parsed. */
  headBytes: number;
  headLines: number;
  /** The last of these bytes, with which the end of the head may begin. */
  headTail: string;
  /** Bytes of an unfinished body in chunks that were parsed since its last data. The parser keeps them if they are trailers. */
  trailerBytes: number;
  trailerLines: number;
  latest: IncomingMessage | null;
  latestResponse: ServerResponse | null;
  /** Those that are not closed. */
  readonly responses: Set<ServerResponse>;
  requestCount: number;
  unansweredCount: number;
  /** Bytes of the body of the latest request that are not parsed; null for a body in chunks. */
  bodyBytesLeft: number | null;
  isParsing: boolean;
  /** True once data has been dropped because too much was kept. What is kept is still parsed. */
  isFull: boolean;
  isStopped: boolean;
  /** True while reading has stopped because data of a body in chunks is kept. */
  isHeld: boolean;
  onAnswered: (() => void) | null;
}

/** Returns whether the body of the latest request is not parsed whole. */
export function isInBody({ latest }: Connection): boolean {
  return latest !== null && !latest.complete;
}

/** Returns whether the body of the latest request is in chunks, and not parsed whole. */
export function isInChunks(connection: Connection): boolean {
  return isInBody(connection) && connection.bodyBytesLeft === null;
}

/** Returns whether nothing may be parsed for now: the body is not read, or the answers before are not. */
export function isBlocked(connection: Connection): boolean {
  const { latest, socket } = connection;
  return latest !== null && isInBody(connection)
    ? latest.readableLength >= latest.readableHighWaterMark
    : socket.isPaused();
}

/** A part of what a connection has brought. */
export interface Piece {
  readonly end: number;
  /** True for a piece that ends with a head, or with a body in chunks. */
  readonly endsHead: boolean;
}

/** Returns the number of line ends in a part of data. */
export function countLines(data: Buffer, start: number, end: number): number {
  let count = 0;
  for (let i = data.indexOf(LF, start); i >= 0 && i < end; i = data.indexOf(LF, i + 1)) {
    count += 1;
  }
  return count;
}

/** Returns the next piece of data. */
export function findPiece(connection: Connection, data: Buffer, start: number): Piece {
  const { bodyBytesLeft, headTail } = connection;
  const isBody = isInBody(connection);
  if (isBody && bodyBytesLeft !== null && bodyBytesLeft > 0) {
    return { end: Math.min(data.length, start + bodyBytesLeft), endsHead: false };
  }
  const joined = headTail + data.toString('latin1', start, start + MAX_TAIL_BYTES);
  const splitIndex = joined.indexOf(HEAD_END);
  if (!isBody && splitIndex >= 0) {
    return { end: start + splitIndex + HEAD_END.length - headTail.length, endsHead: true };
  }
  const maxEnd = isBody ? Math.min(data.length, start + MAX_CHUNKED_PIECE_BYTES) : data.length;
  const searched = data.subarray(0, maxEnd);
  const searchStart = isBody ? start + MIN_CHUNKED_PIECE_BYTES : start;
  const index = searched.indexOf(HEAD_END, searchStart, 'latin1');
  const endsHead = index >= 0;
  return { end: endsHead ? index + HEAD_END.length : maxEnd, endsHead };
}

/**
 * Closes the responses that wait for earlier ones on a connection that has closed. Node.js closes only the one that is being sent, and
 * what a request holds is given back when its response closes.
 */
export function closeWaitingResponses({ responses }: Connection): void {
  [...responses]
    .filter(
      ({ closed, socket, writableFinished }) => !closed && !writableFinished && socket === null,
    )
    .forEach((response) => {
      response.destroy();
      Object.assign(response, { _closed: true });
      response.emit('close');
    });
}

/** Returns the memory of the head of a request. */
export function getParsedHeadBytes({ rawHeaders }: IncomingMessage): number {
  const textBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return textBytes + (rawHeaders.length / 2) * PARSED_LINE_BYTES;
}

/** Returns whether the latest request waits for the rest of its body, and not only its connection for the end of a rejected body. */
function isBodyAwaited(connection: Connection): boolean {
  return isInBody(connection) && !connection.latestResponse!.headersSent;
}

/** Returns the memory that the unfinished request and the unparsed data of a connection take, without the data of its body. */
export function getHeldBytes(connection: Connection): number {
  const { headBytes, headLines, latest, trailerBytes, trailerLines, unparsed } = connection;
  const unparsedBytes = unparsed === null ? 0 : unparsed.buffer.byteLength;
  const bodyBytes = isBodyAwaited(connection)
    ? getParsedHeadBytes(latest!) + trailerBytes + trailerLines * LINE_BYTES
    : 0;
  return headBytes + headLines * LINE_BYTES + bodyBytes + unparsedBytes;
}

/** Returns whether data has been read that belongs to a request whose head is not parsed yet. */
export function hasUnparsedData({ headBytes, unparsed }: Connection): boolean {
  return headBytes > 0 || unparsed !== null;
}

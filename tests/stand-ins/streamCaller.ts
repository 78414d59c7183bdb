/**
 * Reads event streams from an entry VM over plain sockets, fast or slowly, and tells how each connection ended.
 */
import net from 'node:net';

/** How a connection ended as its caller saw it. */
export const StreamEnd = { InOrder: 'inOrder', Reset: 'reset' } as const;
export type StreamEnd = (typeof StreamEnd)[keyof typeof StreamEnd];

/** What a caller has read of a stream. */
export interface StreamResult {
  readonly end: StreamEnd;
  readonly isSlow: boolean;
  readonly status: number;
  /** Whether the answer's own framing marks its end; false for one without framing. */
  readonly hasEndMark: boolean;
  /** Whether the answer has a length or chunks. */
  readonly isFramed: boolean;
  /** What was read after the head, without the marks of its chunks. */
  readonly body: string;
  /** Ids of the whole events, in the order in which they came. */
  readonly eventIds: readonly number[];
}

/** A caller that reads slowly reads a chunk in each of these intervals. */
const SLOW_READ_MS = 40;
const SLOW_BUFFER_BYTES = 16_384;
/** Error of a connection that was reset. After an end in order, it is EPIPE. */
const RESET_CODE = 'ECONNRESET';

/** Joins the chunks of a body, as far as it was read. */
function joinChunks(text: string): string {
  const parts: string[] = [];
  let index = 0;
  for (let end = text.indexOf('\r\n'); end >= 0; end = text.indexOf('\r\n', index)) {
    const length = Number.parseInt(text.slice(index, end), 16);
    parts.push(text.slice(end + 2, end + 2 + length));
    index = end + 2 + length + 2;
  }
  return parts.join('');
}

/** Splits an answer into its head and what follows. */
function splitHead(text: string): { readonly head: string; readonly rest: string } {
  const endIndex = text.indexOf('\r\n\r\n');
  return endIndex < 0
    ? { head: text, rest: '' }
    : { head: text.slice(0, endIndex), rest: text.slice(endIndex + 4) };
}

function readLength(head: string): number | null {
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  return length === undefined ? null : Number(length);
}

/** Removes the first of several answers on a connection, which has a length. */
function skipAnswer(text: string): string {
  const { head, rest } = splitHead(text);
  return rest.slice(readLength(head) ?? 0);
}

/** Parses an answer as far as it was read. */
function parseAnswer(text: string): Omit<StreamResult, 'end' | 'isSlow'> {
  const { head, rest } = splitHead(text);
  const isChunked = /^transfer-encoding: chunked/im.test(head);
  const length = readLength(head);
  const body = isChunked ? joinChunks(rest) : rest;
  return {
    status: Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0),
    hasEndMark: isChunked ? text.endsWith('0\r\n\r\n') : body.length === length,
    isFramed: isChunked || length !== null,
    body,
    eventIds: [...body.matchAll(/id: (\d+)\ndata: x+\n\n/g)].map(([, id]) => Number(id)),
  };
}

/**
 * Sends a request and reads its answer until the connection ends. `onBody` is told what has been read of the body, at each piece. If the
 * head holds pipelined requests, `answersBefore` of their answers are skipped.
 */
export function readStream(
  address: string,
  head: readonly string[],
  isSlow: boolean,
  onBody?: (body: string) => void,
  answersBefore = 0,
): Promise<StreamResult> {
  const [host = '', port = ''] = address.split(':');
  return new Promise((resolve) => {
    const socket = net.connect({
      host,
      port: Number(port),
      allowHalfOpen: true,
      ...(isSlow ? { highWaterMark: SLOW_BUFFER_BYTES } : {}),
    });
    const chunks: string[] = [];
    const parse = (): ReturnType<typeof parseAnswer> =>
      parseAnswer(Array.from({ length: answersBefore }).reduce(skipAnswer, chunks.join('')));
    let isReset = false;
    socket.on('error', ({ code }: NodeJS.ErrnoException) => {
      isReset ||= code === RESET_CODE;
    });
    // For a reset that finds unread data, libuv reports an end in order. Writing then fails with the error of the reset.
    socket.on('end', () => {
      socket.write('.', (error?: NodeJS.ErrnoException | null) => {
        isReset = error?.code === RESET_CODE;
        socket.destroy();
      });
    });
    socket.on('data', (chunk: Buffer) => {
      chunks.push(chunk.toString('latin1'));
      onBody?.(parse().body);
      if (isSlow) {
        socket.pause();
        setTimeout(() => socket.resume(), SLOW_READ_MS);
      }
    });
    socket.on('close', () => {
      const end = isReset ? StreamEnd.Reset : StreamEnd.InOrder;
      resolve({ end, isSlow, ...parse() });
    });
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
  });
}

/** Returns whether a caller takes a stream for complete: its framing says so, or it has none and its connection ended in order. */
export function looksComplete({ end, hasEndMark, isFramed }: StreamResult): boolean {
  return isFramed ? hasEndMark : end === StreamEnd.InOrder;
}

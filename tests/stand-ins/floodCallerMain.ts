/**
 * Runs many callers of one kind as a process, which keep their connections open until it ends. Flags: `--address HOST:PORT`,
 * `--pattern NAME`, `--count N`. Callers that read answers report them, once all have ended or been cut, as `ended` with the number
 * of whole ones and the statuses of all.
 */
import net from 'node:net';
import { announceReady, readFlags } from './http.js';

const flags = readFlags(process.argv.slice(2));
const [host = '', port = ''] = (flags.get('address') ?? '').split(':');
const pattern = flags.get('pattern') ?? '';

const COMMON = 'Host: h\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 8000\r\nX-Attempt-Id:';
const PATIENT = COMMON.replace('8000', '30000');
const HEADER_LINES = Array.from({ length: 110 }, (_, i) => `X-Line-${i}: ${'x'.repeat(990)}\r\n`);
const PIPELINED_REQUESTS = 300;

/** What each connection sends, by the name of the pattern. */
const SENT_BYTES: Readonly<Record<string, (index: number) => string>> = {
  heads: () => `GET /look/x HTTP/1.1\r\nHost: h\r\n${HEADER_LINES.join('')}`,
  header: () => `GET /look/x HTTP/1.1\r\nHost: h\r\nX-Line: ${'x'.repeat(130_000)}`,
  pipelined: (index) =>
    Array.from(
      { length: PIPELINED_REQUESTS },
      (_, i) => `GET /look/x HTTP/1.1\r\n${COMMON} p${index}-${i}\r\n\r\n`,
    ).join(''),
  idle: () => '',
  large: (index) => `GET /large/x HTTP/1.1\r\n${COMMON} l${index}\r\n\r\n`,
  unread: (index) => `GET /unread/x HTTP/1.1\r\n${COMMON} u${index}\r\n\r\n`,
  slow: (index) => `GET /slow/x HTTP/1.1\r\n${PATIENT} s${index}\r\n\r\n`,
  event: (index) => `GET /event/x HTTP/1.1\r\n${COMMON} e${index}\r\n\r\n`,
};

/** Bytes of a whole body, by the patterns whose callers read their answers. */
const WHOLE_BYTES: Readonly<Record<string, number>> = {
  large: 1_000_000,
  slow: 4_000_000,
  event: 900_008,
};
/** Callers that read slowly take at most this in an interval. */
const SLOW_READ_BYTES = 65_536;
const SLOW_INTERVAL_MS = 60;

const count = Number(flags.get('count'));
const wholeBytes = WHOLE_BYTES[pattern] ?? null;
const statuses = new Map<string, number>();
let wholeCount = 0;
let endCount = 0;

/** Counts one answer, and reports once all callers have one. */
function recordEnd(status: string, isWhole: boolean): void {
  statuses.set(status, (statuses.get(status) ?? 0) + 1);
  wholeCount += Number(isWhole);
  endCount += 1;
  if (endCount === count) {
    const texts = [...statuses].map(([name, number]) => `${name}x${number}`);
    process.stdout.write(`ended whole=${wholeCount} statuses=${texts.join(',')}\n`);
  }
}

/** Reads one answer to its end. An answer is whole if its body has all bytes and, where it is in chunks, the last one. */
function readAnswer(socket: net.Socket, expectedBytes: number): void {
  let head: string | null = null;
  let headText = '';
  let bodyBytes = 0;
  let tail = '';
  let isDone = false;
  const end = (): void => {
    if (!isDone) {
      isDone = true;
      const status = head?.split(' ')[1] ?? 'none';
      const isChunked = /transfer-encoding: chunked/i.test(head ?? '');
      const isEnded = isChunked ? tail.endsWith('0\r\n\r\n') : true;
      recordEnd(status, status === '200' && bodyBytes >= expectedBytes && isEnded);
    }
  };
  socket.on('data', (chunk) => {
    let body = chunk.toString('latin1');
    if (head === null) {
      headText += body;
      const headEnd = headText.indexOf('\r\n\r\n');
      if (headEnd < 0) {
        return;
      }
      head = headText.slice(0, headEnd);
      body = headText.slice(headEnd + 4);
    }
    bodyBytes += body.length;
    tail = (tail + body).slice(-5);
    const isRefused = head.split(' ')[1] !== '200';
    const isChunked = /transfer-encoding: chunked/i.test(head);
    if (isRefused || (bodyBytes >= expectedBytes && (!isChunked || tail === '0\r\n\r\n'))) {
      end();
    }
  });
  socket.on('close', end);
}

/** Reads a limited number of bytes in each interval. */
function readSlowly(socket: net.Socket): void {
  let readBytes = 0;
  socket.on('data', (chunk) => {
    readBytes += chunk.length;
    if (readBytes >= SLOW_READ_BYTES) {
      readBytes = 0;
      socket.pause();
      setTimeout(() => socket.resume(), SLOW_INTERVAL_MS);
    }
  });
}

const getBytes = SENT_BYTES[pattern]!;
for (let i = 0; i < count; i += 1) {
  const socket = net.connect(Number(port), host);
  socket.on('error', () => {});
  socket.write(getBytes(i));
  if (wholeBytes !== null) {
    readAnswer(socket, wholeBytes);
  }
  if (pattern === 'slow') {
    readSlowly(socket);
  } else if (pattern !== 'unread') {
    socket.resume();
  }
}
announceReady();

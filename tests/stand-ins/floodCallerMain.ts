/**
 * Runs many callers of one kind as a process, which keep their connections open until it ends. Flags: `--address HOST:PORT`,
 * `--pattern NAME`, `--count N`.
 */
import net from 'node:net';
import { announceReady, readFlags } from './http.js';

const flags = readFlags(process.argv.slice(2));
const [host = '', port = ''] = (flags.get('address') ?? '').split(':');
const pattern = flags.get('pattern') ?? '';

const COMMON = 'Host: h\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: 8000\r\nX-Attempt-Id:';
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
};

const getBytes = SENT_BYTES[pattern]!;
for (let i = 0; i < Number(flags.get('count')); i += 1) {
  const socket = net.connect(Number(port), host);
  socket.on('error', () => {});
  socket.write(getBytes(i));
  if (pattern !== 'unread') {
    socket.resume();
  }
}
announceReady();

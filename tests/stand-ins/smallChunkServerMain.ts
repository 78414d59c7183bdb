/**
 * Runs a simulated server that sends answers in chunks of one byte, as a process. Flags: `--port N`. The path is `/NAME/...`, and the
 * table names the answers.
 */
import net, { type Socket } from 'node:net';
import { announceReady, readFlags } from './http.js';
import { formatEvents, SOUND_BYTES, toSmallChunks } from './smallChunks.js';

const flags = readFlags(process.argv.slice(2));

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';
const ENDLESS_PART = toSmallChunks('x'.repeat(10_000));
const SOUND_BODY = toSmallChunks('x'.repeat(SOUND_BYTES)) + LAST_CHUNK;
const SOUND_EVENTS = toSmallChunks(formatEvents()) + LAST_CHUNK;

/** Formats the head of an answer in chunks. */
function formatHead(id: string, type: string): string {
  const lines = [
    'HTTP/1.1 200 OK',
    `X-Attempt-Id: ${id}`,
    'X-Server-Seal: s',
    `Content-Type: ${type}`,
    'Transfer-Encoding: chunked',
  ];
  return `${lines.join('\r\n')}${HEAD_END}`;
}

/** Sends an answer for the request with an id. */
type SendAnswer = (socket: Socket, id: string) => void;

/** Sends a beginning, and then chunks until the connection closes. */
function sendWithoutEnd(socket: Socket, beginning: string): void {
  const write = (): void => {
    while (!socket.destroyed && socket.write(ENDLESS_PART));
  };
  socket.on('drain', write);
  socket.write(beginning);
  write();
}

const ANSWERS: Readonly<Record<string, SendAnswer>> = {
  endless: (socket, id) => sendWithoutEnd(socket, formatHead(id, 'text/plain')),
  flow: (socket, id) => sendWithoutEnd(socket, formatHead(id, 'text/event-stream')),
  rejected: (socket, id) => {
    const head = formatHead(id, 'text/plain').replace('200 OK', '503 No\r\nX-Not-Executed: 1');
    sendWithoutEnd(socket, head);
  },
  whole: (socket, id) => socket.write(formatHead(id, 'text/plain') + SOUND_BODY),
  events: (socket, id) => socket.write(formatHead(id, 'text/event-stream') + SOUND_EVENTS),
};

const ID_PATTERN = /^x-attempt-id: (\S+)/im;
const NAME_PATTERN = /^\S+ \/(\w+)\//;

const server = net.createServer((socket) => {
  let received = '';
  socket.on('error', () => {});
  socket.on('data', (data) => {
    received += data.toString('latin1');
    if (received.endsWith(HEAD_END)) {
      const id = ID_PATTERN.exec(received)?.[1] ?? '';
      const name = NAME_PATTERN.exec(received)?.[1] ?? '';
      received = '';
      ANSWERS[name]?.(socket, id);
    }
  });
});
server.listen(Number(flags.get('port')), '127.0.0.1', announceReady);

/**
 * Runs a simulated server whose answers have a size and a time of their own, as a process. Flags: `--port N`. The path is
 * `/NAME/...`, and the table names the answers.
 */
import http from 'node:http';
import { announceReady, readFlags } from './http.js';

const flags = readFlags(process.argv.slice(2));

interface SizedAnswer {
  readonly sizeBytes: number;
  readonly workMs: number;
}

/** Sizes and times of the answers by the first segment of their paths. */
const ANSWERS: Readonly<Record<string, SizedAnswer>> = {
  look: { sizeBytes: 5, workMs: 0 },
  book: { sizeBytes: 5, workMs: 0 },
  large: { sizeBytes: 1_000_000, workMs: 3_000 },
  unread: { sizeBytes: 4_000_000, workMs: 0 },
  slow: { sizeBytes: 4_000_000, workMs: 0 },
};
/** The bodies share their bytes, so that the server needs no memory for each. */
const BODY = Buffer.alloc(4_000_000, 'x');
const EVENT_START = Buffer.from(`data: ${'x'.repeat(900_000)}`);

/** Sends the beginning of an event and, some seconds later, its end and that of the stream. */
function sendLateEvent(response: http.ServerResponse): void {
  response.write(EVENT_START);
  setTimeout(() => response.end('\n\n'), 4_000);
}

const server = http.createServer((request, response) => {
  const name = (request.url ?? '').split('/')[1]!;
  const headers = {
    'x-attempt-id': String(request.headers['x-attempt-id']),
    'x-server-seal': 's',
  };
  if (name === 'event') {
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    sendLateEvent(response);
    return;
  }
  const { sizeBytes, workMs } = ANSWERS[name]!;
  setTimeout(() => {
    response.writeHead(200, { ...headers, 'content-length': sizeBytes });
    response.end(BODY.subarray(0, sizeBytes));
  }, workMs);
});
server.keepAliveTimeout = 60_000;
server.listen(Number(flags.get('port')), '127.0.0.1', announceReady);

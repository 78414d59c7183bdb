/**
 * Runs a simulated server of event streams as a process. Flags: `--port N`, `--framing length|chunks|none`, `--event-bytes N`,
 * `--interval-ms N`, `--events N`. Events are numbered from 1, or from the number after `Last-Event-Id`. SIGUSR2 resets all connections.
 */
import http, { type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { announceReady, readFlags } from './http.js';

const flags = readFlags(process.argv.slice(2));
const readNumber = (name: string): number => Number(flags.get(name));
const eventBytes = readNumber('event-bytes');
const intervalMs = readNumber('interval-ms');
const eventCount = readNumber('events');
const isFramed = flags.get('framing') !== 'none';

function sendEvents(response: ServerResponse, firstId: number): void {
  let id = firstId;
  const timer = setInterval(() => {
    response.write(`id: ${id}\ndata: ${'x'.repeat(eventBytes)}\n\n`);
    id += 1;
    if (id > eventCount) {
      clearInterval(timer);
      response.end();
    }
  }, intervalMs);
  response.on('close', () => clearInterval(timer));
}

const server = http.createServer((request, response) => {
  const headers = {
    'x-attempt-id': String(request.headers['x-attempt-id']),
    'x-server-seal': 's',
    'content-type': 'text/event-stream',
  };
  response.useChunkedEncodingByDefault = isFramed;
  response.writeHead(200, isFramed ? headers : { ...headers, connection: 'close' });
  sendEvents(response, Number(request.headers['last-event-id'] ?? 0) + 1);
});
const sockets = new Set<Socket>();
server.on('connection', (socket) => {
  sockets.add(socket);
  socket.on('close', () => sockets.delete(socket));
});
process.on('SIGUSR2', () => sockets.forEach((socket) => socket.resetAndDestroy()));
server.listen(readNumber('port'), '127.0.0.1', announceReady);

/**
 * Connections to backend servers, on real sockets: whichever way a request comes by its connection, its
 * whole answer arrives.
 */
import http, { type ClientRequest, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { type BackendAgents, createBackendAgents } from '../../src/transport/entry/backendAgent.js';

const ANSWER_DELAY_MS = 20;
const EVENTS = ['id: 1\n\n', 'id: 2\n\n', 'id: 3\n\n'];

let server: Server;
let agents: BackendAgents;

/** Answers with a stream of events, each in its own packet. */
beforeEach(async () => {
  server = http.createServer((_request, response) => {
    response.writeHead(200, { 'Content-Type': 'text/event-stream' });
    EVENTS.forEach((event, i) => {
      setTimeout(() => response.write(event), ANSWER_DELAY_MS * (i + 1));
    });
    setTimeout(() => response.end(), ANSWER_DELAY_MS * (EVENTS.length + 1));
  });
  agents = createBackendAgents();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
});

afterEach(() => {
  agents.close();
  server.close();
});

interface Sent {
  readonly request: ClientRequest;
  readonly ended: Promise<string>;
}

/** Sends a request as dispatches do; the promise tells the body or the error. */
function send(maxConnections: number): Sent {
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const request = http.request({
    host: '127.0.0.1',
    port,
    agent: agents.getAgent(address, maxConnections),
  });
  const ended = new Promise<string>((resolve) => {
    request.on('error', ({ message }) => resolve(message));
    request.on('response', (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', ({ message }) => resolve(message));
      response.on('end', () => resolve(Buffer.concat(parts).toString()));
    });
  });
  agents.onConnection(request, () => request.end());
  return { request, ended };
}

const CASES = [
  {
    name: 'a new connection',
    run: () => send(2).ended,
  },
  {
    name: 'a kept connection',
    run: async () => {
      await send(2).ended;
      return send(2).ended;
    },
  },
  {
    name: 'a connection that became free while the request was queued',
    run: () => {
      void send(1).ended;
      return send(1).ended;
    },
  },
  {
    name: 'a new connection in place of one that was closed while the request was queued',
    run: () => {
      const first = send(1);
      const second = send(1);
      setTimeout(() => first.request.destroy(), ANSWER_DELAY_MS / 2);
      return second.ended;
    },
  },
];

describe('the connections to a backend server', () => {
  it.each(CASES)('bring the whole answer over $name', async ({ run }) => {
    await expect(run()).resolves.toBe(EVENTS.join(''));
  });
});

/**
 * Tests that answers without framing are reset when they are broken off, whatever is still unsent, and when their process exits.
 */
import http from 'node:http';
import net, { type AddressInfo, Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createRefusal } from '../../src/coordination/requestCompletion.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { RunStatus, TargetKind } from '../../src/state/types.js';
import { abortAnswer, beginAnswer, createExchange } from '../../src/transport/exchange.js';
import { resetConnection } from '../../src/transport/unframedAnswers.js';
import {
  endProcess,
  findFreePort,
  type StartedProcess,
  startProgram,
} from '../stand-ins/processes.js';
import { readStream, StreamEnd, type StreamResult } from '../stand-ins/streamCaller.js';

const CALLERS = 100;
const EXIT_CALLERS = 20;
const CUT_AFTER_MS = 200;
const EXIT_AFTER_MS = 1_500;

const PROGRAM = 'tests/stand-ins/exitingServerMain.js';
const HEAD = ['GET / HTTP/1.1', 'Host: h'];

const closers: (() => unknown)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

function readStreams(address: string, count: number, head = HEAD): Promise<StreamResult[]> {
  return Promise.all(
    Array.from({ length: count }, (_, index) => readStream(address, head, index % 2 === 0)),
  );
}

/** Lets a reset wait for unsent data and an end in order, as in some versions of Node.js. */
function resetAfterEnd(this: Socket): Socket {
  Object.assign(this, { resetAndClosing: true });
  this.destroySoon();
  return this;
}

const RESETS = [
  { unsent: 'little', bodyBytes: 20_000, nodeReset: Socket.prototype.resetAndDestroy },
  { unsent: 'much', bodyBytes: 4_000_000, nodeReset: Socket.prototype.resetAndDestroy },
  { unsent: 'little, a reset waits for it', bodyBytes: 20_000, nodeReset: resetAfterEnd },
  { unsent: 'much, a reset waits for it', bodyBytes: 4_000_000, nodeReset: resetAfterEnd },
] as const;

describe('an answer that is broken off', () => {
  it.each(RESETS)('is reset at every caller, unsent: $unsent', async ({ bodyBytes, nodeReset }) => {
    const server = net.createServer((socket) => {
      Object.assign(socket, { resetAndDestroy: nodeReset });
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n');
        socket.write(Buffer.alloc(bodyBytes, 'x'));
        setTimeout(() => resetConnection(socket), CUT_AFTER_MS);
      });
    });
    closers.push(() => server.close());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const results = await readStreams(address, CALLERS);
    expect(results.filter(({ end }) => end !== StreamEnd.Reset)).toEqual([]);
  });
});

describe('an answer that is being written when its process exits', () => {
  it.each(['a call of exit', 'an uncaught error', 'an unhandled rejection'])(
    'is reset at every caller: %s',
    async (exit) => {
      const port = await findFreePort();
      const args = ['--port', port, '--exit', exit, '--exit-after-ms', EXIT_AFTER_MS].map(String);
      const started: StartedProcess = await startProgram('server', PROGRAM, args, 'ready');
      closers.push(() => endProcess(started));
      const results = await readStreams(`127.0.0.1:${port}`, EXIT_CALLERS);
      const ends = results.map(({ end, status }) => [status, end]);
      expect(ends).toEqual(Array.from({ length: EXIT_CALLERS }, () => [200, StreamEnd.Reset]));
    },
  );
});

describe('an answer of a plain service that is broken off', () => {
  it('is reset at every HTTP/1.0 caller', async () => {
    const refusal = createRefusal(createDiagnostic(Diagnostics.Stopping), RunStatus.Unknown);
    const server = http.createServer((request, response) => {
      const target = { kind: TargetKind.Route, method: 'GET', path: '/' } as const;
      const ids = { requestId: 'r', keyDigest: null, idempotencyDigest: null };
      const info = { ...ids, target, priority: 5, timeoutMs: 1_000 };
      const message = { request, response, body: Buffer.alloc(0), completion: null };
      const exchange = createExchange({ ...message, info, createdAtMs: 0 });
      beginAnswer(exchange, 200, {});
      response.write('x'.repeat(20_000));
      setTimeout(() => abortAnswer(exchange, refusal), CUT_AFTER_MS);
    });
    closers.push(() => server.close());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const results = await readStreams(address, CALLERS, ['GET / HTTP/1.0']);
    expect(results.filter(({ end }) => end !== StreamEnd.Reset)).toEqual([]);
  });
});

/**
 * Tests the memory of bodies whose servers answer before they have read them, and read on later or never. The caller has its answer then,
 * but the body is still held to be written.
 */
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { type EntryEvent, EntryEventKind } from '../../src/coordination/entry/events.js';
import { createBodyMemory } from '../../src/transport/bodyMemory.js';
import {
  createForwardExchange,
  sendWholeAnswer,
} from '../../src/transport/entry/callers/exchange.js';
import { handleAnswer } from '../../src/transport/entry/servers/answers.js';
import { startAttempt } from '../../src/transport/entry/servers/attempt.js';
import type { DispatchCommand } from '../../src/transport/entry/servers/attemptCommands.js';
import { createBackendAgents } from '../../src/transport/entry/servers/backendAgent.js';
import { createTurnPacer } from '../../src/transport/turnPacer.js';
import { createVmMemory, MEMORY_SHARES, MemoryPurpose } from '../../src/transport/vmMemory.js';
import { waitFor } from '../stand-ins/processes.js';

/** More than the kernel takes of a body that is not read. */
const BODY_BYTES = 16_777_216;
const PURPOSE = MemoryPurpose.RequestBodies;
const EARLY_ANSWER =
  'HTTP/1.1 413 Payload Too Large\r\nX-Attempt-Id: id\r\nContent-Length: 0\r\n\r\n';

const COMMAND: DispatchCommand = {
  kind: 'dispatch',
  requestId: 'r',
  attempt: 1,
  backendId: 's-1',
  bornAtWallMs: 1,
  address: '',
  maxConnections: 2,
  workspace: null,
  remainingMs: 10_000,
  urgency: 1,
  startTimeoutMs: 60_000,
  eventGapTimeoutMs: 60_000,
  isStream: false,
  softwareVersion: 'v1',
  isServerLimited: false,
  isServerBrittle: false,
  lifeCheck: null,
};

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

async function listen(server: net.Server): Promise<number> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return (server.address() as AddressInfo).port;
}

/** Sends a request through a VM to a server that answers at its head and reads no further. */
async function answerEarly() {
  const vmMemory = createVmMemory((1.5 * BODY_BYTES) / MEMORY_SHARES[PURPOSE].fraction);
  const sockets: Socket[] = [];
  const server = net.createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write(EARLY_ANSWER);
      socket.pause();
    });
  });
  const address = `127.0.0.1:${await listen(server)}`;
  const agents = createBackendAgents();
  const vm = http.createServer((request, response) => {
    const held = vmMemory.hold(PURPOSE);
    held.add(BODY_BYTES);
    const bodyMemory = createBodyMemory(held);
    response.once('close', bodyMemory.endResponse);
    const ids = { requestId: 'r', callerRequestId: 'id' };
    const fields = { ...ids, request, response, body: Buffer.alloc(BODY_BYTES) };
    const exchange = createForwardExchange(fields, null, bodyMemory);
    const post = ({ kind }: EntryEvent): void => {
      if (kind === EntryEventKind.AnswerReady) {
        const { body, headers, status } = exchange.bufferedAnswer!;
        sendWholeAnswer(exchange, status, headers, body);
      }
    };
    const context = {
      ...{ post, agents, vmMemory, wire: PLATFORM_WIRE, turnPacer: createTurnPacer() },
      ...{ getNowMs: () => performance.now(), isBehind: () => false },
      eventPacer: { take: () => 0 },
    };
    startAttempt({ ...COMMAND, address }, exchange, context, handleAnswer);
  });
  const port = await listen(vm);
  closers.push(() => {
    agents.close();
    vm.closeAllConnections();
    vm.close();
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  const status = await new Promise<number>((resolve, reject) => {
    http
      .get({ port, host: '127.0.0.1', agent: false }, (response) => {
        response.resume();
        response.on('close', () => resolve(response.statusCode ?? 0));
      })
      .on('error', reject);
  });
  return { vmMemory, socket: sockets[0]!, status };
}

type Answered = Awaited<ReturnType<typeof answerEarly>>;

const CASES: readonly { readonly end: string; readonly run: (answered: Answered) => void }[] = [
  { end: 'its server reads on', run: ({ socket }) => socket.resume() },
  { end: 'its server closes the connection', run: ({ socket }) => socket.destroy() },
  {
    end: 'another body needs the memory',
    run: ({ vmMemory }) => {
      expect(vmMemory.hold(PURPOSE).makeRoom(BODY_BYTES)).toBe(true);
    },
  },
];

// Guards against VMs that exceed their memory because bodies are not counted from the answer to their last byte.
describe('the body of a request that was answered early', () => {
  it.each(CASES)('takes memory until $end', async ({ run }) => {
    const answered = await answerEarly();
    const { socket, status, vmMemory } = answered;
    expect(status).toBe(413);
    expect(vmMemory.getUsedBytes(PURPOSE)).toBe(BODY_BYTES);
    run(answered);
    await waitFor('the memory is given back', () => vmMemory.getUsedBytes(PURPOSE) === 0);
    socket.resume();
  });
});

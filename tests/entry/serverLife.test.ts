/**
 * Tests that an answer without a length counts as whole only if the process that sent it has outlived it, whatever listens at its address
 * afterwards.
 */
import http from 'node:http';
import net, { type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { type EntryEvent, EntryEventKind } from '../../src/coordination/entry/events.js';
import { handleAnswer } from '../../src/transport/entry/answers.js';
import { type DispatchCommand, startAttempt } from '../../src/transport/entry/attempt.js';
import { createBackendAgents } from '../../src/transport/entry/backendAgent.js';
import { createForwardExchange } from '../../src/transport/entry/exchange.js';
import { createTurnPacer } from '../../src/transport/entry/turnPacer.js';
import { createVmMemory } from '../../src/transport/vmMemory.js';

const SERVER_ID = 'i-1';
const OTHER_ID = 'i-2';
const HEALTH_PATH = '/healthz';
const WAIT_MS = 3_000;
/** Longest time for which a caller may wait for the end of an answer. */
const MAX_HELD_MS = 600;
const END_AFTER_MS = 60;

const closers: (() => void)[] = [];

afterEach(() => {
  closers.splice(0).forEach((close) => close());
});

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

type AnswerHealth = (socket: Socket) => void;

function formatHealth(status: string, id: string): string {
  return `HTTP/1.1 ${status}\r\nX-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`;
}

const HEALTHY: AnswerHealth = (socket) => socket.write(formatHealth('200 OK', SERVER_ID));
const SILENT: AnswerHealth = () => {};

const HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\n';
const EVENTS = 'id: 1\ndata: a\n\n';
const STREAM_HEAD = `${HEAD}Content-Type: text/event-stream\r\n\r\n`;

/** A server process: it listens, and its connections end as the kernel would end them. */
interface ServerProcess {
  readonly port: number;
  readonly healthChecks: number;
  /** Stops listening. */
  readonly closeListener: () => void;
  /** Ends all connections but one in order, as the kernel does for a process that was killed. */
  readonly endConnections: (excepted?: Socket) => void;
}

async function startServer(
  answerHealth: AnswerHealth,
  answer: string,
  end: (server: ServerProcess, answering: Socket) => void,
  port = 0,
): Promise<ServerProcess> {
  const sockets = new Set<Socket>();
  let healthChecks = 0;
  let endAnswer: (socket: Socket) => void = () => {};
  const server: Server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (data) => {
      if (data.toString().startsWith(`GET ${HEALTH_PATH} `)) {
        healthChecks += 1;
        answerHealth(socket);
        return;
      }
      socket.write(answer);
      setTimeout(() => endAnswer(socket), END_AFTER_MS);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  const started: ServerProcess = {
    port: (server.address() as AddressInfo).port,
    get healthChecks() {
      return healthChecks;
    },
    closeListener: () => {
      server.close();
    },
    endConnections: (excepted) =>
      [...sockets].filter((socket) => socket !== excepted).forEach((socket) => socket.end()),
  };
  endAnswer = (socket) => end(started, socket);
  closers.push(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  return started;
}

/** Starts a process with this id at the address of one that no longer listens. */
function startSuccessor(port: number, id: string): void {
  const answerHealth: AnswerHealth = (socket) => socket.write(formatHealth('200 OK', id));
  startServer(answerHealth, '', () => {}, port).catch(() => {});
}

const COMMAND: DispatchCommand = {
  kind: 'dispatch',
  requestId: 'r',
  attempt: 1,
  backendId: SERVER_ID,
  bornAtWallMs: 1,
  address: '',
  maxConnections: 2,
  workspace: null,
  remainingMs: 10_000,
  urgency: 1,
  startTimeoutMs: 60_000,
  eventGapTimeoutMs: 60_000,
  isStream: true,
  isServerLimited: false,
  lifeCheck: { healthPath: HEALTH_PATH },
};

/** Forwards one request to a server; returns the events of its attempt and how the caller saw the answer end. */
async function forward(
  port: number,
  fields: Partial<DispatchCommand> = {},
): Promise<{ events: EntryEvent[]; heldMs: number }> {
  const events: EntryEvent[] = [];
  const agents = createBackendAgents();
  let bodyAtMs = 0;
  let endedAtMs = 0;
  const context = {
    post: (event: EntryEvent) => {
      events.push(event);
      endedAtMs = performance.now();
    },
    getNowMs: () => performance.now(),
    agents,
    wire: PLATFORM_WIRE,
    isBehind: () => false,
    eventPacer: { take: () => 0 },
    turnPacer: createTurnPacer(),
    vmMemory: createVmMemory(Number.POSITIVE_INFINITY),
  };
  const server = http.createServer((request, response) => {
    const body = Buffer.alloc(0);
    const ids = { requestId: 'r', callerRequestId: 'id' };
    const exchange = createForwardExchange({ ...ids, request, response, body });
    const address = `127.0.0.1:${port}`;
    startAttempt({ ...COMMAND, ...fields, address }, exchange, context, (...args) => {
      bodyAtMs = performance.now();
      handleAnswer(...args);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port: forwarderPort } = server.address() as AddressInfo;
  const caller = http.get(`http://127.0.0.1:${forwarderPort}/`, (response) => {
    response.resume();
    response.on('error', () => {});
  });
  caller.on('error', () => {});
  closers.push(() => {
    caller.destroy();
    agents.close();
    server.closeAllConnections();
    server.close();
  });
  const ends = new Set<string>([
    EntryEventKind.AnswerReady,
    EntryEventKind.AnswerCompleted,
    EntryEventKind.AttemptFailed,
  ]);
  const deadlineMs = performance.now() + WAIT_MS;
  while (!events.some(({ kind }) => ends.has(kind)) && performance.now() < deadlineMs) {
    await wait(5);
  }
  return { events, heldMs: endedAtMs - bodyAtMs - END_AFTER_MS };
}

interface EndCase {
  readonly name: string;
  readonly answerHealth: AnswerHealth;
  readonly end: (server: ServerProcess, answering: Socket) => void;
  readonly isWhole: boolean;
  readonly evidence: string;
}

const END_CASES: readonly EndCase[] = [
  {
    name: 'its server was killed',
    answerHealth: HEALTHY,
    end: (server) => {
      server.closeListener();
      server.endConnections();
    },
    isWhole: false,
    evidence: 'closed',
  },
  {
    name: 'its server was killed, and stops listening some ms later',
    answerHealth: SILENT,
    end: (server) => {
      server.endConnections();
      setTimeout(server.closeListener, 15);
    },
    isWhole: false,
    evidence: 'closed',
  },
  {
    name: 'its server was killed, and its connections end one by one',
    answerHealth: SILENT,
    end: (server, answering) => {
      answering.end();
      setTimeout(() => {
        server.closeListener();
        server.endConnections();
      }, 15);
    },
    isWhole: false,
    evidence: 'closed',
  },
  {
    name: 'its server was killed, and the connection of the answer ends last',
    answerHealth: SILENT,
    end: (server, answering) => {
      server.closeListener();
      server.endConnections(answering);
      setTimeout(() => answering.end(), 15);
    },
    isWhole: false,
    evidence: 'closed',
  },
  {
    name: 'its server was killed, and another one listens at its address at once',
    answerHealth: HEALTHY,
    end: (server) => {
      server.closeListener();
      server.endConnections();
      startSuccessor(server.port, OTHER_ID);
    },
    isWhole: false,
    evidence: 'closed',
  },
  {
    name: 'its server was killed and started again with the same id',
    answerHealth: HEALTHY,
    end: (server) => {
      server.closeListener();
      server.endConnections();
      startSuccessor(server.port, SERVER_ID);
    },
    isWhole: false,
    evidence: 'closed',
  },
  {
    name: 'its server lives',
    answerHealth: HEALTHY,
    end: (_server, answering) => answering.end(),
    isWhole: true,
    evidence: 'answered',
  },
  {
    name: 'its server lives, and is full',
    answerHealth: (socket) => socket.write(formatHealth('503 Full', SERVER_ID)),
    end: (_server, answering) => answering.end(),
    isWhole: true,
    evidence: 'answered',
  },
  {
    name: 'its server lives, and is slow to answer',
    answerHealth: (socket) => {
      setTimeout(() => HEALTHY(socket), 100);
    },
    end: (_server, answering) => answering.end(),
    isWhole: true,
    evidence: 'answered',
  },
  {
    name: 'its server lives, and does not answer in time',
    answerHealth: SILENT,
    end: (_server, answering) => answering.end(),
    isWhole: true,
    evidence: 'still_open',
  },
];

const FORMS = [
  { form: 'a stream', answer: STREAM_HEAD + EVENTS, whole: EntryEventKind.AnswerCompleted },
  { form: 'a body', answer: `${HEAD}\r\nwhole`, whole: EntryEventKind.AnswerReady },
  {
    form: 'a large body',
    answer: `${HEAD}\r\n${'x'.repeat(1_100_000)}`,
    whole: EntryEventKind.AnswerCompleted,
  },
];

const LIFE_CASES = FORMS.flatMap((form) => END_CASES.map((end) => ({ ...form, ...end })));

describe('an answer without a length', () => {
  it.each(LIFE_CASES)(
    'is whole only if its process outlives it: $form, $name',
    async ({ answer, answerHealth, end, evidence, isWhole, whole }) => {
      const server = await startServer(answerHealth, answer, end);
      const { events, heldMs } = await forward(server.port);
      expect(events.at(-1)?.kind).toBe(isWhole ? whole : EntryEventKind.AttemptFailed);
      expect(heldMs).toBeLessThan(MAX_HELD_MS);
      const ends = events.filter(({ kind }) => kind === EntryEventKind.UnframedAnswerEnded);
      expect(ends).toMatchObject([{ evidence }]);
      expect(server.healthChecks).toBeLessThanOrEqual(1);
    },
  );
});

/** Ends an answer in the same packet as its head, so that no connection to its server is open yet. */
const SHORT_CASES: readonly (Omit<EndCase, 'end'> & { readonly id: string | null })[] = [
  {
    name: 'it lives',
    id: SERVER_ID,
    answerHealth: HEALTHY,
    isWhole: true,
    evidence: 'answered_later',
  },
  {
    name: 'another one is at the address',
    id: OTHER_ID,
    answerHealth: (socket) => socket.write(formatHealth('200 OK', OTHER_ID)),
    isWhole: false,
    evidence: 'other_server',
  },
  {
    name: 'another one is at the address and says so',
    id: OTHER_ID,
    answerHealth: (socket) => socket.write('HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n'),
    isWhole: false,
    evidence: 'other_server',
  },
  {
    name: 'what listens there closes the connection',
    id: null,
    answerHealth: (socket) => socket.end(),
    isWhole: false,
    evidence: 'no_answer',
  },
  {
    name: 'what listens there does not answer',
    id: null,
    answerHealth: SILENT,
    isWhole: false,
    evidence: 'no_answer',
  },
];

describe('a short answer without a length', () => {
  it.each(SHORT_CASES)(
    'is whole only if its server is found at its address: $name',
    async ({ answerHealth, evidence, isWhole }) => {
      const sockets: Socket[] = [];
      const server = net.createServer((socket) => {
        sockets.push(socket);
        socket.on('error', () => {});
        socket.once('data', (data) => {
          if (data.toString().startsWith(`GET ${HEALTH_PATH} `)) {
            answerHealth(socket);
          } else {
            socket.end(`${HEAD}\r\nwhole`);
          }
        });
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      closers.push(() => {
        server.close();
        sockets.forEach((socket) => socket.destroy());
      });
      const { events, heldMs } = await forward((server.address() as AddressInfo).port);
      expect(events.at(-1)?.kind).toBe(
        isWhole ? EntryEventKind.AnswerReady : EntryEventKind.AttemptFailed,
      );
      expect(heldMs).toBeLessThan(MAX_HELD_MS);
      const ends = events.filter(({ kind }) => kind === EntryEventKind.UnframedAnswerEnded);
      expect(ends).toMatchObject([{ evidence }]);
    },
  );
});

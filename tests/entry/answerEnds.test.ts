/**
 * Tests how answers end that do not state their length: a server that sends bytes without end is cut off, while other
 * servers' answers are delivered, and an answer that ends with its connection is complete only if that ended in order.
 */
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { type EntryEvent, EntryEventKind } from '../../src/coordination/entry/events.js';
import { handleAnswer } from '../../src/transport/entry/servers/answers.js';
import type { DispatchCommand } from '../../src/transport/entry/servers/attemptCommands.js';
import { startAttempt } from '../../src/transport/entry/servers/attempt.js';
import { createBackendAgents } from '../../src/transport/entry/servers/backendAgent.js';
import { createForwardExchange } from '../../src/transport/entry/callers/exchange.js';
import { createTurnPacer } from '../../src/transport/turnPacer.js';
import { createVmMemory } from '../../src/transport/vmMemory.js';

const CUT_OFF_MS = 5_000;
/** The longest body, and what the buffers of the sockets hold beyond it. */
const MAX_SENT_BYTES = 100_000_000;
const MAX_MEMORY_GROWTH_BYTES = 128_000_000;
const FILLER = 'x'.repeat(16_384);
const SOUND_BODY = 'whole';

interface EndlessServer {
  readonly address: string;
  readonly sent: { bytes: number; isCutOff: boolean };
  readonly close: () => Promise<void>;
}

const closers: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

async function listen(server: net.Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a server that answers every request with a beginning and then the filler until it is cut off. */
async function startEndlessServer(beginning: string, filler: string): Promise<EndlessServer> {
  const sent = { bytes: 0, isCutOff: false };
  const sockets = new Set<Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    const write = (): void => {
      while (!socket.destroyed && socket.write(filler)) {
        sent.bytes += filler.length;
      }
    };
    socket.once('data', () => {
      socket.write(beginning);
      write();
    });
    socket.on('drain', write);
    socket.on('error', () => {});
    socket.on('close', () => {
      sent.isCutOff = true;
    });
  });
  const address = await listen(server);
  const close = (): Promise<void> =>
    new Promise((resolve) => {
      sockets.forEach((socket) => socket.destroy());
      server.close(() => resolve());
    });
  closers.push(close);
  return { address, sent, close };
}

const COMMAND: DispatchCommand = {
  kind: 'dispatch',
  requestId: 'r',
  attempt: 1,
  backendId: 'e1',
  bornAtWallMs: 1,
  address: '',
  maxConnections: 2,
  workspace: null,
  remainingMs: 10_000,
  urgency: 1,
  startTimeoutMs: 60_000,
  eventGapTimeoutMs: 60_000,
  isStream: true,
  softwareVersion: 'v1',
  isServerLimited: false,
  isServerBrittle: false,
  lifeCheck: null,
};

/** Ends the path of a request whose answer is no stream. */
const PLAIN_ROUTE = 'plain';

/** Returns the kind of route that an answer belongs to. */
function getRoute(answer: string): Pick<DispatchCommand, 'isStream'> {
  return { isStream: answer.includes('text/event-stream') };
}

/** Starts a server for callers that forwards each request to the address in its path. */
async function startForwarder(
  events: EntryEvent[],
  changes: Partial<DispatchCommand> = {},
): Promise<string> {
  const agents = createBackendAgents();
  const context = {
    post: (event: EntryEvent) => events.push(event),
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
    const [, address = '', route] = (request.url ?? '').split('/');
    const isStream = route === PLAIN_ROUTE ? false : (changes.isStream ?? COMMAND.isStream);
    startAttempt({ ...COMMAND, ...changes, isStream, address }, exchange, context, handleAnswer);
  });
  const address = await listen(server);
  closers.push(() => {
    agents.close();
    server.closeAllConnections();
    server.close();
  });
  return address;
}

/** Sends a request that is forwarded to an address, and drops its answer. */
function callThrough(forwarder: string, address: string): void {
  const caller = http.get(`http://${forwarder}/${address}`, (response) => {
    response.resume();
    response.on('error', () => {});
  });
  caller.on('error', () => {});
  closers.push(() => {
    caller.destroy();
  });
}

async function waitUntil(condition: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + CUT_OFF_MS;
  while (!condition() && performance.now() < deadlineMs) {
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
}

const HEAD = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: id\r\n';

const CASES = [
  {
    name: 'in a head',
    beginning: `${HEAD}X-Filler: `,
    filler: FILLER,
    key: 'answer_too_large',
  },
  {
    name: 'in a head of many lines',
    beginning: HEAD,
    filler: 'X-Filler: y\r\n'.repeat(1_000),
    key: 'answer_too_large',
  },
  {
    name: 'that are no answer',
    beginning: '',
    filler: FILLER,
    key: 'answer_mismatched',
  },
  {
    name: 'in a body that ends with its connection',
    beginning: `${HEAD}Connection: close\r\n\r\n`,
    filler: FILLER,
    key: 'answer_too_large',
  },
  {
    name: 'in a chunked body',
    beginning: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    filler: `4000\r\n${FILLER}\r\n`,
    key: 'answer_too_large',
  },
  {
    name: 'in the body of a rejection',
    beginning: 'HTTP/1.1 503 Busy\r\nX-Attempt-Id: id\r\nX-Not-Executed: 1\r\n\r\n',
    filler: FILLER,
    key: 'backend_refused',
  },
  {
    name: 'in one event',
    beginning: `${HEAD}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: `,
    filler: FILLER,
    key: 'answer_too_large',
  },
  {
    name: 'in events without data',
    beginning: `${HEAD}Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n`,
    filler: ': c\n\n'.repeat(3_000),
    key: 'answer_too_large',
  },
  {
    name: 'in empty lines of a stream',
    beginning: `${HEAD}Content-Type: text/event-stream\r\n\r\n`,
    filler: '\n'.repeat(16_384),
    key: 'answer_too_large',
  },
  {
    name: 'in informational responses',
    beginning: '',
    filler: 'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'.repeat(300),
    key: 'answer_mismatched',
  },
  {
    name: 'in empty lines before a head',
    beginning: '',
    filler: '\r\n'.repeat(8_192),
    key: 'answer_too_large',
  },
  {
    name: 'in the size of a chunk',
    beginning: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    filler: '0'.repeat(16_384),
    key: 'answer_too_large',
  },
  {
    name: 'in the size of a chunk of a stream',
    beginning: `${HEAD}Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n\r\n`,
    filler: '0'.repeat(16_384),
    key: 'answer_too_large',
  },
  {
    name: 'in an event of many lines',
    beginning: `${HEAD}Content-Type: text/event-stream\r\n\r\nid: 1\n`,
    filler: 'data: y\n'.repeat(1_000),
    key: 'answer_too_large',
  },
];

describe('bytes without end', () => {
  it.each(CASES)(
    'end the attempt with a typed failure and close the connection: $name',
    async ({ beginning, filler, key }) => {
      const events: EntryEvent[] = [];
      const endless = await startEndlessServer(beginning, filler);
      const sound = http.createServer((_request, response) => {
        response.writeHead(200, { 'x-attempt-id': 'id', 'content-length': SOUND_BODY.length });
        response.end(SOUND_BODY);
      });
      const soundAddress = await listen(sound);
      closers.push(() => {
        sound.closeAllConnections();
        sound.close();
      });
      const forwarder = await startForwarder(events, getRoute(beginning));
      const memoryBefore = process.memoryUsage().rss;
      callThrough(forwarder, endless.address);
      await waitUntil(() => endless.sent.isCutOff);
      expect(endless.sent.isCutOff).toBe(true);
      expect(endless.sent.bytes).toBeLessThan(MAX_SENT_BYTES);
      expect(process.memoryUsage().rss - memoryBefore).toBeLessThan(MAX_MEMORY_GROWTH_BYTES);
      const failures = events.filter(({ kind }) => kind === EntryEventKind.AttemptFailed);
      expect(failures).toMatchObject([{ failure: { diagnostic: { key } } }]);

      callThrough(forwarder, `${soundAddress}/${PLAIN_ROUTE}`);
      await waitUntil(() => events.some(({ kind }) => kind === EntryEventKind.AnswerReady));
      expect(events.at(-1)).toMatchObject({ kind: EntryEventKind.AnswerReady, status: 200 });
    },
  );
});

const STREAM_HEAD = `${HEAD}Content-Type: text/event-stream\r\n\r\n`;
const FIRST_EVENT = 'id: 1\ndata: a\n\n';

const CLOSINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  end: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
};

const END_CASES = [
  { name: 'a body, closed', answer: `${HEAD}\r\nwhole`, closing: 'end', kind: 'answerReady' },
  { name: 'a body, reset', answer: `${HEAD}\r\nwhole`, closing: 'reset', kind: 'attemptFailed' },
  {
    name: 'a stream, closed after an event',
    answer: STREAM_HEAD + FIRST_EVENT,
    closing: 'end',
    kind: 'answerCompleted',
  },
  {
    name: 'a stream, closed inside an event',
    answer: `${STREAM_HEAD}${FIRST_EVENT}id: 2\nda`,
    closing: 'end',
    kind: 'attemptFailed',
  },
  {
    name: 'a stream, reset after an event',
    answer: STREAM_HEAD + FIRST_EVENT,
    closing: 'reset',
    kind: 'attemptFailed',
  },
  { name: 'a head alone, closed', answer: HEAD, closing: 'end', kind: 'attemptFailed' },
];

describe('an answer without a length', () => {
  it.each(END_CASES)(
    'is complete only if its connection and its last event ended in order: $name',
    async ({ answer, closing, kind }) => {
      const events: EntryEvent[] = [];
      const server = net.createServer((socket) => {
        socket.on('error', () => {});
        socket.once('data', () => {
          socket.write(answer, () => setTimeout(() => CLOSINGS[closing]!(socket), 20));
        });
      });
      const address = await listen(server);
      closers.push(() => {
        server.close();
      });
      callThrough(await startForwarder(events, getRoute(answer)), address);
      await waitUntil(() => events.some(({ kind: posted }) => posted !== 'answerStarted'));
      expect(events.at(-1)?.kind).toBe(kind);
    },
  );

  // The kernel closes the connections of a killed process in the same order as those of one that has finished.
  it.each([
    { name: 'a body', answer: `${HEAD}\r\nwhole` },
    { name: 'a large body', answer: `${HEAD}\r\n${'x'.repeat(1_100_000)}` },
    { name: 'a stream', answer: STREAM_HEAD + FIRST_EVENT },
  ])('is not complete if its server has ended with the connection: $name', async ({ answer }) => {
    const events: EntryEvent[] = [];
    const server = net.createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => {
        server.close();
        socket.end(answer);
      });
    });
    const address = await listen(server);
    callThrough(await startForwarder(events, getRoute(answer)), address);
    await waitUntil(() => events.some(({ kind }) => kind !== EntryEventKind.AnswerStarted));
    expect(events.at(-1)).toMatchObject({
      kind: EntryEventKind.AttemptFailed,
      failure: { diagnostic: { key: 'answer_truncated' } },
    });
  });

  const STALLS = [
    { name: 'an event grows without end', first: 'data: ', filler: 'x' },
    { name: 'only comments arrive', first: '', filler: ': open\n\n' },
    { name: 'only events without data arrive', first: '', filler: 'retry: 5\n\n' },
  ];

  it.each(STALLS)('is reported as stalled while $name', async ({ filler, first }) => {
    const events: EntryEvent[] = [];
    const server = net.createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write(`${STREAM_HEAD}${FIRST_EVENT}${first}`);
        const timer = setInterval(() => socket.write(filler), 10);
        socket.on('close', () => clearInterval(timer));
      });
    });
    const address = await listen(server);
    closers.push(() => {
      server.close();
    });
    callThrough(
      await startForwarder(events, { startTimeoutMs: 200, eventGapTimeoutMs: 200 }),
      address,
    );
    await waitUntil(() => events.some(({ kind }) => kind === EntryEventKind.AttemptStalled));
    expect(events.at(-1)?.kind).toBe(EntryEventKind.AttemptStalled);
  });
});

const WHOLE_HEADS = [
  { name: 'a length', head: `${HEAD}Content-Length: 5\r\n\r\n` },
  { name: 'no body', head: `${HEAD}Content-Length: 0\r\n\r\n` },
  { name: 'chunks', head: `${HEAD}Transfer-Encoding: chunked\r\n\r\n` },
  { name: 'neither length nor chunks', head: `${HEAD}Connection: close\r\n\r\n` },
  { name: 'a stream', head: STREAM_HEAD },
  { name: 'an interim answer before it', head: `HTTP/1.1 100 Continue\r\n\r\n${HEAD}\r\n` },
];

const HEAD_CASES = WHOLE_HEADS.flatMap((head) =>
  Object.keys(CLOSINGS).map((closing) => ({ ...head, closing })),
);

describe('an answer that breaks off in its head', () => {
  it.each(HEAD_CASES)(
    'is never complete, wherever it breaks off: $name, $closing',
    async ({ closing, head }) => {
      const events: EntryEvent[] = [];
      let length = 0;
      const server = net.createServer((socket) => {
        socket.on('error', () => {});
        socket.once('data', () => {
          const beginning = head.slice(0, length);
          length += 1;
          socket.write(beginning, () => CLOSINGS[closing]!(socket));
        });
      });
      const address = await listen(server);
      closers.push(() => {
        server.close();
      });
      const forwarder = await startForwarder(events, { maxConnections: 50 });
      for (let i = 0; i < head.length; i += 1) {
        callThrough(forwarder, address);
      }
      await waitUntil(() => events.length >= head.length);
      expect(events.length).toBe(head.length);
      expect(new Set(events.map(({ kind }) => kind))).toEqual(
        new Set([EntryEventKind.AttemptFailed]),
      );
    },
  );
});

describe('a kept connection that its server closes as a request is written', () => {
  it.each(Object.keys(CLOSINGS))(
    'fails the attempt, whose request may have run: %s',
    async (closing) => {
      const events: EntryEvent[] = [];
      const server = net.createServer((socket) => {
        socket.on('error', () => {});
        socket.once('data', () => {
          socket.write(`${HEAD}Content-Length: 5\r\n\r\nwhole`);
          socket.once('data', () => CLOSINGS[closing]!(socket));
        });
      });
      const address = await listen(server);
      closers.push(() => {
        server.close();
      });
      const forwarder = await startForwarder(events, { isStream: false });
      callThrough(forwarder, address);
      await waitUntil(() => events.length === 1);
      await new Promise((resolve) => {
        setTimeout(resolve, 20);
      });
      callThrough(forwarder, address);
      await waitUntil(() => events.length === 2);
      expect(events).toMatchObject([
        { kind: EntryEventKind.AnswerReady },
        { failure: { diagnostic: { key: 'answer_lost' }, runState: 'maybeSent' } },
      ]);
    },
  );
});

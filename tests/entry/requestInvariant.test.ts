/**
 * Tests the server for callers with random orders of requests, answers, configurations, delays of the loop and closes: a request
 * that was sent whole is answered, or its connection is closed with one stated reason.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import { createRefusal } from '../../src/coordination/requestCompletion.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import { RunStatus } from '../../src/state/types.js';
import {
  abortForwardAnswer,
  endWithConnection,
  type ForwardExchange,
  sendForwardRefusal,
  sendWholeAnswer,
} from '../../src/transport/entry/callers/exchange.js';
import {
  blockThread,
  connectCaller,
  formatRequest,
  type FrontServer,
  type RawCaller,
  startFrontServer,
} from '../fakes/frontServer.js';
import { wait } from '../stand-ins/entryVms.js';

const RUNS = 25;
const CALLERS = 3;
/** A turn of the sockets between two steps. */
const STEP_MS = 4;
/** Bound for the ends of all requests after the last step. */
const END_MS = 2_000;
const REFUSAL = createRefusal(createDiagnostic(Diagnostics.DeadlineExceeded, 1), RunStatus.Unknown);
const MARK = 'end-of-answer';

function begin(exchange: ForwardExchange): void {
  exchange.response.writeHead(200, []);
  exchange.response.write('begun');
}

/** What the event loop does with a request. */
const ANSWERS: Readonly<Record<string, (exchange: ForwardExchange) => void>> = {
  whole: (exchange) => sendWholeAnswer(exchange, 200, [], MARK),
  unframed: (exchange) => {
    endWithConnection(exchange);
    exchange.isEnded = true;
    exchange.response.writeHead(200, []);
    exchange.response.end(MARK);
  },
  refused: (exchange) => sendForwardRefusal(exchange, REFUSAL, PLATFORM_WIRE),
  aborted: (exchange) => abortForwardAnswer(exchange, REFUSAL, PLATFORM_WIRE),
  refusedAfterBegin: (exchange) => {
    begin(exchange);
    sendForwardRefusal(exchange, REFUSAL, PLATFORM_WIRE);
  },
  abortedAfterBegin: (exchange) => {
    begin(exchange);
    abortForwardAnswer(exchange, REFUSAL, PLATFORM_WIRE);
  },
};

interface World {
  readonly front: FrontServer;
  readonly callers: RawCaller[];
  readonly sent: { readonly id: string; readonly caller: RawCaller }[];
  answer: string;
}

const STEPS: Readonly<Record<string, (world: World, value: number) => void>> = {
  send: (world, value) => {
    const caller = world.callers[value % CALLERS]!;
    if (caller.socket.writable && caller.received.closedAtMs === null) {
      const id = `id-${world.sent.length}`;
      world.sent.push({ id, caller });
      caller.socket.write(formatRequest(id));
    }
  },
  setAnswer: (world, value) => {
    const names = Object.keys(ANSWERS);
    world.answer = names[value % names.length]!;
  },
  setIdleTimeout: ({ front }, value) => front.setLimits({ idleTimeoutMs: 1 + value * 50 }),
  setHeaderTimeout: ({ front }, value) => front.setLimits({ headerTimeoutMs: 1 + value * 20 }),
  block: (_world, value) => blockThread(value * 5),
  halfClose: ({ callers }, value) => callers[value % CALLERS]!.socket.end(),
  reset: ({ callers }, value) => callers[value % CALLERS]!.socket.resetAndDestroy(),
  closeIdle: ({ front }) => front.server.closeIdleConnections(),
  expireIdle: ({ front, callers }, value) => {
    const { localPort } = callers[value % CALLERS]!.socket;
    const exchange = [...front.exchanges.values()].find(
      ({ request }) => request.socket.remotePort === localPort,
    );
    // As the idle timer does; its times are too long for a test of many orders.
    if (exchange?.request.socket.timeout) {
      front.server.emit('timeout', exchange.request.socket);
    }
  },
};

/** Returns the number of reasons that are stated for the end of a request without an answer. */
function countReasons({ front }: World, id: string): number {
  const exchange = [...front.exchanges.values()].find(
    ({ callerRequestId }) => callerRequestId === id,
  );
  const lines = front.lines.filter(({ fields }) => fields.request === id);
  const disconnects = front.events.filter(
    (event) =>
      event.kind === EntryEventKind.CallerDisconnected && event.requestId === exchange?.requestId,
  );
  return lines.length + disconnects.length + Number(exchange?.isAborted ?? false);
}

/** Returns whether each caller has all its answers or sees that its connection has ended. */
function areAllEnded({ callers, sent }: World): boolean {
  return callers.every((caller) => {
    const requestCount = sent.filter((request) => request.caller === caller).length;
    const answerCount = caller.received.text.split('HTTP/1.1 ').length - 1;
    return caller.received.closedAtMs !== null || answerCount >= requestCount;
  });
}

/** Plays some steps; returns what is wrong with the ends of the requests. */
async function play(steps: readonly { readonly name: string; readonly value: number }[]) {
  const front = await startFrontServer({ idleTimeoutMs: 1_000 });
  const callers = await Promise.all(Array.from({ length: CALLERS }, () => connectCaller(front)));
  const world: World = { front, callers, sent: [], answer: 'whole' };
  front.onArrival = (exchange) => {
    ANSWERS[world.answer]!(exchange);
  };
  for (const { name, value } of steps) {
    STEPS[name]!(world, value);
    await wait(STEP_MS);
  }
  const deadlineMs = performance.now() + END_MS;
  while (!areAllEnded(world) && performance.now() < deadlineMs) {
    await wait(STEP_MS);
  }
  const open = areAllEnded(world) ? [] : ['a request has no end'];
  await wait(STEP_MS);
  const unstated = [...front.exchanges.values()].filter(
    ({ callerRequestId, isSent }) => countReasons(world, callerRequestId) !== Number(!isSent),
  );
  front.close();
  callers.forEach(({ socket }) => socket.destroy());
  return [...open, ...unstated.map(({ callerRequestId }) => callerRequestId)];
}

describe('a request that was sent whole', () => {
  it('is answered, or its connection is closed with one stated reason, in any order of events', async () => {
    const step = fc.record({
      name: fc.constantFrom(...Object.keys(STEPS), 'send', 'send', 'send', 'setAnswer'),
      value: fc.nat({ max: 20 }),
    });
    await fc.assert(
      fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 25 }), async (steps) => {
        expect(await play(steps)).toEqual([]);
      }),
      { numRuns: RUNS, interruptAfterTimeLimit: 40_000, markInterruptAsFailure: true },
    );
  }, 60_000);
});

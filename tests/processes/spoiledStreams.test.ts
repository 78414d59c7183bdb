/**
 * Tests that a stream which its server spoils in its middle reaches no caller spoiled: it goes on at another server after its last
 * sound event if it may, and ends visibly incomplete if not.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { EventVerdict } from '../../src/protocol/entry/streamJudge.js';
import { SpoilReason } from '../../src/state/entry/spoiledStreams.js';
import { type EntryProcess, startEntryProcess } from '../stand-ins/entryProcess.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { endProcess, waitFor } from '../stand-ins/processes.js';
import {
  encodeSpoiling,
  EVENT_COUNT,
  type Spoiling,
  startSpoilingServer,
  Tail,
} from '../stand-ins/spoilingServer.js';
import { looksComplete, readStream, type StreamResult } from '../stand-ins/streamCaller.js';
import { formatEvents, listStreamForms, type StreamForm } from '../stand-ins/streamForms.js';

const DEADLINE_MS = 15_000;
const HEARTBEAT_MS = 500;
const AFTER = 9;
const FORMS = listStreamForms(AFTER + 1);

let store: PlatformStore;
let entry: EntryProcess;
let callCount = 0;
const closers: (() => void)[] = [];

async function startServer(id: string, hasRun: Set<string>): Promise<void> {
  const { address, close } = await startSpoilingServer(hasRun);
  const born = Date.now();
  let seq = 0;
  const register = (): void => {
    seq += 1;
    const state = { state: 'ready', cold_left_ms: 0, born, seq, zone: 'fd-a', version: 'v1' };
    store.put(`servers/${id}`, { service: 'flow', address, slots: 400, ...state });
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  closers.push(close, () => clearInterval(heartbeat));
}

function call(route: string, spoiling: Spoiling): Promise<StreamResult> {
  callCount += 1;
  const target = `/${route}/x?${encodeSpoiling(spoiling)}`;
  const head = [`GET ${target} HTTP/1.1`, 'Host: h', `X-Attempt-Id: c${callCount}`];
  return readStream(
    entry.address,
    [...head, `X-Deadline-Ms: ${DEADLINE_MS}`, 'Connection: close'],
    false,
  );
}

beforeAll(async () => {
  store = await startPlatformStore();
  const configuration = createConfiguration(1, ['key-1']);
  const route = {
    ...{ name: 'flow', prefix: '/flow/', route_kind: 'streaming', service: 'flow', host: 'h' },
    ...{ timeout_ms: DEADLINE_MS, goal_ms: 1_000, attempts: 3, public: true },
  };
  const resumable = { ...route, name: 'resumed', prefix: '/resumed/', resumable: true };
  store.put('op/config', {
    ...configuration,
    routes: [...configuration.routes, route, resumable],
    services: [...configuration.services, { name: 'flow', max_conns: 400 }],
  });
  const hasRun = new Set<string>();
  await startServer('s1', hasRun);
  await startServer('s2', hasRun);
  entry = await startEntryProcess(store.address, {}, { retry_slack: 10_000 });
  const sound = { form: 'a comment', after: AFTER, tail: Tail.GoesOn, isFramed: true };
  await waitFor('a stream is served', async () => (await call('flow', sound)).status === 200);
});

afterAll(async () => {
  closers.forEach((close) => close());
  await endProcess(entry.vm);
  await store.close();
});

function formatRange(first: number, last: number): string {
  return formatEvents(...Array.from({ length: last - first + 1 }, (_, index) => first + index));
}

interface Expected {
  readonly body: string;
  readonly looksComplete: boolean;
}

/** Calls with both framings of a spoiled run, and expects the same of each. */
async function expectOfBoth(
  route: string,
  spoiling: Omit<Spoiling, 'isFramed'>,
  expected: Expected,
): Promise<void> {
  const results = await Promise.all(
    [true, false].map((isFramed) => call(route, { ...spoiling, isFramed })),
  );
  const seen = results.map((result) => ({
    body: result.body,
    looksComplete: looksComplete(result),
  }));
  expect(seen).toEqual([expected, expected]);
}

const WHOLE: Expected = { body: formatRange(1, EVENT_COUNT), looksComplete: true };
const CUT: Expected = { body: formatRange(1, AFTER), looksComplete: false };
const DROPPED_VERDICTS: ReadonlySet<EventVerdict> = new Set([
  EventVerdict.Idle,
  EventVerdict.Repeated,
]);
const isSpoiled = ({ verdict }: StreamForm): boolean => verdict === EventVerdict.Spoiled;
const SPOILED = FORMS.filter(isSpoiled).flatMap(({ name }) =>
  Object.values(Tail).map((tail) => ({ form: name, tail })),
);
/** Forms that are nothing to callers, or that they have already. */
const DROPPED = [
  ...FORMS.filter(({ verdict }) => DROPPED_VERDICTS.has(verdict)),
  { name: 'blank lines', text: '\n\n\n\n' },
];

describe('a stream that its server spoils', () => {
  it.each(SPOILED)('is cut visibly if it may run only once: $form, then $tail', (spoiling) =>
    expectOfBoth('flow', { ...spoiling, after: AFTER }, CUT),
  );

  it.each(SPOILED)('is whole if it may be resumed: $form, then $tail', (spoiling) =>
    expectOfBoth('resumed', { ...spoiling, after: AFTER }, WHOLE),
  );

  // A wrong number shows only with the events after it where there are none before.
  const FIRST = SPOILED.filter(
    ({ form }) => FORMS.find(({ name }) => name === form)?.reason !== SpoilReason.Skipped,
  );

  it.each(FIRST)('is whole if nothing of it was sent: $form, then $tail', (spoiling) =>
    expectOfBoth('resumed', { ...spoiling, after: 0 }, WHOLE),
  );

  it.each(FIRST)(
    'is rejected before its first event if it may run only once: $form',
    async (row) => {
      const result = await call('flow', { ...row, after: 0, isFramed: true });
      expect(result.status).toBe(502);
    },
  );
});

const HEADS = [
  { name: 'no content type', status: '200 OK', contentType: '' },
  ...[
    'text/plain',
    'application/json',
    'application/octet-stream',
    'nothing',
    'text/event-stream-of-others',
    'text/event-streams',
  ].map((type) => ({ name: type, status: '200 OK', contentType: `Content-Type: ${type}\r\n` })),
  {
    name: 'two content types',
    status: '200 OK',
    contentType: 'Content-Type: text/event-stream\r\nContent-Type: text/plain\r\n',
  },
  ...['gzip', 'identity', 'chunked, gzip'].map((coding) => ({
    name: `the transfer coding ${coding}`,
    status: '200 OK',
    contentType: `Content-Type: text/event-stream\r\nTransfer-Encoding: ${coding}\r\n`,
  })),
  ...['201 Created', '203 Non-Authoritative Information', '206 Partial Content', '302 Found'].map(
    (status) => ({ name: status, status, contentType: 'Content-Type: text/event-stream\r\n' }),
  ),
];
const HEAD_BODIES = ['the next event', 'data without an id', 'a JSON document'];
const HEAD_ROWS = HEADS.flatMap(({ name, ...head }) =>
  HEAD_BODIES.map((form) => ({ name, form, head, after: 0, tail: Tail.Ends })),
);

describe("an answer on a stream's route whose head is not that of a stream", () => {
  it.each(HEAD_ROWS)('is retried whole if that is safe: $name, with $form', ({ name, ...row }) =>
    expectOfBoth('resumed', row, WHOLE),
  );

  it.each(HEAD_ROWS)(
    'is rejected if the request may run only once: $name, with $form',
    async ({ name, ...row }) => {
      const result = await call('flow', { ...row, isFramed: true });
      expect(result.status).toBe(502);
    },
  );
});

describe('a stream that its server does not spoil', () => {
  it.each(DROPPED)('has each event once and nothing else: $name', ({ name }) =>
    expectOfBoth('flow', { form: name, after: AFTER, tail: Tail.GoesOn }, WHOLE),
  );
});

async function countSpoiledStreams(): Promise<number> {
  const text = await (await fetch(`http://${entry.metricsAddress}/metrics`)).text();
  return Number(/^gentiandeck_spoiled_streams_total\{reason="no_number"\} (\d+)$/m.exec(text)?.[1]);
}

describe('the log and the metrics', () => {
  it('name the server and the reason of a spoiled stream, and count it once', async () => {
    const countBefore = await countSpoiledStreams();
    await call('flow', {
      form: 'data without an id',
      after: AFTER,
      tail: Tail.GoesOn,
      isFramed: true,
    });
    const request = `"request":"c${callCount}"`;
    const listLines = (): string[] =>
      entry.vm
        .getOutput()
        .split('\n')
        .filter((line) => line.includes(request) && line.includes('"reason":"no_number"'));
    await waitFor('the line is written', () => Promise.resolve(listLines().length > 0));
    expect(listLines()).toEqual([expect.stringMatching(/"server":"s[12]"/)]);
    expect(listLines()[0]).toContain(`"afterEvent":"${AFTER}"`);
    expect(await countSpoiledStreams()).toBe(countBefore + 1);
  });
});

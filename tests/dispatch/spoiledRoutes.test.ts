/**
 * Tests what callers get of answers of plain services whose end cannot be told from a break, or that are not theirs.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { CommandKind } from '../../src/coordination/events.js';
import { type DispatchVm, type ReceivedDispatch, startDispatchVm } from '../fakes/dispatchVm.js';

const STEP_MS = 5;
const SMALL = 'x'.repeat(100);
const LARGE = 'x'.repeat(400_000);

/** How a service ends its connection after the bytes of an answer. */
const ENDS = {
  order: ({ socket }: ReceivedDispatch) => socket.end(),
  reset: ({ socket }: ReceivedDispatch) => socket.resetAndDestroy(),
} as const;
type End = keyof typeof ENDS;

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

interface RouteCase {
  readonly name: string;
  /** Lines of the head after the status line. */
  readonly head: readonly string[];
  readonly encode: (body: string) => string;
  /** 200 if not set. */
  readonly status?: string;
}

/** Answers that are not complete, or whose end cannot be told. */
const BROKEN_CASES: readonly RouteCase[] = [
  { name: 'neither length nor chunks', head: [], encode: (body) => body },
  {
    name: 'an encoding that is not chunks',
    head: ['transfer-encoding: gzip'],
    encode: (body) => body,
  },
  { name: 'the encoding identity', head: ['transfer-encoding: identity'], encode: (body) => body },
  { name: 'an empty encoding', head: ['transfer-encoding: '], encode: (body) => body },
  {
    name: 'chunks inside another encoding',
    head: ['transfer-encoding: chunked, gzip'],
    encode: (body) => body,
  },
  {
    name: 'an encoding that only looks like chunks',
    head: ['transfer-encoding: xchunked'],
    encode: (body) => body,
  },
  {
    name: 'a length and chunks',
    head: ['content-length: 50', 'transfer-encoding: chunked'],
    encode: (body) => chunk(body),
  },
  {
    name: 'two lengths',
    head: ['content-length: 50', 'content-length: 100'],
    encode: (body) => body,
  },
  { name: 'a length that is too long', head: ['content-length: 900000'], encode: (body) => body },
  { name: 'a length that is no number', head: ['content-length: 1e2'], encode: (body) => body },
  { name: 'chunks without the last one', head: ['transfer-encoding: chunked'], encode: chunk },
  {
    name: 'a chunk that is cut short',
    head: ['transfer-encoding: chunked'],
    encode: (body) => chunk(body).slice(0, -20),
  },
  {
    name: 'a size of a chunk that is no number',
    head: ['transfer-encoding: chunked'],
    encode: (body) => `${chunk(body)}zz\r\n`,
  },
  {
    name: 'a whole other answer among the chunks',
    head: ['transfer-encoding: chunked'],
    encode: (body) => `${chunk(body)}HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx`,
  },
  {
    name: 'the id of another request',
    head: ['content-length: 100', 'x-request-id: other'],
    encode: () => SMALL,
  },
];
const SOUND_CASES: readonly RouteCase[] = [
  {
    name: 'chunks',
    head: ['transfer-encoding: chunked'],
    encode: (body) => `${chunk(body)}0\r\n\r\n`,
  },
  {
    name: 'chunks in capitals',
    head: ['transfer-encoding: Chunked'],
    encode: (body) => `${chunk(body)}0\r\n\r\n`,
  },
];

let vm: DispatchVm;
let current: { readonly testCase: RouteCase; readonly body: string; readonly end: End };

function answer(dispatch: ReceivedDispatch): void {
  const { body, end, testCase } = current;
  const head = [`HTTP/1.1 ${testCase.status ?? 200} OK`, ...testCase.head].join('\r\n');
  dispatch.socket.write(`${head}\r\n\r\n${testCase.encode(body)}`, 'latin1', () => {
    setTimeout(() => ENDS[end](dispatch), STEP_MS);
  });
}

beforeAll(async () => {
  vm = await startDispatchVm(answer);
});

afterAll(() => vm.close());

/** Returns whether an answer with status 200 looks complete to its caller. */
async function looksWhole(path: string, httpVersion: '1.0' | '1.1'): Promise<boolean> {
  const { bytes, isReset } = await vm.send({ kind: null, path, body: '{}', httpVersion });
  const [head = '', ...rest] = bytes.split('\r\n\r\n');
  const body = rest.join('\r\n\r\n');
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  const isChunked = /transfer-encoding: chunked/i.test(head);
  const isEnded = isChunked ? body.endsWith('0\r\n\r\n') || bytes.endsWith('0\r\n\r\n') : !isReset;
  return (
    head.includes(' 200 ') && (length === undefined ? isEnded : Number(length) === body.length)
  );
}

const VARIANTS = [
  { path: '/booking/x', body: SMALL },
  { path: '/booking/x', body: LARGE },
  { path: '/lookup/x', body: SMALL },
  { path: '/lookup/x', body: LARGE },
].flatMap(({ body, path }) =>
  (['order', 'reset'] as const).flatMap((end) =>
    (['1.0', '1.1'] as const).map((httpVersion) => ({ body, end, httpVersion, path })),
  ),
);

/** Statuses that no answer in the protocol has. */
const INVALID_STATUSES = ['000', '001', '099', '600', '999', '20', '2000', '2x0'].map((status) => ({
  status,
}));

describe('an answer with a status that no answer has', () => {
  it.each(INVALID_STATUSES)('does not reach its caller: $status', async ({ status }) => {
    const texts: string[] = [];
    for (const { body, end, httpVersion, path } of VARIANTS) {
      current = { testCase: { ...SOUND_CASES[0]!, status }, body, end };
      const { bytes } = await vm.send({ kind: null, path, body: '{}', httpVersion });
      texts.push(bytes.split('\r\n')[0]!);
    }
    expect(new Set(texts)).toEqual(new Set(['HTTP/1.1 502 Bad Gateway']));
  });
});

describe('an answer of a plain service', () => {
  it.each(BROKEN_CASES)('never looks whole with $name', async (testCase) => {
    const wholes: string[] = [];
    for (const { body, end, httpVersion, path } of VARIANTS) {
      current = { testCase, body, end };
      if (await looksWhole(path, httpVersion)) {
        wholes.push(`${path}, ${body.length} bytes, ${end}, ${httpVersion}`);
      }
    }
    expect(wholes).toEqual([]);
  });

  it.each(SOUND_CASES)('reaches its caller with $name', async (testCase) => {
    const wholes: boolean[] = [];
    for (const { body, httpVersion, path } of VARIANTS) {
      current = { testCase, body, end: 'order' };
      wholes.push(await looksWhole(path, httpVersion));
    }
    expect(wholes).toEqual(VARIANTS.map(() => true));
  });

  it('is logged and counted with the service and the reason if its end cannot be told', async () => {
    const start = vm.commands.length;
    current = { testCase: BROKEN_CASES[0]!, body: SMALL, end: 'order' };
    await looksWhole('/booking/x', '1.1');
    const commands = vm.commands.slice(start);
    const dispatch = commands.find(({ kind }) => kind === CommandKind.Dispatch) as {
      server?: string;
    };
    expect(commands).toContainEqual({
      kind: CommandKind.RecordSpoiledAnswer,
      server: dispatch.server,
      reason: 'no_framing',
    });
  });
});

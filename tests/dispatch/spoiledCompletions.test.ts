/**
 * Tests what callers get of completions whose engines spoil them in the middle: each piece once, and an end that looks whole only
 * after the last one. A break is mended on another engine.
 */
import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { CommandKind, LogLevel } from '../../src/coordination/events.js';
import { REQUEST_ID_HEADER, RESUME_HEADER } from '../../src/protocol/engine.js';
import { CompletionKind } from '../../src/protocol/openai.js';
import {
  type CallerResult,
  type DispatchVm,
  type ReceivedDispatch,
  startDispatchVm,
} from '../fakes/dispatchVm.js';
import {
  type CompletionForm,
  type CompletionPlace,
  encodeChunk,
  encodeRest,
  getTokenText,
  SOUND_FORMS,
  SPOILED_FORMS,
  TOKEN_COUNT,
} from '../stand-ins/completionForms.js';

const STEP_MS = 5;
const MAX_ATTEMPTS = 3;
const PATHS: Readonly<Record<CompletionKind, string>> = {
  [CompletionKind.Text]: '/v1/completions',
  [CompletionKind.Chat]: '/v1/chat/completions',
};
const WHOLE_TEXT = Array.from({ length: TOKEN_COUNT }, (_, i) => getTokenText(i)).join('');

/** How the length of a body is shown. */
const FRAMINGS = ['chunks', 'none', 'length'] as const;
type Framing = (typeof FRAMINGS)[number];
/** What an engine does after it has spoiled a stream. */
const SEQUELS = ['goes on', 'ends in order', 'is reset'] as const;
type Sequel = (typeof SEQUELS)[number];

interface Case {
  readonly form: CompletionForm;
  readonly framing: Framing;
  readonly sequel: Sequel;
  readonly kind: CompletionKind;
  readonly isStreamed: boolean;
  /** Number of sound tokens before the form. */
  readonly tokensBefore: number;
  /** Whether the form comes in a segment with what is before and after it. */
  readonly isJoined: boolean;
  /** Number of dispatches that are spoiled. */
  readonly spoiledDispatches: number;
}

const HEADS: Readonly<Record<Framing, (length: number) => string>> = {
  chunks: () => 'transfer-encoding: chunked\r\n',
  none: () => 'connection: close\r\n',
  length: (length) => `content-length: ${length}\r\n`,
};

function encodeSegment(framing: Framing, text: string): Buffer {
  const body = Buffer.from(text, 'latin1');
  return framing === 'chunks' && body.length > 0
    ? Buffer.concat([Buffer.from(`${body.length.toString(16)}\r\n`), body, Buffer.from('\r\n')])
    : body;
}

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

function getPlace({ headers }: ReceivedDispatch, kind: CompletionKind): CompletionPlace {
  const due = Number(headers.get(RESUME_HEADER));
  return { id: headers.get(REQUEST_ID_HEADER)!, kind, due };
}

/** Writes the answer of an engine to a dispatch. */
async function answer(dispatch: ReceivedDispatch, testCase: Case): Promise<void> {
  const { form, framing, isJoined, kind, sequel, spoiledDispatches, tokensBefore } = testCase;
  const { number, socket } = dispatch;
  const place = getPlace(dispatch, kind);
  const isSpoiled = number <= spoiledDispatches;
  const countBefore = Math.min(tokensBefore, TOKEN_COUNT - 1 - place.due);
  const before = Array.from({ length: isSpoiled ? countBefore : 0 }, (_, i) =>
    encodeChunk({ ...place, due: place.due + i }),
  );
  const due = place.due + before.length;
  const spoil = isSpoiled ? form.write({ ...place, due }) : '';
  const rest = isSpoiled && sequel !== 'goes on' ? '' : encodeRest({ ...place, due });
  const parts = isJoined ? [before.join('') + spoil + rest] : [before.join(''), spoil, rest];
  const length = Buffer.byteLength(parts.join(''), 'latin1');
  const isReset = isSpoiled && sequel === 'is reset';
  socket.write(
    `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n${HEADS[framing](isReset ? length + 9 : length)}\r\n`,
  );
  for (const part of parts.filter((text) => text !== '')) {
    socket.write(encodeSegment(framing, part));
    await wait(STEP_MS);
  }
  if (isReset) {
    socket.resetAndDestroy();
  } else if (framing === 'chunks') {
    socket.write('0\r\n\r\n');
  } else if (framing === 'none') {
    socket.end();
  }
}

interface ReceivedChunk {
  readonly id: string;
  readonly token_index?: number;
  readonly choices: readonly {
    readonly text?: string;
    readonly delta?: { readonly content?: string };
    readonly finish_reason?: string | null;
  }[];
}

/** Removes the chunks of a body; null if the body is not complete. */
function joinChunks(body: string): { readonly text: string; readonly isComplete: boolean } {
  let text = '';
  let rest = Buffer.from(body);
  for (;;) {
    const end = rest.indexOf('\r\n');
    const length = Number.parseInt(rest.subarray(0, Math.max(0, end)).toString(), 16);
    if (end < 0 || Number.isNaN(length) || rest.length < end + 2 + length) {
      return { text, isComplete: false };
    }
    if (length === 0) {
      return { text, isComplete: true };
    }
    text += rest.subarray(end + 2, end + 2 + length).toString();
    rest = rest.subarray(end + 2 + length + 2);
  }
}

/** What a caller makes of an answer. */
interface Reading {
  readonly status: number;
  /** Faults that the caller cannot see. */
  readonly faults: readonly string[];
  readonly isWhole: boolean;
}

function readStream(
  body: string,
  id: string,
  tokenText: (chunk: ReceivedChunk) => string | undefined,
): Reading {
  const { isComplete, text } = joinChunks(body);
  const datas = text.split('\n\n').filter((event) => event !== '');
  const faults: string[] = [];
  let due = 0;
  let isDone = false;
  let isError = false;
  datas.forEach((event) => {
    const data = event.startsWith('data: ') ? event.slice('data: '.length) : '';
    if (isDone || isError) {
      faults.push(`after the end: ${event}`);
    } else if (data === '[DONE]') {
      isDone = true;
    } else {
      const chunk = ((): Partial<ReceivedChunk> & { readonly error?: unknown } => {
        try {
          return JSON.parse(data) as Partial<ReceivedChunk>;
        } catch {
          return {};
        }
      })();
      const received = chunk as ReceivedChunk;
      isError = chunk.error !== undefined;
      if (isError) {
        return;
      }
      if (chunk.id !== id || chunk.choices === undefined) {
        faults.push(`not of this answer: ${event}`);
      } else if (
        chunk.token_index === undefined &&
        tokenText(received) === undefined &&
        chunk.choices[0]?.finish_reason == null
      ) {
        // A chunk without text has no place in the order.
      } else if (chunk.token_index !== due || tokenText(received) !== getTokenText(due)) {
        faults.push(`not piece ${due}: ${event}`);
      } else {
        due += 1;
        if (chunk.choices[0]?.finish_reason != null && due < TOKEN_COUNT) {
          faults.push(`finished at ${due}: ${event}`);
        }
      }
    }
  });
  if (isDone && due !== TOKEN_COUNT) {
    faults.push(`looks whole with ${due} pieces`);
  }
  if (isComplete && !isDone) {
    faults.push(`ends in order without the mark of the end`);
  }
  return { status: 200, faults, isWhole: isDone && isComplete };
}

const TOKEN_TEXTS: Readonly<Record<CompletionKind, (chunk: ReceivedChunk) => string | undefined>> =
  {
    [CompletionKind.Text]: ({ choices }) => choices[0]?.text,
    [CompletionKind.Chat]: ({ choices }) => choices[0]?.delta?.content,
  };

function readWhole(body: string): Reading {
  const { choices } = JSON.parse(body) as {
    choices: readonly { readonly text?: string; readonly message?: { readonly content: string } }[];
  };
  const text = choices[0]?.text ?? choices[0]?.message?.content;
  const faults = text === WHOLE_TEXT ? [] : [`not the whole text: ${text}`];
  return { status: 200, faults, isWhole: faults.length === 0 };
}

function readAnswer({ bytes }: CallerResult, id: string, { isStreamed, kind }: Case): Reading {
  const [head = '', ...rest] = bytes.split('\r\n\r\n');
  const body = rest.join('\r\n\r\n');
  const status = Number(head.split(' ')[1]);
  if (status !== 200) {
    return { status, faults: [], isWhole: false };
  }
  return isStreamed ? readStream(body, id, TOKEN_TEXTS[kind]) : readWhole(body);
}

let vm: DispatchVm;
let current: Case;
let requestCount = 0;
let firstNumber = 0;

beforeAll(async () => {
  vm = await startDispatchVm((dispatch) => {
    const number = dispatch.number - firstNumber;
    answer({ ...dispatch, number }, current).catch(() => {});
  });
});

afterAll(() => vm.close());

function countDispatches(): number {
  return vm.commands.filter(({ kind }) => kind === CommandKind.Dispatch).length;
}

async function play(testCase: Case): Promise<Reading & { readonly dispatches: number }> {
  current = testCase;
  firstNumber = countDispatches();
  requestCount += 1;
  const { isStreamed, kind } = testCase;
  const prompt =
    kind === CompletionKind.Chat ? { messages: [{ role: 'user', content: 'x' }] } : { prompt: 'x' };
  const body = JSON.stringify({
    model: 'model',
    max_tokens: TOKEN_COUNT + 5,
    stream: isStreamed,
    ...prompt,
  });
  const result = await vm.send({ kind, path: PATHS[kind], body });
  const reading = readAnswer(result, `request-${requestCount}.1`, testCase);
  return { ...reading, dispatches: countDispatches() - firstNumber };
}

const DEFAULTS: Omit<Case, 'form'> = {
  framing: 'chunks',
  sequel: 'goes on',
  kind: CompletionKind.Text,
  isStreamed: true,
  tokensBefore: 3,
  isJoined: false,
  spoiledDispatches: 1,
};

function listCases(forms: readonly CompletionForm[], sequels: readonly Sequel[]): Case[] {
  return forms.flatMap((form) =>
    sequels.flatMap((sequel) =>
      FRAMINGS.flatMap((framing) =>
        [true, false].map((isStreamed) => ({ ...DEFAULTS, form, sequel, framing, isStreamed })),
      ),
    ),
  );
}

async function listFailures(
  cases: readonly Case[],
  check: (reading: Awaited<ReturnType<typeof play>>) => readonly string[],
): Promise<string[]> {
  const failures: string[] = [];
  for (const testCase of cases) {
    const { form, framing, isStreamed, sequel } = testCase;
    const found = check(await play(testCase));
    if (found.length > 0) {
      const name = `${form.name}, ${sequel}, ${framing}, ${isStreamed ? 'streamed' : 'whole'}`;
      failures.push(`${name}: ${found.join('; ')}`);
    }
  }
  return failures;
}

describe('a completion whose engine spoils it in the middle', () => {
  it.each(SPOILED_FORMS)(
    'reaches its caller whole from another engine after $name',
    async (form) => {
      const failures = await listFailures(listCases([form], SEQUELS), (reading) => [
        ...reading.faults,
        ...(reading.isWhole ? [] : [`not mended, status ${reading.status}`]),
      ]);
      expect(failures).toEqual([]);
    },
  );

  it.each(SPOILED_FORMS)('ends visibly if all engines send $name', async (form) => {
    const cases = listCases([form], ['goes on']).map((testCase) => ({
      ...testCase,
      tokensBefore: 1,
      spoiledDispatches: MAX_ATTEMPTS,
    }));
    const failures = await listFailures(cases, (reading) => [
      ...reading.faults,
      ...(reading.isWhole ? ['looks whole'] : []),
    ]);
    expect(failures).toEqual([]);
  });

  it.each(SOUND_FORMS)('is not broken off at $name', async (form) => {
    const failures = await listFailures(listCases([form], ['goes on']), (reading) => [
      ...reading.faults,
      ...(reading.isWhole ? [] : ['not whole']),
      ...(reading.dispatches === 1 ? [] : [`${reading.dispatches} dispatches`]),
    ]);
    expect(failures).toEqual([]);
  });

  it('gives its caller each piece once, whatever is drawn', async () => {
    const cases = fc.record({
      form: fc.constantFrom(...SPOILED_FORMS, ...SOUND_FORMS),
      framing: fc.constantFrom(...FRAMINGS),
      sequel: fc.constantFrom(...SEQUELS),
      kind: fc.constantFrom(...Object.values(CompletionKind)),
      isStreamed: fc.boolean(),
      tokensBefore: fc.integer({ min: 1, max: TOKEN_COUNT - 2 }),
      isJoined: fc.boolean(),
      spoiledDispatches: fc.integer({ min: 1, max: 2 }),
    });
    await fc.assert(
      fc.asyncProperty(cases, async (testCase) => {
        const { faults, isWhole } = await play(testCase);
        expect(faults).toEqual([]);
        expect(isWhole).toBe(true);
      }),
      { numRuns: 150, seed: 41 },
    );
  });

  it.each(SPOILED_FORMS)(
    'is logged and counted with the engine and the reason: $name',
    async (form) => {
      const start = vm.commands.length;
      await play({ ...DEFAULTS, form });
      const commands: readonly { readonly kind: string }[] = vm.commands.slice(start);
      const dispatch = vm.commands.slice(start).find(({ kind }) => kind === CommandKind.Dispatch);
      const log = vm.commands
        .slice(start)
        .find((command) => command.kind === CommandKind.Log && command.level === LogLevel.Warn);
      expect(log).toMatchObject({ fields: { server: (dispatch as { server?: string }).server } });
      expect(commands).toContainEqual({
        kind: 'recordSpoiledAnswer',
        server: (dispatch as { server?: string }).server,
        reason: (log as { fields?: { reason?: string } }).fields?.reason,
      });
    },
  );
});

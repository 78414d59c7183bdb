/**
 * Tests which events of a stream's runs belong to it: the sound ones, those that the caller has already, and those that spoil it.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { createEventFrameReader } from '../../src/protocol/entry/eventFrames.js';
import {
  createStreamJudge,
  createStreamPlace,
  EventVerdict,
  type StreamPlace,
} from '../../src/protocol/entry/streamJudge.js';
import { SpoilReason } from '../../src/state/entry/spoiledStreams.js';
import { formatEvents, listStreamForms } from '../stand-ins/streamForms.js';

const { Sound, Spoiled } = EventVerdict;

/** Judges a run, and returns the verdicts on its events, and why it is spoiled. */
function judgeRun(place: StreamPlace, run: string) {
  const judge = createStreamJudge(place);
  const judged = createEventFrameReader(PLATFORM_WIRE.eventAnnotationPattern)
    .addChunk(Buffer.from(run, 'latin1'))
    .map((frame) => ({ id: frame.id, ...judge.judge(frame) }));
  const reason = judged.find((judgement) => judgement.reason !== null)?.reason ?? judge.judgeEnd();
  const passed = judged.flatMap(({ id, verdict }) => (verdict === Sound ? [id] : []));
  return { passed, verdicts: judged.map(({ verdict }) => verdict), reason };
}

const NINE = formatEvents(1, 2, 3, 4, 5, 6, 7, 8, 9);

const FORMS = listStreamForms(10);

describe('an event after nine of a stream', () => {
  it.each(FORMS)('is judged by itself: $name', ({ reason = null, text, verdict }) => {
    const place = createStreamPlace(null);
    const judged = judgeRun(place, NINE + text);
    expect(judged.verdicts[9]).toBe(verdict);
    expect(judged.reason).toBe(reason);
  });

  it.each(FORMS)('is judged alike in a run that goes on after 9: $name', (form) => {
    const place = createStreamPlace(null);
    judgeRun(place, NINE);
    const judged = judgeRun(place, form.text);
    expect(judged.verdicts[0]).toBe(form.verdict);
  });

  const LINE_ENDS = [
    { name: 'LF', lineEnd: '\n' },
    { name: 'CR LF', lineEnd: '\r\n' },
    { name: 'CR', lineEnd: '\r' },
  ];

  it.each(FORMS.flatMap((form) => LINE_ENDS.map((lines) => ({ form, ...lines }))))(
    'is judged alike with lines that end with $name, cut at each byte: $form.name',
    ({ form, lineEnd }) => {
      const lines = (NINE + form.text + formatEvents(10)).replaceAll('\r\n', '\n');
      const text = lines.replaceAll('\n', lineEnd);
      const verdicts = Array.from(text, (_, cut) => {
        const judge = createStreamJudge(createStreamPlace(null));
        const reader = createEventFrameReader(PLATFORM_WIRE.eventAnnotationPattern);
        const chunks = [text.slice(0, cut), text.slice(cut)];
        const frames = chunks.flatMap((chunk) => reader.addChunk(Buffer.from(chunk, 'latin1')));
        return frames.map((frame) => judge.judge(frame).verdict)[9];
      });
      expect(new Set(verdicts)).toEqual(new Set([form.verdict]));
    },
  );
});

const LARGE = 9_007_199_254_740_992n;

const RUNS: readonly {
  readonly name: string;
  readonly startsAfterId?: string;
  readonly runs: readonly string[];
  readonly lastId: string | null;
  readonly reason?: SpoilReason;
}[] = [
  { name: 'of numbers from 1 on', runs: [formatEvents(1, 2, 3)], lastId: '3' },
  { name: 'of numbers from 0 on', runs: [formatEvents(0, 1, 2)], lastId: '2' },
  { name: 'of numbers that rise by ten', runs: [formatEvents(10, 20, 30)], lastId: '30' },
  {
    name: 'of numbers beyond the safe integers, begun anew',
    runs: [formatEvents(LARGE, LARGE + 1n), formatEvents(LARGE, LARGE + 1n, LARGE + 2n)],
    lastId: String(LARGE + 2n),
  },
  {
    name: 'that goes on after its caller asked for it',
    startsAfterId: '4',
    runs: [formatEvents(5, 6)],
    lastId: '6',
  },
  {
    name: 'that begins anew although its caller asked for a later part',
    startsAfterId: '4',
    runs: [formatEvents(1, 2, 3, 4, 5)],
    lastId: '5',
  },
  {
    name: 'that begins anew at the next server',
    runs: [NINE, formatEvents(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)],
    lastId: '10',
  },
  { name: 'that goes on at the next server', runs: [NINE, formatEvents(10, 11)], lastId: '11' },
  { name: 'whose next run has no event', runs: [NINE, ''], lastId: '9' },
  {
    name: 'whose next run begins too late',
    runs: [NINE, formatEvents(11, 12)],
    lastId: '9',
    reason: SpoilReason.Skipped,
  },
  {
    name: 'whose next run ends too early',
    runs: [NINE, formatEvents(1, 2, 3)],
    lastId: '9',
    reason: SpoilReason.EndedEarly,
  },
  {
    name: 'whose next run skips a number that the caller has',
    runs: [NINE, formatEvents(1, 2, 4, 5)],
    lastId: '9',
    reason: SpoilReason.Skipped,
  },
  {
    name: 'whose first number is wrong',
    runs: [formatEvents(500, 1, 2)],
    lastId: '500',
    reason: SpoilReason.FellBack,
  },
  {
    name: 'whose second number is wrong',
    runs: [formatEvents(1, 500, 2)],
    lastId: '1',
    reason: SpoilReason.Skipped,
  },
  {
    name: 'of numbers with gaps that fall back',
    runs: [formatEvents(10, 20, 15)],
    lastId: '20',
    reason: SpoilReason.FellBack,
  },
];

const LINE_ENDS = [
  { lines: 'LF', lineEnd: '\n' },
  { lines: 'CR LF', lineEnd: '\r\n' },
  { lines: 'CR', lineEnd: '\r' },
];
const LINE_END_PAIRS = LINE_ENDS.flatMap((first) =>
  LINE_ENDS.filter((later) => later !== first).map((later) => ({ first, later })),
);

describe('a stream whose later events end their lines in another way', () => {
  it.each(LINE_END_PAIRS)('is spoiled: $first.lines, then $later.lines', ({ first, later }) => {
    const begin = formatEvents(1, 2).replaceAll('\n', first.lineEnd);
    const rest = formatEvents(3, 4).replaceAll('\n', later.lineEnd);
    const expected = { passed: ['1', '2'], reason: SpoilReason.ForeignText };
    expect(judgeRun(createStreamPlace(null), begin + rest)).toMatchObject(expected);
    const place = createStreamPlace(null);
    judgeRun(place, begin);
    expect(judgeRun(place, rest)).toMatchObject({ ...expected, passed: [] });
  });
});

/** Runs of a stream that its caller takes up after an event, and the ids of the events that are passed on. */
const TAKEN_UP: readonly {
  readonly name: string;
  readonly runs: readonly string[];
  readonly passed: readonly string[];
  readonly reason?: SpoilReason;
}[] = [
  { name: 'goes on after it', runs: [formatEvents(5, 6)], passed: ['5', '6'] },
  { name: 'begins anew', runs: [formatEvents(1, 2, 3, 4, 5, 6)], passed: ['5', '6'] },
  { name: 'begins with it', runs: [formatEvents(4, 5, 6)], passed: ['5', '6'] },
  { name: 'begins with 0', runs: [formatEvents(0, 1, 2, 3, 4, 5)], passed: ['5'] },
  { name: 'ends with it', runs: [formatEvents(4)], passed: [] },
  { name: 'has no event', runs: [''], passed: [] },
  {
    name: 'goes on at the next server after events that it has',
    runs: [formatEvents(3, 4), formatEvents(5, 6)],
    passed: ['5', '6'],
  },
  { name: 'skips one', runs: [formatEvents(6, 7)], passed: [], reason: SpoilReason.Skipped },
  { name: 'begins far ahead', runs: [formatEvents(500)], passed: [], reason: SpoilReason.Skipped },
  {
    name: 'begins anew and skips one that is due',
    runs: [formatEvents(3, 4, 6)],
    passed: [],
    reason: SpoilReason.Skipped,
  },
  {
    name: 'begins anew and ends before it',
    runs: [formatEvents(1, 2, 3)],
    passed: [],
    reason: SpoilReason.EndedEarly,
  },
];

describe('a stream that its caller takes up after event 4', () => {
  it.each(TAKEN_UP)('passes on the events that the caller lacks: $name', (row) => {
    const place = createStreamPlace('4');
    const judged = row.runs.map((run) => judgeRun(place, run));
    expect(judged.flatMap(({ passed }) => passed)).toEqual(row.passed);
    expect(judged.at(-1)?.reason).toBe(row.reason ?? null);
    expect(place.lastId).toBe(row.passed.at(-1) ?? null);
  });
});

describe('a stream', () => {
  it.each(RUNS)('$name', ({ lastId, reason = null, runs, startsAfterId = null }) => {
    const place = createStreamPlace(startsAfterId);
    const judged = runs.map((run) => judgeRun(place, run));
    expect(judged.at(-1)?.reason).toBe(reason);
    expect(place.lastId).toBe(lastId);
  });

  it('passes on each event once and in order, whatever its runs repeat, leave out or begin with', () => {
    const runs = fc.array(
      fc.array(
        fc.oneof(
          fc.integer({ min: 1, max: 12 }).map((id) => formatEvents(id)),
          fc.constantFrom(...FORMS.map(({ text }) => text)),
        ),
        { maxLength: 14 },
      ),
      { minLength: 1, maxLength: 4 },
    );
    fc.assert(
      fc.property(runs, (drawn) => {
        const place = createStreamPlace(null);
        const passed: bigint[] = [];
        drawn.forEach((parts) => {
          const judge = createStreamJudge(place);
          const reader = createEventFrameReader(PLATFORM_WIRE.eventAnnotationPattern);
          const frames = [formatEvents(1), ...parts].flatMap((part) =>
            reader.addChunk(Buffer.from(part, 'latin1')),
          );
          const end = frames.findIndex((frame) => {
            const { verdict } = judge.judge(frame);
            if (verdict === Sound) {
              passed.push(BigInt(frame.id!));
            }
            return verdict === Spoiled;
          });
          const untrusted = end < 0 ? [] : frames.slice(end);
          expect(untrusted.map((frame) => judge.judge(frame).verdict)).toEqual(
            untrusted.map(() => Spoiled),
          );
        });
        expect(passed).toEqual(passed.map((_, index) => BigInt(index + 1)));
      }),
    );
  });
});

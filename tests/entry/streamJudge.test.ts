/**
 * Tests which events of a stream's runs belong to it: the sound ones, those that the caller has already, and those that spoil it.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createEventFrameReader } from '../../src/protocol/entry/eventFrames.js';
import {
  createStreamJudge,
  createStreamPlace,
  EventVerdict,
  type StreamPlace,
} from '../../src/protocol/entry/streamJudge.js';
import { SpoilReason } from '../../src/state/entry/spoiledStreams.js';

const { Idle, Repeated, Sound, Spoiled } = EventVerdict;

function formatEvents(...ids: readonly (bigint | number | string)[]): string {
  return ids.map((id) => `id: ${id}\ndata: piece ${id}\n\n`).join('');
}

/** Judges a run, and returns the verdicts on its events, and why it is spoiled. */
function judgeRun(place: StreamPlace, run: string) {
  const judge = createStreamJudge(place);
  const judged = createEventFrameReader()
    .addChunk(Buffer.from(run, 'latin1'))
    .map((frame) => judge.judge(frame));
  const reason = judged.find((judgement) => judgement.reason !== null)?.reason ?? judge.judgeEnd();
  return { verdicts: judged.map(({ verdict }) => verdict), reason };
}

const NINE = formatEvents(1, 2, 3, 4, 5, 6, 7, 8, 9);

/** What a server sends after event 9, and the verdict on the first event of it. */
const FORMS: readonly {
  readonly name: string;
  readonly text: string;
  readonly verdict: EventVerdict;
  readonly reason?: SpoilReason;
}[] = [
  { name: 'the next event', text: formatEvents(10), verdict: Sound },
  { name: 'the next event with leading zeros', text: formatEvents('0010'), verdict: Sound },
  { name: 'empty data', text: 'id: 10\ndata\n\n', verdict: Sound },
  { name: 'an event without space after the colon', text: 'id:10\ndata:x\n\n', verdict: Sound },
  {
    name: 'an event with a type, a retry time and a comment',
    text: ': c\nevent: piece\nretry: 5\nid: 10\ndata: x\n\n',
    verdict: Sound,
  },
  {
    name: 'an event after a line with the versions of weights',
    text: 'x-weight-versions: 7\nid: 10\ndata: x\n\n',
    verdict: Sound,
  },
  { name: 'an event whose last id is right', text: 'id: 4\nid: 10\ndata: x\n\n', verdict: Sound },
  { name: 'a comment', text: ': keep open\n\n', verdict: Idle },
  { name: 'a retry time', text: 'retry: 100\n\n', verdict: Idle },
  { name: 'a line with the versions of weights', text: 'x-weight-versions: 7\n\n', verdict: Idle },
  { name: 'the id of the event before again', text: 'id: 9\n\n', verdict: Idle },
  { name: 'the event again', text: formatEvents(9), verdict: Repeated },
  { name: 'an earlier event', text: formatEvents(3), verdict: Repeated },
  {
    name: 'data without an id',
    text: 'data: x\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoNumber,
  },
  {
    name: 'data with an empty id',
    text: 'id:\ndata: x\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoNumber,
  },
  {
    name: 'data with an id without a value',
    text: 'id\ndata: x\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoNumber,
  },
  {
    name: 'data with a word as id',
    text: 'id: abc\ndata: x\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoNumber,
  },
  {
    name: 'data with a negative id',
    text: 'id: -10\ndata: x\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoNumber,
  },
  {
    name: 'data with a fraction as id',
    text: 'id: 10.5\ndata: x\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoNumber,
  },
  {
    name: 'data with a NUL in its id',
    text: 'id: 1\u00000\ndata: x\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoNumber,
  },
  {
    name: 'data with an id of 50 digits',
    text: `id: ${'1'.repeat(50)}\ndata: x\n\n`,
    verdict: Spoiled,
    reason: SpoilReason.NoNumber,
  },
  {
    name: 'an event whose last id is empty',
    text: 'id: 10\nid:\ndata: x\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoNumber,
  },
  {
    name: 'an id far ahead without data',
    text: 'id: 500\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoData,
  },
  {
    name: 'the next id without data',
    text: 'id: 10\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoData,
  },
  {
    name: 'an empty id without data',
    text: 'id:\n\n',
    verdict: Spoiled,
    reason: SpoilReason.NoData,
  },
  {
    name: 'an event far ahead',
    text: formatEvents(500),
    verdict: Spoiled,
    reason: SpoilReason.Skipped,
  },
  {
    name: 'the event after the next one',
    text: formatEvents(11),
    verdict: Spoiled,
    reason: SpoilReason.Skipped,
  },
  {
    name: 'text with a blank line after it',
    text: 'some text\n\n',
    verdict: Spoiled,
    reason: SpoilReason.ForeignText,
  },
  {
    name: 'one word with a blank line after it',
    text: 'word\n\n',
    verdict: Spoiled,
    reason: SpoilReason.ForeignText,
  },
  {
    name: 'bytes that are no text',
    text: '\u0000\u0001\u00fe\u00ff\n\n',
    verdict: Spoiled,
    reason: SpoilReason.ForeignText,
  },
  {
    name: 'text without a blank line before the next event',
    text: `some text${formatEvents(10)}`,
    verdict: Spoiled,
    reason: SpoilReason.ForeignText,
  },
  {
    name: 'a line of text before the next event',
    text: `some text\n${formatEvents(10)}`,
    verdict: Spoiled,
    reason: SpoilReason.ForeignText,
  },
  {
    name: 'the head of an answer',
    text: 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok',
    verdict: Spoiled,
    reason: SpoilReason.ForeignText,
  },
  {
    name: 'an indented line',
    text: ' id: 10\ndata: x\n\n',
    verdict: Spoiled,
    reason: SpoilReason.ForeignText,
  },
  {
    name: 'a JSON document',
    text: '{"error":"x"}\n\n',
    verdict: Spoiled,
    reason: SpoilReason.ForeignText,
  },
];

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

  it.each(FORMS)('is judged alike with lines that end with CR LF: $name', (form) => {
    const place = createStreamPlace(null);
    const text = (NINE + form.text).replaceAll('\r\n', '\n').replaceAll('\n', '\r\n');
    expect(judgeRun(place, text).verdicts[9]).toBe(form.verdict);
  });
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
          const reader = createEventFrameReader();
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
          expect(end).toBeGreaterThanOrEqual(-1);
        });
        expect(passed).toEqual(passed.map((_, index) => BigInt(index + 1)));
      }),
    );
  });
});

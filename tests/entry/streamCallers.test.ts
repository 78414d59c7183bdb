/**
 * Tests streams from the view of a caller that only splits what it gets at blank lines: whatever servers write between and
 * inside their events, each piece has one id, the ids go on by one, and the data is that of the run.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { createEventFrameReader } from '../../src/protocol/entry/eventFrames.js';
import {
  createStreamJudge,
  createStreamPlace,
  EventVerdict,
} from '../../src/protocol/entry/streamJudge.js';

const EVENT_COUNT = 12;
const MAX_RUNS = 3;
const RUN_COUNT = 3_000;
const LINE_ENDS = ['\n', '\r\n', '\r'] as const;

/** What a server writes besides its events. A line of data cannot be told from those of the run, so none has any. */
const FOREIGN_TEXTS = fc.oneof(
  fc.constantFrom(
    ...['', ' ', '\t', ':', ': c', 'retry: 5', 'retry', 'event: x', 'event', 'foo: bar', 'garbage'],
    ...['id', 'id:', 'id: 0', 'id: 3', 'id: 4', 'id: 500', 'id: x', 'id:\t4', 'ID: 4', ' id: 4'],
    ...['x-weight-versions: 7', 'x-weight-versions: x', 'Content-Type: text/html', '\u0000'],
    ...['\u00ef\u00bb\u00bf', '\u00ef\u00bb\u00bfid: 4', '\u000b', '\u000c', '\u0085', '\u00a0'],
    ...['HTTP/1.1 200 OK', '{"error":"x"}', '0', 'id: 4\u00a0'],
  ),
  fc
    .array(
      fc.integer({ min: 0, max: 255 }).map((byte) => String.fromCharCode(byte)),
      {
        maxLength: 6,
      },
    )
    .map((characters) => characters.join('')),
);

/**
 * A line that takes in the line of the run after it. One that takes in a blank line, and one that takes in the id behind it,
 * would make two events one, which cannot be told from an event with two lines of data.
 */
const OPEN_LINE_PATTERN = /(?:^|[\r\n])(?:\u00ef\u00bb\u00bf)?(?::|retry|event|id)[^\r\n]*$/;

/** Text of any lines, which may end with blank lines or within a line. */
const FOREIGN_PARTS = fc
  .array(fc.tuple(FOREIGN_TEXTS, fc.constantFrom(...LINE_ENDS, '')), { maxLength: 3 })
  .map((lines) => lines.flat().join(''))
  .filter((text) => !OPEN_LINE_PATTERN.test(text));

/** Parts that a run writes, by the number of the line of the run in front of which they stand. */
const FOREIGN_PLACES = fc.array(
  fc.tuple(fc.oneof(fc.nat(3), fc.nat(EVENT_COUNT * 3)), FOREIGN_PARTS),
  { maxLength: 4 },
);

const RUN = fc.record({
  foreign: FOREIGN_PLACES,
  /** Index of the event that the run begins with, counted from the one that is due. */
  beginsAt: fc.constantFrom(0, 0, 0, 0, -1, -3, 1, 2),
  cuts: fc.array(fc.nat(400), { maxLength: 8 }),
  /** Number of bytes after which the run breaks off. */
  breaksAt: fc.option(fc.nat(400)),
});

interface DrawnRun {
  readonly foreign: readonly (readonly [number, string])[];
  readonly beginsAt: number;
  readonly cuts: readonly number[];
  readonly breaksAt: number | null;
}

/** The page doesn't say with which number a stream begins, so any number of its first event is believed. */
function beginSoundly(run: DrawnRun): DrawnRun {
  const foreign = run.foreign.filter(
    ([place, text]) => place > 0 || !/^(?:\u00ef\u00bb\u00bf)?id/m.test(text),
  );
  return { ...run, beginsAt: 0, foreign };
}

/** Writes a run that goes on after an event, as its server sends it. */
function writeRun({ beginsAt, foreign }: DrawnRun, afterId: number, lineEnd: string): string {
  const firstId = Math.max(1, afterId + 1 + beginsAt);
  const lines = Array.from({ length: Math.max(0, EVENT_COUNT + 1 - firstId) }, (_, index) => {
    const id = firstId + index;
    return [`id: ${id}${lineEnd}`, `data: piece ${id}${lineEnd}`, lineEnd];
  }).flat();
  return [...lines, '']
    .map((line, index) => {
      const parts = foreign.filter(([place]) => place === index).map(([, text]) => text);
      return [...parts, line].join('');
    })
    .join('');
}

function cutIntoChunks(text: string, cuts: readonly number[]): Buffer[] {
  const ends = [...cuts.filter((cut) => cut < text.length), text.length];
  const sorted = ends.sort((left, right) => left - right);
  return sorted.map((end, index) => Buffer.from(text.slice(sorted[index - 1] ?? 0, end), 'latin1'));
}

interface Received {
  readonly text: string;
  readonly isWhole: boolean;
}

/** Plays the runs of a stream one after the other, until one ends in order, and returns what its caller gets. */
function playRuns(runs: readonly DrawnRun[], startsAfterId: number, lineEnd: string): Received {
  const place = createStreamPlace(startsAfterId === 0 ? null : String(startsAfterId));
  const parts: string[] = [];
  const isWhole = runs.some((run) => {
    const afterId = Number(place.lastId ?? startsAfterId);
    const text = writeRun(afterId === 0 ? beginSoundly(run) : run, afterId, lineEnd);
    const reader = createEventFrameReader(PLATFORM_WIRE.eventAnnotationPattern);
    const judge = createStreamJudge(place);
    const written = text.slice(0, run.breaksAt ?? text.length);
    const judged = cutIntoChunks(written, run.cuts)
      .flatMap(reader.addChunk)
      .map((frame) => ({ frame, ...judge.judge(frame) }));
    const sound = judged.filter(({ verdict }) => verdict === EventVerdict.Sound);
    parts.push(...sound.map(({ frame }) => frame.bytes.toString('latin1')));
    const isSpoiled = judged.some(({ reason }) => reason !== null) || judge.judgeEnd() !== null;
    return !isSpoiled && run.breaksAt === null && reader.getIncompleteLength() === 0;
  });
  return { text: parts.join(''), isWhole };
}

/** How callers find the blank lines of a stream whose lines end in a known way. */
const SPLITTERS: readonly {
  readonly name: string;
  readonly split: (text: string, lineEnd: string) => readonly (readonly string[])[];
}[] = [
  {
    name: 'knows the line ends of the stream',
    split: (text, lineEnd) => text.split(lineEnd + lineEnd).map((piece) => piece.split(lineEnd)),
  },
  {
    name: 'knows all line ends',
    split: (text) =>
      text
        .replace(/\r\n|\r/g, '\n')
        .split('\n\n')
        .map((piece) => piece.split('\n')),
  },
];

function listValues(lines: readonly string[], name: string): string[] {
  return lines.flatMap((line) =>
    line.startsWith(`${name}: `) ? [line.slice(name.length + 2)] : [],
  );
}

const CALLERS = SPLITTERS.flatMap((splitter) =>
  LINE_ENDS.map((lineEnd) => ({ ...splitter, lineEnd, lines: JSON.stringify(lineEnd) })),
);

describe('a caller that splits a stream at its blank lines', () => {
  it.each(CALLERS)(
    'gets pieces with one id each, which go on by one, and their data: $name, $lines',
    ({ lineEnd, split }) => {
      const streams = fc.record({
        runs: fc.array(RUN, { minLength: 1, maxLength: MAX_RUNS }),
        startsAfterId: fc.constantFrom(0, 0, 4),
      });
      fc.assert(
        fc.property(streams, ({ runs, startsAfterId }) => {
          const { text } = playRuns(runs, startsAfterId, lineEnd);
          const pieces = split(text, lineEnd);
          expect(pieces.at(-1)).toEqual(['']);
          const got = pieces.slice(0, -1).map((lines) => ({
            ids: listValues(lines, 'id'),
            data: listValues(lines, 'data'),
          }));
          const firstId = startsAfterId === 0 ? Number(got[0]?.ids[0]) : startsAfterId + 1;
          const due = got.map((_, index) => firstId + index);
          expect(got).toEqual(due.map((id) => ({ ids: [`${id}`], data: [`piece ${id}`] })));
        }),
        { numRuns: RUN_COUNT },
      );
    },
  );
});

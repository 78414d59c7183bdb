/**
 * Tests which bytes of a block of an event stream are passed on: those of an event, and nothing else.
 */
import { describe, expect, it } from 'vitest';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { createEventFrameReader } from '../../src/protocol/entry/eventFrames.js';

const EVENT = 'id: 10\ndata: x\n\n';

const BLOCKS = [
  { name: 'an event', text: EVENT, passed: [EVENT] },
  { name: 'an event with a type', text: `event: t\n${EVENT}`, passed: [`event: t\n${EVENT}`] },
  {
    name: 'an event with the versions of weights',
    text: `x-weight-versions: 7\n${EVENT}`,
    passed: [`x-weight-versions: 7\n${EVENT}`],
  },
  { name: 'an event after a comment', text: `: c\n${EVENT}`, passed: [EVENT] },
  {
    name: 'an event with a comment in it',
    text: 'id: 10\n:\u0000\u00fe\ndata: x\n\n',
    passed: [EVENT],
  },
  { name: 'an event after a retry time', text: `retry: 5\n${EVENT}`, passed: [EVENT] },
  {
    name: 'an event after a comment and the versions of weights',
    text: `: c\nx-weight-versions: 7\n${EVENT}`,
    passed: [`x-weight-versions: 7\n${EVENT}`],
  },
  { name: 'an event after blank lines', text: `\n\n\n${EVENT}`, passed: [EVENT] },
  {
    name: 'an event after a byte order mark',
    text: `\u00ef\u00bb\u00bf${EVENT}`,
    passed: [EVENT],
  },
  {
    name: 'an event after a byte order mark and a blank line',
    text: `\u00ef\u00bb\u00bf\n${EVENT}`,
    passed: [EVENT],
  },
  { name: 'an event before blank lines', text: `${EVENT}\n\n\n`, passed: [EVENT] },
  {
    name: 'two events with blank lines between them',
    text: `${EVENT}\n\n${EVENT}`,
    passed: [EVENT, EVENT],
  },
  { name: 'a comment', text: ': c\n\n', passed: [''] },
  { name: 'a retry time', text: 'retry: xyz\n\n', passed: [''] },
  { name: 'blank lines', text: '\n\n\n', passed: [''] },
];

const LINE_ENDS = [
  { lines: 'LF', lineEnd: '\n' },
  { lines: 'CR LF', lineEnd: '\r\n' },
  { lines: 'CR', lineEnd: '\r' },
];

describe('what is passed on of a block', () => {
  it.each(BLOCKS.flatMap((row) => LINE_ENDS.map((lines) => ({ ...row, ...lines }))))(
    'are the lines of its event, cut at each byte, with $lines: $name',
    ({ lineEnd, passed, text }) => {
      const bytes = Buffer.from(text.replaceAll('\n', lineEnd), 'latin1');
      const expected = passed.map((part) => part.replaceAll('\n', lineEnd)).join('');
      const results = Array.from(bytes, (_, cut) => {
        const reader = createEventFrameReader(PLATFORM_WIRE.eventAnnotationPattern);
        const frames = [bytes.subarray(0, cut), bytes.subarray(cut)].flatMap(reader.addChunk);
        return frames.map((frame) => frame.bytes.toString('latin1')).join('');
      });
      expect(new Set(results)).toEqual(new Set([expected]));
    },
  );
});

/** Blocks whose lines end in two ways, and whether they are those of an event stream. */
const MIXED = [
  { name: 'CR in an event', text: 'id: 10\rdata: x\n\n', isForeign: true },
  { name: 'CR LF in an event', text: 'id: 10\r\ndata: x\n\n', isForeign: true },
  { name: 'LF in an event', text: 'id: 10\ndata: x\r\n\r\n', isForeign: true },
  { name: 'CR in the blank line', text: 'id: 10\ndata: x\n\r', isForeign: true },
  { name: 'CR after a type', text: 'event: t\rid: 10\ndata: x\n\n', isForeign: true },
  { name: 'CR after a comment', text: ': c\rid: 10\ndata: x\n\n', isForeign: false },
  { name: 'CR between comments', text: ': c\r: c\n\n', isForeign: false },
  { name: 'CR before an event', text: '\r\rid: 10\ndata: x\n\n', isForeign: false },
];

describe('a block with two kinds of line ends', () => {
  it.each(MIXED)('is no event, unless only one is passed on: $name', ({ isForeign, text }) => {
    const reader = createEventFrameReader(PLATFORM_WIRE.eventAnnotationPattern);
    const frames = [text, EVENT].flatMap((part) => reader.addChunk(Buffer.from(part)));
    expect(frames.some((frame) => frame.isForeign)).toBe(isForeign);
    const passed = frames.filter((frame) => !frame.isForeign);
    expect(passed.some(({ bytes }) => bytes.includes('\r'))).toBe(false);
  });
});

/** A block of the longest length that is read, in pieces of a few bytes. */
const LONG_BYTES = 1_000_000;
const MAX_LONG_MS = 2_000;
const PIECES = [1, 2, 3, 5].map((pieceBytes) => ({ pieceBytes }));

describe('a long event', () => {
  it.each(PIECES)(
    'takes time by its length alone, in pieces of $pieceBytes bytes',
    ({ pieceBytes }) => {
      const bytes = Buffer.from(`id: 1\ndata: ${'x'.repeat(LONG_BYTES)}\n\n`);
      const reader = createEventFrameReader(PLATFORM_WIRE.eventAnnotationPattern);
      const startMs = performance.now();
      const frames: string[] = [];
      for (
        let i = 0;
        i < bytes.length && performance.now() - startMs < MAX_LONG_MS;
        i += pieceBytes
      ) {
        const completed = reader.addChunk(bytes.subarray(i, i + pieceBytes));
        frames.push(...completed.map((frame) => frame.bytes.toString('latin1')));
      }
      expect(frames.length).toBe(1);
      expect(frames[0] === bytes.toString('latin1')).toBe(true);
    },
  );
});

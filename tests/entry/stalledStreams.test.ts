/**
 * Tests which bytes of a stream count as progress: whole events with data do, comments and parts of events do not, so that a
 * server that only keeps its connection open counts as stalled.
 */
import { describe, expect, it } from 'vitest';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { createEventFrameReader } from '../../src/protocol/entry/eventFrames.js';

const CASES = [
  { name: 'an event', chunk: 'id: 1\ndata: a\n\n', hasData: [true] },
  { name: 'an event without an id', chunk: 'data: a\n\n', hasData: [true] },
  { name: 'an event with empty data', chunk: 'data\n\n', hasData: [true] },
  {
    name: 'an event of several lines',
    chunk: 'event: x\r\nid: 1\r\ndata: a\r\n\r\n',
    hasData: [true],
  },
  { name: 'a comment', chunk: ': keep open\n\n', hasData: [false] },
  { name: 'an event without data', chunk: 'id: 7\n\n', hasData: [false] },
  { name: 'a part of an event', chunk: 'id: 1\nda', hasData: [] },
  { name: 'a comment before an event', chunk: ':\n\ndata: a\n\n', hasData: [false, true] },
];

interface ExpectedFrame {
  readonly text: string;
  readonly id: string | null;
}

const LINE_END_CASES: readonly {
  readonly name: string;
  readonly stream: string;
  readonly frames: readonly ExpectedFrame[];
}[] = ['\n', '\r\n', '\r'].flatMap((end) => {
  const events = ['1', '2'].map((id) => ({
    text: `id: ${id}${end}data: a${end}${end}`,
    id,
  }));
  const stream = events.map(({ text }) => text).join('');
  const mark = '\u00ef\u00bb\u00bf';
  const name = JSON.stringify(end);
  return [
    { name, stream, frames: events },
    { name: `${name} after a byte order mark`, stream: mark + stream, frames: events },
  ];
});

describe('the events of a stream', () => {
  it.each(LINE_END_CASES)(
    'are the same wherever the stream is cut, with lines that end with $name',
    ({ frames, stream }) => {
      const bytes = Buffer.from(stream, 'latin1');
      const readCutAt = (index: number): (ExpectedFrame | number)[] => {
        const reader = createEventFrameReader(PLATFORM_WIRE.eventAnnotationPattern);
        const chunks = [bytes.subarray(0, index), bytes.subarray(index)];
        const read = chunks.flatMap((chunk) => reader.addChunk(chunk));
        const texts = read.map(({ bytes: part, id }) => ({ text: part.toString('latin1'), id }));
        return [...texts.map(({ id, text }) => ({ text, id })), reader.getIncompleteLength()];
      };
      Array.from({ length: bytes.length }, (_, index) => index).forEach((index) => {
        expect(readCutAt(index)).toEqual([...frames, 0]);
      });
    },
  );

  it('are one where they have neither data nor an id', () => {
    const frames = createEventFrameReader(PLATFORM_WIRE.eventAnnotationPattern).addChunk(
      Buffer.from('\n'.repeat(65_536)),
    );
    expect(frames.map(({ receivedBytes }) => receivedBytes)).toEqual([65_536]);
  });

  it.each(CASES)('count as progress if they have data: $name', ({ chunk, hasData }) => {
    const frames = createEventFrameReader(PLATFORM_WIRE.eventAnnotationPattern).addChunk(
      Buffer.from(chunk),
    );
    expect(frames.map((frame) => frame.hasData)).toEqual(hasData);
  });
});

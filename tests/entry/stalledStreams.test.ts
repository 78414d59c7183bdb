/**
 * Tests which bytes of a stream count as progress: whole events with data do, comments and parts of events do not, so that a
 * server that only keeps its connection open counts as stalled.
 */
import { describe, expect, it } from 'vitest';
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

describe('the events of a stream', () => {
  it.each(CASES)('count as progress if they have data: $name', ({ chunk, hasData }) => {
    const frames = createEventFrameReader().addChunk(Buffer.from(chunk));
    expect(frames.map((frame) => frame.hasData)).toEqual(hasData);
  });
});

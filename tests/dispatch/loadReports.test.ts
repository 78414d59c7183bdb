/**
 * Tests that no load report of an engine is taken for one that it cannot be: routing and placement rest on it.
 */
import { describe, expect, it } from 'vitest';
import { decodeLoadReport } from '../../src/protocol/engine.js';

const SOUND = {
  running_requests: 2,
  queued_requests: 0,
  used_memory_mb: 10.5,
  loaded_models: ['model@1'],
  leaving: false,
};
const SOUND_TEXT = JSON.stringify(SOUND);

const REPORTS = [
  { name: 'a sound report', text: SOUND_TEXT, isTaken: true },
  { name: 'unknown fields', text: JSON.stringify({ ...SOUND, x: 1 }), isTaken: true },
  { name: 'fewer than no requests', text: JSON.stringify({ ...SOUND, running_requests: -5 }) },
  { name: 'half a request', text: JSON.stringify({ ...SOUND, queued_requests: 0.5 }) },
  {
    name: 'a count beyond the safe integers',
    text: JSON.stringify({ ...SOUND, running_requests: 1e300 }),
  },
  { name: 'an infinite count', text: SOUND_TEXT.replace(':2', ':1e400') },
  { name: 'less than no memory', text: JSON.stringify({ ...SOUND, used_memory_mb: -1 }) },
  { name: 'infinite memory', text: SOUND_TEXT.replace('10.5', '1e400') },
  { name: 'a report that is cut short', text: SOUND_TEXT.slice(0, -3) },
  { name: 'two reports', text: SOUND_TEXT + SOUND_TEXT },
  { name: 'text after the report', text: `${SOUND_TEXT}x` },
  { name: 'a head before the report', text: `HTTP/1.1 200 OK\r\n\r\n${SOUND_TEXT}` },
];

describe('a load report', () => {
  it.each(REPORTS)('with $name is taken: $isTaken', ({ isTaken = false, text }) => {
    expect(decodeLoadReport(text).isRight()).toBe(isTaken);
  });
});

/**
 * Tests that a collector returns the bytes that were added, and that short pieces do not stay objects of their own.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createByteCollector } from '../../src/protocol/byteCollector.js';

const CASES = [
  { name: 'nothing', lengths: [] },
  { name: 'an empty piece', lengths: [0] },
  { name: 'one short piece', lengths: [5] },
  { name: 'one long piece', lengths: [70_000] },
  { name: 'short pieces that fill a block to its end', lengths: [2_047, 2_047, 2] },
  { name: 'a long piece between short ones', lengths: [1, 5_000, 1, 1, 5_000, 3] },
  { name: 'short pieces that do not fit into a block', lengths: [2_000, 2_000, 2_000] },
  { name: 'single bytes', lengths: Array.from({ length: 10_000 }, () => 1) },
] as const;

/** Creates pieces whose bytes differ from those of their neighbours. */
function createPieces(lengths: readonly number[]): Buffer[] {
  return lengths.map((length, i) => Buffer.alloc(length, i % 251));
}

describe('collected bytes', () => {
  it.each(CASES)('are those that were added, once: $name', ({ lengths }) => {
    const pieces = createPieces(lengths);
    const collector = createByteCollector();
    pieces.forEach(collector.add);
    const expected = Buffer.concat(pieces);
    expect(collector.getLength()).toBe(expected.length);
    expect(collector.take().equals(expected)).toBe(true);
    expect([collector.getLength(), collector.take().length]).toEqual([0, 0]);
  });

  it('are those that were added, in pieces of any lengths', () => {
    const lengths = fc.array(fc.oneof(fc.nat(20), fc.nat(5_000)), { maxLength: 300 });
    fc.assert(
      fc.property(lengths, (each) => {
        const pieces = createPieces(each);
        const collector = createByteCollector();
        pieces.forEach(collector.add);
        expect(collector.take().equals(Buffer.concat(pieces))).toBe(true);
      }),
    );
  });

  it('do not keep the pieces that are short', () => {
    const collector = createByteCollector();
    const references = Array.from({ length: 1_000 }, () => {
      const piece = Buffer.alloc(1, 1);
      collector.add(piece);
      return piece;
    });
    references.forEach((piece) => piece.fill(2));
    const changed = collector.take().filter((byte) => byte === 2);
    expect(changed.length).toBeLessThanOrEqual(1);
  });
});

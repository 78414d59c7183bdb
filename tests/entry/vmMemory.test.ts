/**
 * Tests the account of the bytes that a VM holds.
 */
import { describe, expect, it } from 'vitest';
import {
  createVmMemory,
  getHoldableBytes,
  type HeldMemory,
  MEMORY_SHARES,
  MemoryPurpose,
  MIN_UNFINISHED_MS,
} from '../../src/transport/vmMemory.js';

const SHARE_BYTES = 100;
const PURPOSE = MemoryPurpose.Streams;

/** Creates a memory whose share for streams has the given size. */
function createMemory() {
  return createVmMemory(SHARE_BYTES / MEMORY_SHARES[PURPOSE].fraction);
}

const ENDS = [
  { name: 'one release', end: (held: HeldMemory) => held.release() },
  { name: 'two releases', end: (held: HeldMemory) => [held.release(), held.release()] },
  { name: 'a late addition', end: (held: HeldMemory) => [held.release(), held.add(5)] },
  { name: 'a late change', end: (held: HeldMemory) => [held.release(), held.resize(5)] },
];

describe('the memory of a VM', () => {
  it.each(ENDS)('has nothing left of a holder after $name', ({ end }) => {
    const memory = createMemory();
    const held = memory.hold(PURPOSE);
    held.add(60);
    end(held);
    expect(memory.getUsedBytes(PURPOSE)).toBe(0);
  });

  it('gives no more than the share of a purpose, and leaves those of others', () => {
    const memory = createMemory();
    const held = memory.hold(PURPOSE);
    expect([held.add(60), held.add(41), held.add(40)]).toEqual([true, false, true]);
    expect(memory.hold(MemoryPurpose.Answers).add(50)).toBe(true);
  });
});

/** What is held, as a number of bytes per holder, and what has to give way to 50 bytes more of 100. */
const UNFINISHED_CASES = [
  { name: 'the oldest', held: [60, 30], ageMs: MIN_UNFINISHED_MS, dropped: [0] },
  { name: 'as many as it takes', held: [30, 30, 30], ageMs: MIN_UNFINISHED_MS, dropped: [0, 1] },
  { name: 'none while all are young', held: [60, 30], ageMs: MIN_UNFINISHED_MS - 1, dropped: [] },
  { name: 'none that is whole', held: [60, 30], ageMs: MIN_UNFINISHED_MS, dropped: [1], whole: 0 },
];

describe('unfinished data, which would otherwise keep all others from memory for good', () => {
  it.each(UNFINISHED_CASES)('gives way to new data: $name', ({ ageMs, dropped, held, whole }) => {
    let nowMs = 0;
    const memory = createVmMemory(SHARE_BYTES / MEMORY_SHARES[PURPOSE].fraction, () => nowMs);
    const droppedIndexes: number[] = [];
    held.forEach((bytes, index) => {
      const holder = memory.hold(PURPOSE);
      holder.setUnfinished(() => {
        droppedIndexes.push(index);
        holder.release();
      });
      holder.add(bytes);
      if (index === whole) {
        holder.setFinished();
      }
    });
    nowMs = ageMs;
    const leftBytes = held.reduce((sum, bytes, i) => sum + (dropped.includes(i) ? 0 : bytes), 0);
    expect(memory.hold(PURPOSE).makeRoom(50)).toBe(leftBytes <= 50);
    expect(droppedIndexes).toEqual(dropped);
    expect(memory.getUsedBytes(PURPOSE)).toBe(leftBytes);
  });
});

describe('data that no caller waits for', () => {
  it.each([
    { name: 'before what is unfinished', unfinishedBytes: 50, neededBytes: 50, dropped: ['spare'] },
    {
      name: 'alone, if the rest is young',
      unfinishedBytes: 50,
      neededBytes: 60,
      dropped: ['spare'],
    },
    { name: 'not while there is room', unfinishedBytes: 10, neededBytes: 50, dropped: [] },
  ])('gives way to new data, however young: $name', ({ dropped, neededBytes, unfinishedBytes }) => {
    const memory = createMemory();
    const drops: string[] = [];
    const unfinished = memory.hold(PURPOSE);
    unfinished.add(unfinishedBytes);
    unfinished.setUnfinished(() => drops.push('unfinished'));
    const spare = memory.hold(PURPOSE);
    spare.add(40);
    spare.setSpare(() => {
      drops.push('spare');
      spare.release();
    });
    const isRoom = unfinishedBytes + neededBytes <= SHARE_BYTES;
    expect(memory.hold(PURPOSE).makeRoom(neededBytes)).toBe(isRoom);
    expect(drops).toEqual(dropped);
  });

  it('is not dropped once its memory has been given back', () => {
    const memory = createMemory();
    const spare = memory.hold(PURPOSE);
    spare.add(60);
    spare.setSpare(() => expect.unreachable());
    spare.release();
    expect(memory.hold(PURPOSE).makeRoom(SHARE_BYTES)).toBe(true);
  });
});

const BYTES_PER_MB = 1_048_576;

describe('the memory that a VM may hold for others', () => {
  it.each([
    { memoryMb: 350, heldMb: 190 },
    { memoryMb: 250, heldMb: 90 },
    { memoryMb: 128, heldMb: 32 },
  ])('leaves the program its own: $heldMb MB of $memoryMb MB', ({ heldMb, memoryMb }) => {
    expect(getHoldableBytes(memoryMb * BYTES_PER_MB)).toBe(heldMb * BYTES_PER_MB);
  });

  it('is not given out twice', () => {
    const fractions = Object.values(MEMORY_SHARES).map(({ fraction }) => fraction);
    expect(fractions.reduce((sum, fraction) => sum + fraction, 0)).toBeLessThanOrEqual(1);
  });
});

/**
 * Tests when a VM counts as cut off from a service, and as connected again.
 */
import { describe, expect, it } from 'vitest';
import {
  createServiceReach,
  recordProbed,
  recordReached,
  recordUnreached,
  type ServiceReach,
} from '../../src/state/entry/serviceReach.js';

const NOW_MS = 1_000;

function loseServers(reach: ServiceReach, serverIds: readonly string[], serverCount: number): void {
  serverIds.forEach((id) => recordUnreached(reach, id, serverCount, NOW_MS));
}

describe('a VM', () => {
  it.each([
    { name: 'the last server is leaving', serverCount: 0, unreached: ['a'], isCutOff: false },
    { name: 'the only server', serverCount: 1, unreached: ['a'], isCutOff: true },
    { name: 'one of two servers', serverCount: 2, unreached: ['a'], isCutOff: false },
    { name: 'one of two servers twice', serverCount: 2, unreached: ['a', 'a'], isCutOff: false },
    { name: 'two of two servers', serverCount: 2, unreached: ['a', 'b'], isCutOff: true },
    { name: 'two of nine servers', serverCount: 9, unreached: ['a', 'b'], isCutOff: false },
    { name: 'three of nine servers', serverCount: 9, unreached: ['a', 'b', 'c'], isCutOff: true },
  ])('is cut off by the servers that it cannot connect to: $name', (row) => {
    const reach = createServiceReach();
    loseServers(reach, row.unreached, row.serverCount);
    expect(reach.cutOffSinceMs !== null).toBe(row.isCutOff);
  });

  it('is not cut off while a server answers between failed connects', () => {
    const reach = createServiceReach();
    loseServers(reach, ['a', 'b'], 9);
    recordReached(reach, NOW_MS);
    loseServers(reach, ['c', 'd'], 9);
    expect(reach.cutOffSinceMs).toBeNull();
  });

  it.each([
    { name: 'one of many', probes: ['a'], serverCount: 9, isCutOff: true },
    { name: 'the same one twice', probes: ['a', 'a'], serverCount: 9, isCutOff: true },
    { name: 'two of many', probes: ['a', 'b'], serverCount: 9, isCutOff: false },
    { name: 'the only one', probes: ['a'], serverCount: 1, isCutOff: false },
    { name: 'two with a failure between', probes: ['a', '', 'b'], serverCount: 9, isCutOff: true },
  ])('is connected again by the servers that probes reach: $name', (row) => {
    const reach = createServiceReach();
    loseServers(reach, ['a', 'b', 'c'], 3);
    row.probes.forEach((id) => recordProbed(reach, id, id !== '', row.serverCount, NOW_MS));
    expect(reach.cutOffSinceMs !== null).toBe(row.isCutOff);
  });
});

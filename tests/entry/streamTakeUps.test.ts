/**
 * Tests that a stream which its caller takes up again goes on only at the software version that began it.
 */
import { describe, expect, it } from 'vitest';
import { createTestEntry } from './fixtures.js';
import {
  advance,
  beginStreams,
  createServers,
  createStreamFleet,
  killVms,
  leave,
  setServers,
  startVm,
  type StreamFleet,
  takeUp,
  TakeUpOutcome,
} from './streamFleet.js';

const { NotRun, SameVersion } = TakeUpOutcome;
const STREAM_COUNT = 8;
/** Longer than a stream of the test routes may last. */
const STREAM_LIFE_MS = 31_000;

type Fleet = StreamFleet;

/** Starts streams at one VM, whose callers leave, and takes them up after some steps. */
function playTakeUps(
  fleet: Fleet,
  takeUpAt: string,
  prepare: (fleet: Fleet) => void = () => {},
): TakeUpOutcome[] {
  const begun = beginStreams(fleet, 'a', STREAM_COUNT);
  advance(fleet, 1_000);
  begun.forEach(({ requestId }) => leave(fleet, 'a', requestId));
  prepare(fleet);
  return begun.map((request) => takeUp(fleet, takeUpAt, request).outcome);
}

/** Kills and starts all VMs, with other servers when they are back if some are given. */
function restartAll(fleet: Fleet, versions?: readonly string[]): void {
  const vmIds = [...fleet.vms.keys()];
  killVms(fleet, vmIds);
  if (versions !== undefined) {
    setServers(fleet, createServers(versions));
  }
  advance(fleet, 1_000);
  vmIds.forEach((vmId) => startVm(fleet, vmId));
  advance(fleet, 400);
}

const MIXED = ['v1', 'v2', 'v1', 'v2'];

interface Row {
  readonly name: string;
  readonly versions: readonly string[];
  readonly play: (fleet: Fleet) => TakeUpOutcome[];
  readonly expected: TakeUpOutcome;
}

const ROWS: readonly Row[] = [
  {
    name: 'at the VM that began it',
    versions: MIXED,
    play: (fleet) => playTakeUps(fleet, 'a'),
    expected: SameVersion,
  },
  {
    name: 'at another VM',
    versions: MIXED,
    play: (fleet) => playTakeUps(fleet, 'b'),
    expected: SameVersion,
  },
  {
    name: 'at the VM that began it, which was restarted',
    versions: MIXED,
    play: (fleet) =>
      playTakeUps(fleet, 'a', () => {
        killVms(fleet, ['a']);
        startVm(fleet, 'a');
        advance(fleet, 400);
      }),
    expected: SameVersion,
  },
  {
    name: 'after all VMs were killed at once',
    versions: MIXED,
    play: (fleet) => playTakeUps(fleet, 'b', restartAll),
    expected: SameVersion,
  },
  {
    name: 'after all VMs were killed at once, with streams under way',
    versions: MIXED,
    play: (fleet) => {
      const begun = beginStreams(fleet, 'a', STREAM_COUNT);
      advance(fleet, 1_000);
      restartAll(fleet);
      return begun.map((request) => takeUp(fleet, 'b', request).outcome);
    },
    expected: SameVersion,
  },
  {
    name: 'twice, leaving in between',
    versions: MIXED,
    play: (fleet) => {
      const begun = beginStreams(fleet, 'a', STREAM_COUNT);
      advance(fleet, 1_000);
      begun.forEach(({ requestId }) => leave(fleet, 'a', requestId));
      const second = begun.map((request) => takeUp(fleet, 'b', request).request);
      advance(fleet, 500);
      second.forEach(({ requestId }) => leave(fleet, 'b', requestId));
      return second.map((request) => takeUp(fleet, 'a', request).outcome);
    },
    expected: SameVersion,
  },
  {
    name: 'begun before a second version came',
    versions: ['v1', 'v1'],
    play: (fleet) =>
      playTakeUps(fleet, 'b', () => {
        setServers(fleet, createServers(MIXED));
        advance(fleet, 1_000);
      }),
    expected: SameVersion,
  },
  {
    name: 'after the servers of its version have left',
    versions: ['v1', 'v1'],
    play: (fleet) =>
      playTakeUps(fleet, 'b', () => {
        setServers(fleet, createServers(MIXED));
        advance(fleet, 1_000);
        setServers(fleet, createServers(['v2', 'v2']));
      }),
    expected: NotRun,
  },
  {
    name: 'after the servers of its version have left and all VMs were killed',
    versions: ['v1', 'v1'],
    play: (fleet) =>
      playTakeUps(fleet, 'b', () => {
        setServers(fleet, createServers(MIXED));
        advance(fleet, 1_000);
        restartAll(fleet, ['v2', 'v2']);
      }),
    expected: NotRun,
  },
  {
    name: 'after the servers at its addresses came back with another version',
    versions: ['v1', 'v1'],
    play: (fleet) =>
      playTakeUps(fleet, 'a', () => {
        const servers = ['e1', 'e2'].map((id) =>
          createTestEntry(id, 'llm', { softwareVersion: 'v2', bornAtWallMs: 2 }),
        );
        setServers(fleet, servers);
      }),
    expected: NotRun,
  },
  {
    name: 'after its version has left and come back',
    versions: ['v1', 'v1'],
    play: (fleet) =>
      playTakeUps(fleet, 'b', () => {
        setServers(fleet, createServers(['v2', 'v2']));
        advance(fleet, 1_000);
        setServers(fleet, createServers(['v2', 'v1']));
        advance(fleet, 1_000);
      }),
    expected: SameVersion,
  },
  {
    name: 'by a request that names no request',
    versions: MIXED,
    play: (fleet) => {
      const begun = beginStreams(fleet, 'a', STREAM_COUNT);
      return begun.map(
        (request) => takeUp(fleet, 'a', request, { resumedRequestId: null }).outcome,
      );
    },
    expected: NotRun,
  },
  {
    name: 'by a request that names one that never ran',
    versions: MIXED,
    play: (fleet) => {
      const begun = beginStreams(fleet, 'a', STREAM_COUNT);
      return begun.map(
        (request) => takeUp(fleet, 'b', request, { resumedRequestId: 'none' }).outcome,
      );
    },
    expected: NotRun,
  },
  {
    name: 'with one version in service',
    versions: ['v1', 'v1'],
    play: (fleet) => playTakeUps(fleet, 'b'),
    expected: SameVersion,
  },
  {
    name: 'with one version in service, after all VMs were killed at once',
    versions: ['v1', 'v1'],
    play: (fleet) => playTakeUps(fleet, 'b', restartAll),
    expected: SameVersion,
  },
  {
    name: 'with one version in service for longer than a stream may last',
    versions: MIXED,
    play: (fleet) => {
      setServers(fleet, createServers(['v2', 'v2']));
      advance(fleet, STREAM_LIFE_MS);
      return playTakeUps(fleet, 'b');
    },
    expected: SameVersion,
  },
];

describe('a stream that its caller takes up', () => {
  it.each(ROWS)(
    'goes on only at the version that began it: $name',
    ({ expected, play, versions }) => {
      const fleet = createStreamFleet(['a', 'b'], createServers(versions));
      expect(play(fleet)).toEqual(Array.from({ length: STREAM_COUNT }, () => expected));
    },
  );
});

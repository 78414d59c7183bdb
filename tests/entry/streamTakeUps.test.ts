/**
 * Tests that a stream which its caller takes up again goes on only at the software version that began it.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { ForwardPhase } from '../../src/coordination/entry/state.js';
import { RunStatus } from '../../src/state/types.js';
import { createTestEntry } from './fixtures.js';
import {
  advance,
  beginStreams,
  createServers,
  createStreamFleet,
  killVms,
  leave,
  restoreStore,
  sendTakeUp,
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
    name: 'at the VM that began it, restarted',
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
    name: 'all VMs killed at once',
    versions: MIXED,
    play: (fleet) => playTakeUps(fleet, 'b', restartAll),
    expected: SameVersion,
  },
  {
    name: 'all VMs killed with streams under way',
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
    name: 'a second version since',
    versions: ['v1', 'v1'],
    play: (fleet) =>
      playTakeUps(fleet, 'b', () => {
        setServers(fleet, createServers(MIXED));
        advance(fleet, 1_000);
      }),
    expected: SameVersion,
  },
  {
    name: 'its version gone',
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
    name: 'its version gone, all VMs killed at once',
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
    name: 'another version at its addresses',
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
    name: 'its version gone and back',
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
    name: 'no request named',
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
    name: 'a request named that never ran',
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
    name: 'one version only',
    versions: ['v1', 'v1'],
    play: (fleet) => playTakeUps(fleet, 'b'),
    expected: SameVersion,
  },
  {
    name: 'one version only, all VMs killed',
    versions: ['v1', 'v1'],
    play: (fleet) => playTakeUps(fleet, 'b', restartAll),
    expected: SameVersion,
  },
  {
    name: 'one version only for a stream life',
    versions: MIXED,
    play: (fleet) => {
      setServers(fleet, createServers(['v2', 'v2']));
      advance(fleet, STREAM_LIFE_MS);
      return playTakeUps(fleet, 'b');
    },
    expected: SameVersion,
  },
  {
    name: 'then one version, all VMs killed',
    versions: MIXED,
    play: (fleet) => {
      beginStreams(fleet, 'a', STREAM_COUNT);
      advance(fleet, 1_000);
      setServers(fleet, createServers(['v2', 'v2']));
      advance(fleet, STREAM_LIFE_MS);
      const begun = beginStreams(fleet, 'a', STREAM_COUNT);
      restartAll(fleet);
      const changes = { resumedRequestId: null };
      return begun.map((request) => takeUp(fleet, 'b', request, changes).outcome);
    },
    expected: SameVersion,
  },
  {
    name: 'store away, at another VM',
    versions: MIXED,
    play: (fleet) => {
      fleet.isStoreAway = true;
      return playTakeUps(fleet, 'b');
    },
    expected: NotRun,
  },
  {
    name: 'store away, at the VM that began it',
    versions: MIXED,
    play: (fleet) => {
      fleet.isStoreAway = true;
      return playTakeUps(fleet, 'a');
    },
    expected: SameVersion,
  },
  {
    name: 'store away for a while',
    versions: MIXED,
    play: (fleet) => {
      fleet.isStoreAway = true;
      return playTakeUps(fleet, 'b', () => {
        fleet.isStoreAway = false;
        advance(fleet, 1_500);
      });
    },
    expected: SameVersion,
  },
  {
    name: 'store away, one version only',
    versions: ['v1', 'v1'],
    play: (fleet) => {
      fleet.isStoreAway = true;
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

describe('a VM', () => {
  it('asks the store for nothing while one version is in service, but once at its start', () => {
    const fleet = createStreamFleet(['a'], createServers(['v1', 'v1']));
    const begun = beginStreams(fleet, 'a', STREAM_COUNT);
    advance(fleet, STREAM_LIFE_MS);
    begun.forEach((request) => takeUp(fleet, 'a', request));
    expect(fleet.storeCalls).toEqual([EntryCommandKind.ReadStreamOrigins]);
  });

  it.each(['a', 'b'])(
    'makes few calls to the store for many take-ups of unknown streams: %s',
    (vmId) => {
      const fleet = createStreamFleet(['a', 'b'], createServers(MIXED));
      beginStreams(fleet, 'a', 1);
      advance(fleet, 1_000);
      fleet.storeCalls.splice(0);
      const requests = Array.from({ length: 50 }, () => sendTakeUp(fleet, vmId, 'none'));
      advance(fleet, 1_000);
      const { refusals } = fleet.vms.get(vmId)!;
      expect(requests.map(({ requestId }) => refusals.get(requestId))).toEqual(
        requests.map(() => RunStatus.NotRun),
      );
      // The read of the first request ends before the others arrive.
      const reads = Array.from({ length: 3 }, () => EntryCommandKind.ReadStreamOrigins);
      expect(fleet.storeCalls).toEqual(reads);
    },
  );

  it('writes at most four batches a second while versions mix', () => {
    const fleet = createStreamFleet(['a'], createServers(MIXED));
    fleet.storeCalls.splice(0);
    Array.from({ length: 100 }, () => {
      beginStreams(fleet, 'a', 1);
      return advance(fleet, 100);
    });
    expect(fleet.storeCalls.length).toBeGreaterThan(10);
    expect(fleet.storeCalls.length).toBeLessThanOrEqual(40);
  });

  it('writes its streams again once the store has been restored from a copy', () => {
    const fleet = createStreamFleet(['a', 'b'], createServers(MIXED));
    const begun = beginStreams(fleet, 'a', STREAM_COUNT);
    advance(fleet, 1_000);
    fleet.batches.clear();
    restoreStore(fleet);
    advance(fleet, 1_000);
    expect(begun.map((request) => takeUp(fleet, 'b', request).outcome)).toEqual(
      begun.map(() => SameVersion),
    );
  });
});

describe('a request that waits for the version of its stream', () => {
  it.each([
    { name: 'its deadline', deadlineMs: 200 },
    { name: 'the end of both reads', deadlineMs: 15_000 },
  ])('is rejected as not run at $name', ({ deadlineMs }) => {
    const fleet = createStreamFleet(['a'], createServers(MIXED));
    const { requestId } = sendTakeUp(fleet, 'a', 'none', { deadlineMs });
    const { refusals, vm } = fleet.vms.get('a')!;
    expect(vm.state.requests.get(requestId)?.phase).toBe(ForwardPhase.Recalling);
    advance(fleet, 400);
    expect(refusals.get(requestId)).toBe(RunStatus.NotRun);
    expect(vm.state.requests.size).toBe(0);
  });
});

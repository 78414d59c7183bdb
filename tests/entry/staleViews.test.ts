/**
 * Tests that a VM out of step joins no stream of a version that it has not heard of, and that callers who take their streams up at
 * VMs in touch are served soon, without a call to the store for each.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import type { ForwardRequest } from '../../src/coordination/entry/events.js';
import { TakeUpResult } from '../../src/coordination/entry/requests/streamState.js';
import { RunStatus } from '../../src/state/types.js';
import {
  advance,
  beginStreams,
  createServers,
  createStreamFleet,
  endTrouble,
  leave,
  reportSuspension,
  sendTakeUp,
  setServers,
  startTrouble,
  type StreamFleet,
  takeUp,
  TakeUpOutcome,
  Trouble,
} from './streamFleet.js';

const { OtherVersion, SameVersion } = TakeUpOutcome;
const STREAM_COUNT = 8;
const OLD = ['v1', 'v1'];
const RELEASED = ['v1', 'v1', 'v1.1', 'v1.1'];
/** A VM in touch goes on with a stream, or rejects it, within this time. */
const MAX_WAIT_MS = 1_000;
/** A VM out of step has rejected what it takes up after this time. */
const MAX_REJECT_MS = 2_100;
const MIN_SHARE = 0.5;

/** Lets servers of a new version join while a VM is out of step, and begins streams there at another VM. */
function releaseBeside(fleet: StreamFleet, trouble: Trouble | null): ForwardRequest[] {
  if (trouble !== null) {
    startTrouble(fleet, 'b', trouble);
  }
  advance(fleet, 100);
  setServers(fleet, createServers(RELEASED));
  const begun = beginStreams(fleet, 'a', STREAM_COUNT);
  begun.forEach(({ requestId }) => leave(fleet, 'a', requestId));
  return begun;
}

function takeUpAll(fleet: StreamFleet, begun: readonly ForwardRequest[]): TakeUpOutcome[] {
  return begun.map((request) => takeUp(fleet, 'b', request).outcome);
}

interface Case {
  readonly name: string;
  readonly trouble: Trouble;
  readonly takeUpAfterMs: number;
  /** Ends the trouble once the streams are to be taken up; null if it lasts. */
  readonly end: ((fleet: StreamFleet) => void) | null;
}

const endAfter =
  (durationMs: number, readAfterMs: number) =>
  (fleet: StreamFleet): void => {
    const act = (): void => endTrouble(fleet, 'b', readAfterMs);
    fleet.plans.push({ atMs: fleet.nowMs + durationMs, act });
  };

const CASES: readonly Case[] = [
  ...[Trouble.Silent, Trouble.Reset].flatMap((trouble) =>
    [100, 600, 1_100, 3_100].map((takeUpAfterMs) => ({
      name: `${trouble} for ${takeUpAfterMs} ms`,
      ...{ trouble, takeUpAfterMs, end: null },
    })),
  ),
  ...[200, 500, 900].map((durationMs) => ({
    name: `silent, healed ${durationMs} ms later`,
    ...{ trouble: Trouble.Silent, takeUpAfterMs: 700, end: endAfter(durationMs, 400) },
  })),
  {
    name: 'suspended and thawed',
    ...{ trouble: Trouble.Silent, takeUpAfterMs: 1_500 },
    end: (fleet) => {
      reportSuspension(fleet, 'b', 1_500);
      endTrouble(fleet, 'b', 400);
    },
  },
];

describe('streams of a version that has just joined', () => {
  it.each(CASES)('do not go on at another version at a VM out of step: $name', (row) => {
    const fleet = createStreamFleet(['a', 'b'], createServers(OLD));
    const begun = releaseBeside(fleet, row.trouble);
    expect(new Set(fleet.versionsByStream.values())).toEqual(new Set(['v1', 'v1.1']));
    advance(fleet, row.takeUpAfterMs);
    row.end?.(fleet);
    expect(takeUpAll(fleet, begun)).not.toContain(OtherVersion);
  });

  it.each(
    [0, 300, 1_000].flatMap((takeUpAfterMs) => [
      { name: 'cut off for 4 s', ...{ takeUpAfterMs, halfMs: 2_000, lostMs: 0 } },
      { name: 'suspended for 4 s', ...{ takeUpAfterMs, halfMs: 200, lostMs: 4_000 } },
    ]),
  )(
    'do not go on at another version once theirs came and left unseen: $name, $takeUpAfterMs ms later',
    ({ halfMs, lostMs, takeUpAfterMs }) => {
      const fleet = createStreamFleet(['a', 'b'], createServers(OLD));
      const begun = releaseBeside(fleet, Trouble.Silent);
      advance(fleet, halfMs);
      setServers(fleet, createServers(OLD));
      advance(fleet, halfMs);
      if (lostMs > 0) {
        reportSuspension(fleet, 'b', lostMs);
      }
      endTrouble(fleet, 'b', 200);
      advance(fleet, takeUpAfterMs);
      const outcomes = takeUpAll(fleet, begun);
      expect(outcomes).not.toContain(OtherVersion);
      expect(outcomes).toContain(SameVersion);
    },
  );

  it.each([Trouble.Silent, Trouble.Reset])(
    'are rejected as not run, which is counted, while a VM stays out of step: %s',
    (trouble) => {
      const fleet = createStreamFleet(['a', 'b'], createServers(OLD));
      const begun = releaseBeside(fleet, trouble);
      const requests = begun.map(({ callerRequestId }) => sendTakeUp(fleet, 'b', callerRequestId));
      advance(fleet, MAX_REJECT_MS);
      const { refusals, vm } = fleet.vms.get('b')!;
      expect(requests.map(({ requestId }) => refusals.get(requestId))).toEqual(
        requests.map(() => RunStatus.NotRun),
      );
      expect([...vm.state.streams.takeUps]).toEqual([[TakeUpResult.Unconfirmed, STREAM_COUNT]]);
    },
  );

  it.each([0, 100, 600, 3_000])('go on at a VM in touch, %d ms later', (takeUpAfterMs) => {
    const fleet = createStreamFleet(['a', 'b'], createServers(OLD));
    const begun = releaseBeside(fleet, null);
    advance(fleet, takeUpAfterMs);
    const outcomes = takeUpAll(fleet, begun);
    expect(outcomes).not.toContain(OtherVersion);
    const served = outcomes.filter((outcome) => outcome === SameVersion);
    expect(served.length / outcomes.length).toBeGreaterThanOrEqual(MIN_SHARE);
  });
});

describe('streams that are taken up at a VM in touch', () => {
  it.each([
    { name: 'one version', versions: OLD, isStoreAway: false, reads: 0 },
    { name: 'one version, store away', versions: OLD, isStoreAway: true, reads: 5 },
    { name: 'two versions', versions: RELEASED, isStoreAway: false, reads: 3 },
  ])('go on soon and with few calls to the store: $name', ({ isStoreAway, reads, versions }) => {
    const fleet = createStreamFleet(['a', 'b'], createServers(versions));
    const begun = beginStreams(fleet, 'a', 50);
    advance(fleet, 1_000);
    fleet.isStoreAway = isStoreAway;
    fleet.storeCalls.splice(0);
    const { serverIds } = fleet.vms.get('b')!;
    const requests = begun.map(({ callerRequestId }) => sendTakeUp(fleet, 'b', callerRequestId));
    advance(fleet, MAX_WAIT_MS);
    expect(requests.filter(({ requestId }) => !serverIds.has(requestId))).toEqual([]);
    const calls = fleet.storeCalls.filter((kind) => kind === EntryCommandKind.ReadStreamOrigins);
    expect(calls.length).toBeLessThanOrEqual(reads);
  });

  it('go on at once at the VM that began them, whatever that has heard since', () => {
    const fleet = createStreamFleet(['a', 'b'], createServers(OLD));
    const begun = beginStreams(fleet, 'b', STREAM_COUNT);
    startTrouble(fleet, 'b', Trouble.Silent);
    const startedAtMs = fleet.nowMs;
    expect(takeUpAll(fleet, begun)).toEqual(begun.map(() => SameVersion));
    expect(fleet.nowMs).toBe(startedAtMs);
  });
});

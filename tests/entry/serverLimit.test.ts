/**
 * Tests that all VMs together keep to the request limits that engines state, and that requests are served beside them.
 * Many VMs and engines run on a virtual time.
 */
import { describe, expect, it } from 'vitest';
import { createEntryFleet, type EntryFleet, type FleetOptions } from '../fakes/entryFleet.js';

/** Time within which VMs learn from each other, as the platform states it. */
const CONTACT_MS = 3_000;
const WINDOW_MS = 4_000;
const TOLERATED_FACTOR = 1.5;
const TOLERATED_REQUESTS = 5;
const START_MS = 2_000;
const END_MS = 22_000;
const DURATION_MS = 34_000;
const MIN_SERVED_FRACTION = 0.9;

interface Scenario extends FleetOptions {
  readonly name: string;
  readonly requestsPerSecond: number;
  /** Limits by the number of the engine; the others state none. */
  readonly limits: readonly number[];
  /** Fraction of the requests that go to the first VM; the others go to a random one. */
  readonly skew: number;
  /** True if the engines without a limit carry the load that the limits leave. */
  readonly isServed: boolean;
  readonly disturb: (fleet: EntryFleet) => void;
}

const BASE: Scenario = {
  name: '',
  seed: 1,
  vmCount: 7,
  engineCount: 13,
  peerLoss: 0,
  isHeadSent: true,
  requestsPerSecond: 90,
  limits: [2.8, 3.3, 2.8, 3.3, 2.8, 3.3, 2.8, 3.3, 2.8],
  skew: 0,
  isServed: true,
  disturb: () => {},
};

function every(fleet: EntryFleet, intervalMs: number, run: (index: number) => void): void {
  for (let i = 0; START_MS + i * intervalMs < END_MS; i += 1) {
    fleet.at(START_MS + i * intervalMs, () => run(i));
  }
}

function play(scenario: Scenario): EntryFleet {
  const fleet = createEntryFleet(scenario);
  const gapMs = 1_000 / scenario.requestsPerSecond;
  for (let atMs = 0; atMs < DURATION_MS; atMs += gapMs) {
    fleet.at(atMs, () => fleet.send(fleet.nextRandom() < scenario.skew ? { vm: 0 } : {}));
  }
  fleet.at(START_MS, () => {
    scenario.limits.forEach((limit, engine) => fleet.setLimit(engine, limit));
  });
  fleet.at(END_MS, () => fleet.engines.forEach((_, engine) => fleet.setLimit(engine, null)));
  scenario.disturb(fleet);
  fleet.runUntil(DURATION_MS);
  return fleet;
}

/** Returns the largest number of requests that an engine got in any window, from a time on. */
function getMaxWindowRequests(arrivedAtMs: readonly number[], fromMs: number): number {
  const counted = arrivedAtMs.filter((atMs) => atMs >= fromMs && atMs < END_MS);
  return Math.max(
    0,
    ...counted.map(
      (atMs) => counted.filter((other) => other >= atMs && other < atMs + WINDOW_MS).length,
    ),
  );
}

function getServedFraction({ requests }: EntryFleet): number {
  const due = requests.filter(
    ({ sentAtMs }) => sentAtMs > START_MS + CONTACT_MS && sentAtMs < DURATION_MS - CONTACT_MS,
  );
  return due.filter(({ isAnswered }) => isAnswered).length / due.length;
}

const SCENARIOS: readonly Scenario[] = [
  { ...BASE, name: 'nine of 13 engines, 7 VMs' },
  { ...BASE, name: 'nine of 13 engines, 9 VMs', vmCount: 9, seed: 2 },
  { ...BASE, name: 'nine of 13 engines, 77 VMs', vmCount: 77, seed: 3 },
  { ...BASE, name: 'limits below one request', limits: [0.2, 0.5, 0.7, 0.2, 0.5, 0.7] },
  { ...BASE, name: 'limits of zero', limits: [0, 0, 0, 0] },
  { ...BASE, name: 'high limits', requestsPerSecond: 150, limits: [12, 12, 12, 12, 12, 12] },
  { ...BASE, name: 'a limit that does not bind', limits: [1_000_000, 500, 100] },
  { ...BASE, name: 'most requests at one VM', skew: 0.7 },
  {
    ...BASE,
    name: 'all engines, far too many requests',
    limits: Array.from({ length: 13 }, () => 3),
    isServed: false,
  },
  { ...BASE, name: 'a third of the messages between VMs are lost', peerLoss: 0.33 },
  {
    ...BASE,
    name: 'limits that change',
    disturb: (fleet) =>
      every(fleet, 6_000, (i) =>
        BASE.limits.forEach((limit, engine) => fleet.setLimit(engine, limit + (i % 2) * 0.4)),
      ),
  },
  {
    ...BASE,
    name: 'besides crashes of engines',
    disturb: (fleet) => every(fleet, 3_000, () => fleet.crash(9 + fleet.nextRandomInt(4))),
  },
];

describe('request limits of engines', () => {
  it.each(SCENARIOS)('are kept by all VMs together until they end: $name', (scenario) => {
    const fleet = play(scenario);
    fleet.engines.slice(0, scenario.limits.length).forEach(({ arrivedAtMs }, engine) => {
      const perSecond = scenario.limits[engine]!;
      const allowed = (perSecond * WINDOW_MS * TOLERATED_FACTOR) / 1_000 + TOLERATED_REQUESTS;
      const most = getMaxWindowRequests(arrivedAtMs, START_MS + CONTACT_MS);
      expect(most).toBeLessThanOrEqual(allowed);
    });
    expect(getServedFraction(fleet)).toBeGreaterThan(
      scenario.isServed ? MIN_SERVED_FRACTION : 0.25,
    );
    const limited = fleet.vms.flatMap(({ backends }) =>
      [...backends.values()].filter(({ limit }) => limit !== null),
    );
    expect(limited).toEqual([]);
  });

  it('are used by the VMs to at least two thirds if there are enough requests', () => {
    const fleet = play({ ...BASE, limits: Array.from({ length: 13 }, () => 3) });
    const fromMs = START_MS + CONTACT_MS;
    const used = fleet.engines.map(
      ({ arrivedAtMs }) =>
        arrivedAtMs.filter((atMs) => atMs >= fromMs && atMs < END_MS).length /
        ((END_MS - fromMs) / 1_000),
    );
    const meanPerSecond = used.reduce((sum, value) => sum + value, 0) / used.length;
    expect(meanPerSecond).toBeGreaterThan(2);
  });

  it('are known to a VM that restarts', () => {
    const fleet = play({
      ...BASE,
      disturb: (f) => {
        f.at(10_000, () => f.restartVm(3));
        f.at(12_000, () => {
          const limited = [...f.vms[3]!.backends.values()].filter(({ limit }) => limit !== null);
          expect(limited).toHaveLength(BASE.limits.length);
        });
      },
    });
    expect(getServedFraction(fleet)).toBeGreaterThan(MIN_SERVED_FRACTION);
  });
});

/**
 * Tests how demand is distributed over engines, and what adding or removing a replica changes.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  waterFill,
  getReplicaGain,
  getReplicaRemovalCost,
  distributeLoads,
} from '../../src/coordination/entry/placement/loadDistribution.js';

const FILL_CASES = [
  { name: 'no demand leaves all engines unchanged', loads: [1, 2], amount: 0, received: [0, 0] },
  {
    name: 'demand below the load difference goes to the less loaded engine',
    loads: [5, 2],
    amount: 2,
    received: [0, 2],
  },
  {
    name: 'demand above the load difference goes to both engines',
    loads: [5, 2],
    amount: 5,
    received: [1, 4],
  },
  {
    name: 'an engine above the common level receives nothing',
    loads: [0, 0, 9],
    amount: 6,
    received: [3, 3, 0],
  },
  { name: 'an empty list of engines receives nothing', loads: [], amount: 4, received: [] },
];

type ModelCases = Readonly<Record<string, { readonly engines: number[]; readonly demand: number }>>;

interface GainCase {
  readonly name: string;
  readonly models: ModelCases;
  readonly model: string;
  readonly engineIndex: number;
  readonly evictedModel: string | null;
  readonly isGain: boolean;
}

function distribute(engineCount: number, models: ModelCases) {
  const holders = new Map(Object.entries(models).map(([model, { engines }]) => [model, engines]));
  return distributeLoads(engineCount, holders, (model) => models[model]!.demand);
}

const GAIN_CASES: readonly GainCase[] = [
  {
    name: 'reduces late load when an idle engine takes half of the load',
    models: { m0: { engines: [0], demand: 100 } },
    model: 'm0',
    engineIndex: 1,
    evictedModel: null,
    isGain: true,
  },
  {
    name: 'does not reduce late load on an engine that is as loaded as the others',
    models: { m0: { engines: [0], demand: 100 }, m1: { engines: [1], demand: 100 } },
    model: 'm0',
    engineIndex: 1,
    evictedModel: null,
    isGain: false,
  },
  {
    name: 'reduces late load when a spare replica of an idle model is evicted',
    models: { m0: { engines: [0], demand: 100 }, m1: { engines: [0, 1], demand: 0 } },
    model: 'm0',
    engineIndex: 1,
    evictedModel: 'm1',
    isGain: true,
  },
  {
    name: 'does not reduce late load when a needed replica of another model is evicted',
    models: { m0: { engines: [0], demand: 60 }, m1: { engines: [1, 2], demand: 140 } },
    model: 'm0',
    engineIndex: 1,
    evictedModel: 'm1',
    isGain: false,
  },
];

describe('the distribution of demand', () => {
  it.each(FILL_CASES)(
    'raises engines to one common level: $name',
    ({ amount, loads, received }) => {
      expect(waterFill(loads, amount)).toEqual(received);
    },
  );

  it('assigns the whole amount, and leaves no engine that receives load above another', () => {
    const loads = fc.array(fc.nat(1_000), { minLength: 1, maxLength: 12 });
    fc.assert(
      fc.property(loads, fc.nat(5_000), (before, amount) => {
        const received = waterFill(before, amount);
        const sum = received.reduce((total, part) => total + part, 0);
        const levels = before.map((load, i) => load + received[i]!);
        const highest = Math.max(0, ...levels.filter((_, i) => received[i]! > 1e-6));
        return Math.abs(sum - amount) < 1e-6 && levels.every((level) => level >= highest - 1e-6);
      }),
    );
  });

  it('assigns models with a single engine first', () => {
    const { loads } = distribute(2, {
      m0: { engines: [0, 1], demand: 100 },
      m1: { engines: [0], demand: 60 },
    });
    expect(loads).toEqual([80, 80]);
  });
});

describe('an additional replica', () => {
  it.each(GAIN_CASES)('$name', ({ evictedModel, isGain, model, models, engineIndex }) => {
    const gain = getReplicaGain(distribute(3, models), model, engineIndex, evictedModel);
    expect(gain > 1e-6).toBe(isGain);
  });

  it('reduces late load by as much as its removal would add', () => {
    const one = distribute(2, { m0: { engines: [0], demand: 100 } });
    const two = distribute(2, { m0: { engines: [0, 1], demand: 100 } });
    expect(getReplicaGain(one, 'm0', 1, null)).toBeCloseTo(getReplicaRemovalCost(two, 'm0', 1));
  });
});

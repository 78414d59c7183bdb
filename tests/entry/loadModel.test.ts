/**
 * How demand spreads over engines, and what one replica more or less changes.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  fillUp,
  getReplicaGain,
  getReplicaLoss,
  spreadLoads,
} from '../../src/coordination/entry/loadModel.js';

const FILL_CASES = [
  { name: 'nothing', loads: [1, 2], amount: 0, taken: [0, 0] },
  { name: 'less than the difference', loads: [5, 2], amount: 2, taken: [0, 2] },
  { name: 'more than the difference', loads: [5, 2], amount: 5, taken: [1, 4] },
  { name: 'three to one level', loads: [0, 0, 9], amount: 6, taken: [3, 3, 0] },
  { name: 'no engine', loads: [], amount: 4, taken: [] },
];

type Demands = Readonly<Record<string, { readonly at: number[]; readonly need: number }>>;

interface GainCase {
  readonly name: string;
  readonly models: Demands;
  readonly model: string;
  readonly place: number;
  readonly dropped: string | null;
  readonly isGain: boolean;
}

function spread(engineCount: number, models: Demands) {
  const holders = new Map(Object.entries(models).map(([model, { at }]) => [model, at]));
  return spreadLoads(engineCount, holders, (model) => models[model]!.need);
}

const GAIN_CASES: readonly GainCase[] = [
  {
    name: 'a free engine takes half of a loaded one',
    models: { m0: { at: [0], need: 100 } },
    model: 'm0',
    place: 1,
    dropped: null,
    isGain: true,
  },
  {
    name: 'an engine as loaded as the others takes nothing away',
    models: { m0: { at: [0], need: 100 }, m1: { at: [1], need: 100 } },
    model: 'm0',
    place: 1,
    dropped: null,
    isGain: false,
  },
  {
    name: 'a spare replica of an idle model makes room at no cost',
    models: { m0: { at: [0], need: 100 }, m1: { at: [0, 1], need: 0 } },
    model: 'm0',
    place: 1,
    dropped: 'm1',
    isGain: true,
  },
  {
    name: 'a replica that is needed elsewhere costs more than it brings',
    models: { m0: { at: [0], need: 60 }, m1: { at: [1, 2], need: 140 } },
    model: 'm0',
    place: 1,
    dropped: 'm1',
    isGain: false,
  },
];

describe('the spread of demand', () => {
  it.each(FILL_CASES)('fills engines up to one level: $name', ({ amount, loads, taken }) => {
    expect(fillUp(loads, amount)).toEqual(taken);
  });

  it('loses nothing, and no engine of a model that takes some is above one that takes none', () => {
    const loads = fc.array(fc.nat(1_000), { minLength: 1, maxLength: 12 });
    fc.assert(
      fc.property(loads, fc.nat(5_000), (before, amount) => {
        const taken = fillUp(before, amount);
        const sum = taken.reduce((total, part) => total + part, 0);
        const levels = before.map((load, i) => load + taken[i]!);
        const highest = Math.max(0, ...levels.filter((_, i) => taken[i]! > 1e-6));
        return Math.abs(sum - amount) < 1e-6 && levels.every((level) => level >= highest - 1e-6);
      }),
    );
  });

  it('places models with one engine first', () => {
    const { loads } = spread(2, { m0: { at: [0, 1], need: 100 }, m1: { at: [0], need: 60 } });
    expect(loads).toEqual([80, 80]);
  });
});

describe('a replica more', () => {
  it.each(GAIN_CASES)('$name', ({ dropped, isGain, model, models, place }) => {
    const gain = getReplicaGain(spread(3, models), model, place, dropped);
    expect(gain > 1e-6).toBe(isGain);
  });

  it('takes away what its loss would add', () => {
    const one = spread(2, { m0: { at: [0], need: 100 } });
    const two = spread(2, { m0: { at: [0, 1], need: 100 } });
    expect(getReplicaGain(one, 'm0', 1, null)).toBeCloseTo(getReplicaLoss(two, 'm0', 1));
  });
});

/**
 * Tests that placement never overcommits an engine's memory and makes every model reachable, even if
 * controllers are killed, frozen and resumed, orders are lost, delayed or duplicated, and reports lag.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { Document, Model } from '../../src/state/types.js';
import { createTestDocument, createTestEngine } from '../fakes/documents.js';
import {
  createSimulatedDomain,
  NO_DOMAIN_FAULTS,
  type SimulatedDomain,
} from '../fakes/simulatedDomain.js';

const ENGINE_MB = 1_000;
const CONVERGENCE_MS = 90_000;

function createModels(version = '1'): Model[] {
  const bases = [300, 250, 250, 200, 200].map((memoryMb, i) => ({
    name: `model-${i}`,
    version,
    memoryMb,
  }));
  const adapters = [0, 0, 1, 2].map((base, i) => ({
    name: `adapter-${i}`,
    version,
    memoryMb: 20,
    baseModel: `model-${base}`,
  }));
  return [...bases, ...adapters];
}

function createDocument(models: readonly Model[], checksFencing: boolean): Document {
  const document = createTestDocument({
    workspaces: [],
    failureDomains: [{ name: 'fd-a', share: 1 }],
    backendServers: ['engine-1', 'engine-2', 'engine-3'].map((name) =>
      createTestEngine(name, { memoryMb: ENGINE_MB, checksFencing }),
    ),
  });
  const vms = { ...document.vms, weightStore: { loadsPerSecond: 4, loadsAtOnce: 3 } };
  return { ...document, vms, models: { models, routes: [] } };
}

function getTags(models: readonly Model[]): string[] {
  return models.map(({ name, version }) => `${name}@${version}`);
}

function getUnreachable(domain: SimulatedDomain, models: readonly Model[]): string[] {
  const reachable = domain.getReachableTags();
  return getTags(models).filter((tag) => !reachable.has(tag));
}

function countOvercommits(domain: SimulatedDomain): number {
  return domain.engines.reduce((sum, engine) => sum + engine.overcommits, 0);
}

function countLoads(domain: SimulatedDomain): number {
  return domain.engines.reduce((sum, engine) => sum + engine.loadCount, 0);
}

const FENCING_CASES = [
  { name: 'engines that check fencing', checksFencing: true },
  { name: 'engines that ignore fencing', checksFencing: false },
];

describe.each(FENCING_CASES)('placement on $name', ({ checksFencing }) => {
  it('loads every model within the limits of the weight store', () => {
    const models = createModels();
    const domain = createSimulatedDomain(createDocument(models, checksFencing), 2, 1);
    domain.runFor(CONVERGENCE_MS);
    expect(getUnreachable(domain, models)).toEqual([]);
    expect(countOvercommits(domain)).toBe(0);
    expect(domain.getMaxConcurrentLoads()).toBeLessThanOrEqual(3);
  });

  it('orders no further loads once every model is placed', () => {
    const models = createModels();
    const domain = createSimulatedDomain(createDocument(models, checksFencing), 2, 1);
    domain.runFor(CONVERGENCE_MS);
    const loadsBefore = countLoads(domain);
    domain.runFor(CONVERGENCE_MS);
    expect(countLoads(domain)).toBe(loadsBefore);
  });

  it('keeps the old version of a model reachable until the new version is loaded', () => {
    const models = createModels();
    const updatedModels = models.map((model) =>
      model.name === 'model-3' ? { ...model, version: '2' } : model,
    );
    const domain = createSimulatedDomain(createDocument(models, checksFencing), 2, 1);
    domain.runFor(CONVERGENCE_MS);
    domain.configure(createDocument(updatedModels, checksFencing), 2);
    let unreachableMs = 0;
    for (let i = 0; i < CONVERGENCE_MS / 100; i += 1) {
      domain.runFor(100);
      const reachable = domain.getReachableTags();
      const isReachable = reachable.has('model-3@1') || reachable.has('model-3@2');
      unreachableMs += isReachable ? 0 : 100;
    }
    expect(unreachableMs).toBe(0);
    expect(domain.getReachableTags().has('model-3@2')).toBe(true);
    expect(domain.getReachableTags().has('model-3@1')).toBe(false);
    expect(countOvercommits(domain)).toBe(0);
  });

  it('keeps every model reachable while the engines are drained one after another', () => {
    const models = createModels();
    const domain = createSimulatedDomain(createDocument(models, checksFencing), 2, 1);
    domain.runFor(CONVERGENCE_MS);
    const loadsBefore = countLoads(domain);
    const unreachable: string[][] = [];
    domain.engines.forEach((engine) => {
      engine.isLeaving = true;
      domain.runFor(CONVERGENCE_MS);
      unreachable.push(getUnreachable(domain, models));
      engine.isLeaving = false;
      domain.runFor(CONVERGENCE_MS);
    });
    expect(unreachable).toEqual([[], [], []]);
    expect(countOvercommits(domain)).toBe(0);
    // At most one load of every model for each engine that is drained.
    expect(countLoads(domain) - loadsBefore).toBeLessThanOrEqual(
      models.length * domain.engines.length,
    );
  });
});

/** One fault, or the end of one, that is injected after a delay. */
interface Fault {
  readonly kind:
    | 'freeze'
    | 'thaw'
    | 'restart'
    | 'storeDown'
    | 'storeUp'
    | 'orders'
    | 'leave'
    | 'stay'
    | 'version';
  readonly index: number;
  readonly afterMs: number;
}

const FAULT_ACTIONS: Readonly<
  Record<Fault['kind'], (domain: SimulatedDomain, index: number, checksFencing: boolean) => void>
> = {
  freeze: (domain, index) => domain.freeze(index % domain.controllers.length),
  thaw: (domain, index) => domain.thaw(index % domain.controllers.length),
  restart: (domain, index) => domain.restart(index % domain.controllers.length),
  storeDown: (domain) => domain.setStoreDown(true),
  storeUp: (domain) => domain.setStoreDown(false),
  orders: (domain, index) =>
    domain.setFaults({
      lossProbability: 0.3,
      maxDelayMs: 1 + index * 3_000,
      duplicateProbability: 0.3,
    }),
  leave: (domain, index) => {
    domain.engines[index % domain.engines.length]!.isLeaving = true;
  },
  stay: (domain, index) => {
    domain.engines[index % domain.engines.length]!.isLeaving = false;
  },
  version: (domain, index, checksFencing) =>
    domain.configure(createDocument(createModels(String(index + 2)), checksFencing), index + 2),
};

function createFaultArbitrary(
  kinds: readonly Fault['kind'][],
  maxAfterMs: number,
): fc.Arbitrary<Fault> {
  return fc.record({
    kind: fc.constantFrom(...kinds),
    index: fc.nat({ max: 5 }),
    afterMs: fc.integer({ min: 50, max: maxAfterMs }),
  });
}

/** Draws of the property below that once left models unreachable. */
interface FaultCase {
  readonly name: string;
  readonly seed: number;
  readonly faults: readonly Fault[];
}

const FAULT_CASES: readonly FaultCase[] = [
  {
    name: 'three versions of the largest models while the controllers freeze one after another',
    seed: 0,
    faults: [
      { kind: 'freeze', index: 0, afterMs: 887 },
      { kind: 'version', index: 0, afterMs: 2_711 },
      { kind: 'freeze', index: 1, afterMs: 1_903 },
      { kind: 'version', index: 1, afterMs: 4_119 },
      { kind: 'freeze', index: 0, afterMs: 9_381 },
    ],
  },
  {
    name: 'three versions while orders are lost and the controllers freeze one after another',
    seed: 1_964_631_978,
    faults: [
      { kind: 'orders', index: 1, afterMs: 4_004 },
      { kind: 'freeze', index: 1, afterMs: 578 },
      { kind: 'stay', index: 0, afterMs: 4_174 },
      { kind: 'version', index: 0, afterMs: 1_745 },
      { kind: 'version', index: 1, afterMs: 5_000 },
      { kind: 'freeze', index: 0, afterMs: 4_500 },
      { kind: 'freeze', index: 0, afterMs: 500 },
    ],
  },
  {
    name: 'an engine refuses a delayed order of an earlier term of the controller',
    seed: 0,
    faults: [
      { kind: 'orders', index: 4, afterMs: 1_104 },
      { kind: 'restart', index: 0, afterMs: 5_397 },
    ],
  },
  {
    name: 'an engine refuses a delayed order after the controller froze and restarted',
    seed: 0,
    faults: [
      { kind: 'orders', index: 4, afterMs: 4_766 },
      { kind: 'freeze', index: 0, afterMs: 3_735 },
      { kind: 'restart', index: 0, afterMs: 500 },
    ],
  },
];

/** Injects the faults, ends them all, configures version 99 and lets the failure domain converge. */
function runFaults(
  faults: readonly Fault[],
  seed: number,
  checksFencing: boolean,
): SimulatedDomain {
  const domain = createSimulatedDomain(createDocument(createModels(), checksFencing), 3, seed);
  faults.forEach(({ afterMs, index, kind }) => {
    domain.runFor(afterMs);
    FAULT_ACTIONS[kind](domain, index, checksFencing);
  });
  domain.setFaults(NO_DOMAIN_FAULTS);
  domain.setStoreDown(false);
  domain.engines.forEach((engine) => {
    engine.isLeaving = false;
  });
  domain.controllers.forEach((_, vm) => domain.thaw(vm));
  domain.configure(createDocument(createModels('99'), checksFencing), 99);
  domain.runFor(CONVERGENCE_MS);
  return domain;
}

function checkConverged(domain: SimulatedDomain): void {
  expect(countOvercommits(domain)).toBe(0);
  expect(getUnreachable(domain, createModels('99'))).toEqual([]);
}

describe.each(FENCING_CASES)('placement after faults on $name', ({ checksFencing }) => {
  it.each(FAULT_CASES)('makes every model reachable: $name', ({ faults, seed }) => {
    checkConverged(runFaults(faults, seed, checksFencing));
  });
});

function checkProperty(fault: fc.Arbitrary<Fault>, checksFencing: boolean): void {
  fc.assert(
    fc.property(fc.array(fault, { maxLength: 14 }), fc.nat(), (faults, seed) => {
      checkConverged(runFaults(faults, seed, checksFencing));
    }),
    {
      numRuns: 100,
      examples: FAULT_CASES.map(({ faults, seed }): [Fault[], number] => [[...faults], seed]),
    },
  );
}

describe('placement under random faults', () => {
  it.each(FENCING_CASES)(
    'never overcommits memory and makes every model reachable afterwards: $name',
    ({ checksFencing }) => {
      const kinds = Object.keys(FAULT_ACTIONS) as Fault['kind'][];
      checkProperty(createFaultArbitrary(kinds, 15_000), checksFencing);
    },
  );

  it.each(FENCING_CASES)(
    'makes every model reachable after quick changes of version: $name',
    ({ checksFencing }) => {
      const kinds = Object.keys(FAULT_ACTIONS) as Fault['kind'][];
      const versions: Fault['kind'][] = ['version', 'version', 'version', 'version'];
      checkProperty(createFaultArbitrary([...kinds, ...versions], 8_000), checksFencing);
    },
  );
});

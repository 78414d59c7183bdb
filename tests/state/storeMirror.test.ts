/**
 * Tests that revisions order by the era of the store first, and that mirrors which read a store, or each other, end with the
 * contents of its latest era, whatever restores of the store lie between.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  createStoreMirror,
  readStoreMirror,
  type StoreMirror,
  updateStoreMirror,
} from '../../src/state/entry/storeMirror.js';
import type { StoredItem } from '../../src/state/storedItems.js';
import {
  createStoreRevision,
  formatStoreRevision,
  getRevisionInEra,
  getStoreEra,
  isStoreEra,
} from '../../src/state/storeRevision.js';

const REVISIONS = [
  { name: 'a store without eras', era: 0, revision: 84, text: '0.84' },
  { name: 'the first era', era: 1, revision: 84, text: '1.84' },
  { name: 'a later era', era: 2, revision: 3, text: '2.3' },
  { name: 'many restores', era: 100_000, revision: 4_000_000_000, text: '100000.4000000000' },
];

const ERAS = [
  { era: 0, isValid: true },
  { era: 7, isValid: true },
  { era: -1, isValid: false },
  { era: 1.5, isValid: false },
  { era: Number.NaN, isValid: false },
  { era: Number.MAX_SAFE_INTEGER, isValid: false },
];

/** Key of the configuration, whose value is its version. */
const CONFIGURATION = 'config';
const KEYS = ['a', 'b', 'c', CONFIGURATION];

function isOlderConfiguration(known: StoredItem, read: StoredItem): boolean {
  return read.key === CONFIGURATION && Number(read.value ?? -1) < Number(known.value);
}

/** A store that can be restored, with its contents after each change of its present era. */
class RestorableStore {
  private era = 1;

  private configurationVersion = 0;

  private history: StoredItem[] = [];

  getRevision(): number {
    return createStoreRevision(this.era, this.history.length + 1);
  }

  write(key: string, isRemoved: boolean): void {
    const version = createStoreRevision(this.era, this.history.length + 2);
    this.configurationVersion += key === CONFIGURATION ? 1 : 0;
    const value = key === CONFIGURATION ? `${this.configurationVersion}` : `${version}`;
    const item = { key, value: isRemoved && key !== CONFIGURATION ? null : value, version };
    this.history.push(item);
  }

  restore(lostChanges: number): void {
    this.era += 1;
    this.history = this.history
      .slice(0, Math.max(0, this.history.length - lostChanges))
      .map((item, i) => ({ ...item, version: createStoreRevision(this.era, i + 2) }));
  }

  list(): StoredItem[] {
    const latest = new Map(this.history.map((item) => [item.key, item]));
    return [...latest.values()].filter(({ value }) => value !== null);
  }

  /** Reads the store as a VM does: a snapshot at first and in a later era, else the changes. */
  read(mirror: StoreMirror): boolean {
    const revision = this.getRevision();
    const isSnapshot = mirror.revision === 0 || getStoreEra(mirror.revision) !== this.era;
    const changed = this.history.filter(({ version }) => version > mirror.revision);
    const items = isSnapshot ? this.list() : changed;
    return updateStoreMirror(mirror, { isSnapshot, items, revision });
  }
}

const STEP = fc.oneof(
  fc.record({
    kind: fc.constant('write' as const),
    key: fc.constantFrom(...KEYS),
    isRemoved: fc.boolean(),
  }),
  fc.record({ kind: fc.constant('restore' as const), lostChanges: fc.integer({ min: 0, max: 6 }) }),
  fc.record({ kind: fc.constant('read' as const), vm: fc.integer({ min: 0, max: 2 }) }),
  fc.record({
    kind: fc.constant('ask' as const),
    vm: fc.integer({ min: 0, max: 2 }),
    relay: fc.integer({ min: 0, max: 2 }),
    /** An answer may arrive after the VM has read the store again. */
    isDelayed: fc.boolean(),
  }),
);

describe('a store revision', () => {
  it.each(REVISIONS)('names its era and the revision in it: $name', ({ era, revision, text }) => {
    const storeRevision = createStoreRevision(era, revision);
    expect(getStoreEra(storeRevision)).toBe(era);
    expect(getRevisionInEra(storeRevision)).toBe(revision);
    expect(formatStoreRevision(storeRevision)).toBe(text);
    expect(createStoreRevision(era + 1, 1)).toBeGreaterThan(storeRevision);
  });

  it.each(ERAS)('has an era that is a small whole number: $era', ({ era, isValid }) => {
    expect(isStoreEra(era)).toBe(isValid);
  });
});

describe('mirrors of a store that is restored', () => {
  it('end with the contents of its latest era, and never show an older configuration', () => {
    fc.assert(
      fc.property(fc.array(STEP, { maxLength: 80 }), (steps) => {
        const store = new RestorableStore();
        const mirrors = [0, 1, 2].map(() => createStoreMirror(isOlderConfiguration));
        const shown = [0, 0, 0];
        const check = (): void =>
          mirrors.forEach((mirror, i) => {
            const version = Number(mirror.items.get(CONFIGURATION)?.value ?? 0);
            expect(version).toBeGreaterThanOrEqual(shown[i]!);
            shown[i] = version;
          });
        steps.forEach((step) => {
          if (step.kind === 'write') {
            store.write(step.key, step.isRemoved);
          } else if (step.kind === 'restore') {
            store.restore(step.lostChanges);
          } else if (step.kind === 'read') {
            expect(store.read(mirrors[step.vm]!)).toBe(true);
          } else {
            const answer = readStoreMirror(mirrors[step.relay]!, mirrors[step.vm]!.revision);
            if (step.isDelayed) {
              store.read(mirrors[step.vm]!);
            }
            if (answer !== null) {
              updateStoreMirror(mirrors[step.vm]!, answer);
            }
          }
          check();
        });
        mirrors.forEach((mirror) => store.read(mirror));
        mirrors.forEach((mirror) => {
          const others = [...mirror.items.values()].filter(({ key }) => key !== CONFIGURATION);
          const expected = store.list().filter(({ key }) => key !== CONFIGURATION);
          expect(others.map(({ key, value }) => [key, value]).sort()).toEqual(
            expected.map(({ key, value }) => [key, value]).sort(),
          );
        });
        check();
      }),
      { numRuns: 500, endOnFailure: true },
    );
  });

  it('take no changes of a later era without its contents', () => {
    const mirror = createStoreMirror();
    const items = [{ key: 'a', value: '1', version: createStoreRevision(1, 5) }];
    updateStoreMirror(mirror, { isSnapshot: true, items, revision: createStoreRevision(1, 5) });
    const changes = { isSnapshot: false, items: [], revision: createStoreRevision(2, 9) };
    expect(updateStoreMirror(mirror, changes)).toBe(false);
    expect(mirror.revision).toBe(createStoreRevision(1, 5));
  });
});

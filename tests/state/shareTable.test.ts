/**
 * Tests of the share table. The units of all running processes must never sum to more than
 * `TOTAL_SHARE_UNITS`, whatever VMs do and however late they receive tables and pledges.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  computeHolding,
  EMPTY_SHARE_TABLE,
  getTargetUnits,
  planShares,
  planRelease,
  type ShareHolding,
  type ShareMember,
  type ShareTable,
  TOTAL_SHARE_UNITS,
} from '../../src/state/shareTable.js';
import type { FailureDomain } from '../../src/state/types.js';

const DOMAINS: readonly FailureDomain[] = [
  { name: 'fd-a', share: 2 },
  { name: 'fd-b', share: 1 },
];
const NO_GONE_VMS: ReadonlySet<string> = new Set();

function createMember(vmId: string, fields: Partial<ShareMember> = {}): ShareMember {
  return {
    vmId,
    incarnation: '1',
    failureDomain: vmId.startsWith('a') ? 'fd-a' : 'fd-b',
    pledge: null,
    isLeaving: false,
    ...fields,
  };
}

/** A plan of the entries of one failure domain by one of its VMs. */
interface PlanStep {
  readonly failureDomain: string;
  readonly members: readonly ShareMember[];
  readonly gone?: ReadonlySet<string>;
}

function plan(table: ShareTable, step: PlanStep): ShareTable {
  const { failureDomain, gone = NO_GONE_VMS, members } = step;
  return planShares(table, { failureDomain, domains: DOMAINS, members, goneVmIds: gone });
}

interface PlanCase {
  readonly name: string;
  readonly steps: readonly PlanStep[];
  readonly expected: Readonly<Record<string, number>>;
}

const A1 = createMember('a1');
const A2 = createMember('a2');
const B1 = createMember('b1');

const PLAN_CASES: readonly PlanCase[] = [
  {
    name: 'gives a lone VM all units of its failure domain',
    steps: [{ failureDomain: 'fd-a', members: [A1] }],
    expected: { a1: 666_666 },
  },
  {
    name: 'divides the units at once among VMs that start together',
    steps: [{ failureDomain: 'fd-a', members: [A1, A2] }],
    expected: { a1: 333_333, a2: 333_333 },
  },
  {
    name: 'gives a new VM no units before the first VM has pledged',
    steps: [
      { failureDomain: 'fd-a', members: [A1] },
      { failureDomain: 'fd-a', members: [A1, A2] },
    ],
    expected: { a1: 666_666, a2: 0 },
  },
  {
    name: 'gives a new VM the units that the pledge of the first VM frees',
    steps: [
      { failureDomain: 'fd-a', members: [A1] },
      {
        failureDomain: 'fd-a',
        members: [createMember('a1', { pledge: { grant: 2, units: 333_333 } }), A2],
      },
    ],
    expected: { a1: 333_333, a2: 333_333 },
  },
  {
    name: 'ignores a pledge for an older grant',
    steps: [
      { failureDomain: 'fd-a', members: [A1] },
      {
        failureDomain: 'fd-a',
        members: [createMember('a1', { pledge: { grant: 1, units: 333_333 } }), A2],
      },
    ],
    expected: { a1: 666_666, a2: 0 },
  },
  {
    name: 'divides the units among failure domains by their shares',
    steps: [
      { failureDomain: 'fd-a', members: [A1] },
      { failureDomain: 'fd-b', members: [B1] },
    ],
    expected: { a1: 666_666, b1: 333_333 },
  },
  {
    name: 'transfers the entry of a VM to its new process',
    steps: [
      { failureDomain: 'fd-a', members: [A1] },
      { failureDomain: 'fd-a', members: [createMember('a1', { incarnation: '2' })] },
    ],
    expected: { a1: 666_666 },
  },
  {
    name: 'removes a VM that its own failure domain finds gone',
    steps: [
      { failureDomain: 'fd-a', members: [A1, A2] },
      { failureDomain: 'fd-a', members: [A2], gone: new Set(['a1']) },
    ],
    expected: { a2: 666_666 },
  },
  {
    name: 'keeps the entry of an unresponsive VM that is not proven gone',
    steps: [
      { failureDomain: 'fd-a', members: [A1, A2] },
      { failureDomain: 'fd-a', members: [A2] },
    ],
    expected: { a1: 333_333, a2: 333_333 },
  },
  {
    name: 'adds no entry for a VM that is shutting down',
    steps: [{ failureDomain: 'fd-a', members: [A1, createMember('a2', { isLeaving: true })] }],
    expected: { a1: 666_666 },
  },
];

const DOMAIN_EDITS: readonly (readonly FailureDomain[])[] = [
  DOMAINS,
  [
    { name: 'fd-a', share: 1 },
    { name: 'fd-b', share: 5 },
  ],
  [{ name: 'fd-b', share: 1 }],
];

/** A process, the table that it last read, and what it has sent so far. */
interface Process {
  member: ShareMember;
  holding: ShareHolding;
  table: ShareTable;
  version: number;
  /** Everything that it has sent to peers about itself, oldest first. */
  sentMembers: ShareMember[];
}

interface Step {
  readonly vm: number;
  readonly action: 'read' | 'tell' | 'plan' | 'readAndPlan' | 'release' | 'restart';
  readonly domains: number;
  /** How many messages old its information about the other VMs is. */
  readonly age: number;
}

const VM_IDS = ['a1', 'a2', 'a3', 'b1', 'b2'];

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  vm: fc.nat({ max: VM_IDS.length - 1 }),
  action: fc.constantFrom<Step['action'][]>(
    'read',
    'read',
    'tell',
    'tell',
    'plan',
    'readAndPlan',
    'readAndPlan',
    'release',
    'restart',
  ),
  domains: fc.nat({ max: DOMAIN_EDITS.length - 1 }),
  age: fc.nat({ max: 4 }),
});

const NO_HOLDING: ShareHolding = { units: 0, pledge: null };

function createProcess(member: ShareMember): Process {
  const table = EMPTY_SHARE_TABLE;
  return { member, holding: NO_HOLDING, table, version: 0, sentMembers: [member] };
}

function adopt(process: Process, domains: readonly FailureDomain[]): void {
  const { holding, member, table } = process;
  const target = getTargetUnits(table.entries, domains, member.failureDomain);
  process.holding = computeHolding(table, member, holding.pledge, target);
}

describe('the share table', () => {
  it.each(PLAN_CASES)('$name', ({ expected, steps }) => {
    const table = steps.reduce(plan, EMPTY_SHARE_TABLE);
    const units = Object.fromEntries(table.entries.map((entry) => [entry.vmId, entry.units]));
    expect(units).toEqual(expected);
  });

  it('never lets running processes hold more than all units, however outdated their data is', () => {
    fc.assert(
      fc.property(fc.array(stepArbitrary, { maxLength: 100 }), (steps) => {
        let stored = { table: EMPTY_SHARE_TABLE, version: 0 };
        const processes = VM_IDS.map((vmId) => createProcess(createMember(vmId)));
        const compareAndSwap = (
          process: Process,
          table: ShareTable,
          domains: readonly FailureDomain[],
        ) => {
          if (process.version === stored.version && table !== process.table) {
            stored = { table, version: stored.version + 1 };
            Object.assign(process, stored);
            adopt(process, domains);
          }
        };
        const actions: Record<
          Step['action'],
          (process: Process, domains: readonly FailureDomain[], age: number) => void
        > = {
          read: (process, domains) => {
            Object.assign(process, stored);
            adopt(process, domains);
          },
          tell: (process) => {
            const { member, holding } = process;
            process.sentMembers.push({ ...member, pledge: holding.pledge });
          },
          plan: (process, domains, age) => {
            const { failureDomain } = process.member;
            const others = processes
              .filter((other) => other !== process)
              .filter((other) => other.member.failureDomain === failureDomain)
              .map((other) => other.sentMembers.at(-1 - age) ?? other.sentMembers[0]!);
            const members = [{ ...process.member, pledge: process.holding.pledge }, ...others];
            const input = { failureDomain, domains, members, goneVmIds: NO_GONE_VMS };
            compareAndSwap(process, planShares(process.table, input), domains);
          },
          readAndPlan: (process, domains, age) => {
            actions.read(process, domains, age);
            actions.plan(process, domains, age);
          },
          release: (process, domains) => {
            compareAndSwap(process, planRelease(process.table, process.member), domains);
          },
          restart: (process) => {
            const incarnation = `${process.member.incarnation}+`;
            const fresh = createProcess({ ...process.member, incarnation });
            Object.assign(process, fresh, { sentMembers: [...process.sentMembers, fresh.member] });
          },
        };
        steps.forEach(({ action, age, domains, vm }) => {
          actions[action](processes[vm]!, DOMAIN_EDITS[domains]!, age);
          const heldUnits = processes.reduce((sum, { holding }) => sum + holding.units, 0);
          expect(heldUnits).toBeLessThanOrEqual(TOTAL_SHARE_UNITS);
        });
      }),
      { numRuns: 5_000 },
    );
  });
});

/**
 * Tests that a VM which reaches no engine does not stay or become the controller while another VM may.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import { createServiceReach } from '../../src/state/entry/serviceReach.js';
import { createTestVm, findCommands, type TestVm } from './fixtures.js';

const NOW_MS = 10_000;
const FENCE = 40;

function listVms(vm: TestVm, vmIds: readonly string[]): void {
  const vms = vmIds.map((vmId) => ({
    ...{ vmId, incarnation: 'a', failureDomain: 'fd-a', processorShare: 1 },
    peerAddress: `${vmId}:1`,
  }));
  vm.step({ kind: EntryEventKind.VmsRead, vms }, 0);
}

function cutOff(vm: TestVm, service: string, othersReachAtMs: number): void {
  const reach = { ...createServiceReach(), cutOffSinceMs: NOW_MS, othersReachAtMs };
  vm.state.reach.set(service, reach);
}

function becomeController(vm: TestVm): void {
  const kind = EntryEventKind.ControllerLeaseAnswered;
  vm.step({ kind, fence: FENCE, isLost: false, sentAtMs: NOW_MS }, NOW_MS);
}

const CASES: readonly {
  readonly name: string;
  readonly vmIds: readonly string[];
  readonly service: string | null;
  readonly othersReachAtMs?: number;
  readonly mayHold: boolean;
}[] = [
  { name: 'it reaches its engines', vmIds: ['vm-1', 'vm-2'], service: null, mayHold: true },
  { name: 'it reaches no engine', vmIds: ['vm-1', 'vm-2'], service: 'llm', mayHold: false },
  {
    name: 'it reaches no plain server',
    vmIds: ['vm-1', 'vm-2'],
    service: 'counter',
    mayHold: true,
  },
  {
    name: 'no VM is known to reach an engine',
    vmIds: ['vm-1', 'vm-2'],
    service: 'llm',
    othersReachAtMs: Number.NEGATIVE_INFINITY,
    mayHold: true,
  },
  {
    name: 'another VM reached one before',
    vmIds: ['vm-1', 'vm-2'],
    service: 'llm',
    othersReachAtMs: NOW_MS - 1,
    mayHold: true,
  },
  { name: 'it reaches no engine and is alone', vmIds: ['vm-1'], service: 'llm', mayHold: true },
];

describe('the lease of the controller', () => {
  it.each(CASES)('is given up by a VM only if it reaches no engine: $name', (row) => {
    const vm = createTestVm();
    listVms(vm, row.vmIds);
    becomeController(vm);
    if (row.service !== null) {
      cutOff(vm, row.service, row.othersReachAtMs ?? NOW_MS + 100);
    }
    const commands = vm.step({ kind: EntryEventKind.ControllerTick }, NOW_MS + 200);
    const released = findCommands(commands, EntryCommandKind.ReleaseControllerLease);
    expect(released.map(({ fence }) => fence)).toEqual(row.mayHold ? [] : [FENCE]);
    expect(vm.state.placement.fence).toBe(row.mayHold ? FENCE : null);
  });

  it.each(CASES)('is claimed by a VM unless it reaches no engine: $name', (row) => {
    const vm = createTestVm();
    listVms(vm, row.vmIds);
    vm.step({ kind: EntryEventKind.MaintenanceTick }, NOW_MS);
    vm.step({ kind: EntryEventKind.ControllerLeaseRead, holder: null }, NOW_MS);
    if (row.service !== null) {
      cutOff(vm, row.service, row.othersReachAtMs ?? NOW_MS + 100);
    }
    const commands = vm.step({ kind: EntryEventKind.ControllerTick }, NOW_MS + 5_000);
    const claims = findCommands(commands, EntryCommandKind.AcquireControllerLease);
    expect(claims).toHaveLength(row.mayHold ? 1 : 0);
  });
});

/**
 * Tests that an adapter for a stream that goes on at one software version is loaded on an engine of that version.
 */
import { describe, expect, it } from 'vitest';
import { type EntryCommand, EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import { requestAdapter } from '../../src/coordination/entry/placement/adapterRequests.js';
import {
  createEngineControl,
  mergeReport,
} from '../../src/coordination/entry/placement/placementState.js';
import {
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  type TestVm,
} from './fixtures.js';

const NOW_MS = 10_000;

/** An engine: its software version, and the adapters that it holds on its model m0. */
interface Engine {
  readonly version: string;
  readonly adapters: readonly string[];
}

function register(vm: TestVm, engines: readonly Engine[], revision: number, nowMs: number): void {
  const changes = engines.map(({ adapters, version }, i) => {
    const models = [{ name: 'm0', version: 1, adapters: [...adapters] }];
    const id = `e${i + 1}`;
    const entry = createTestEntry(id, 'llm', { softwareVersion: version, models });
    return { id, revision, entry };
  });
  vm.readBackends(changes, revision, nowMs);
}

/** Creates a controller of two engines. */
function createController(engines: readonly Engine[]): TestVm {
  const vm = createTestVm();
  register(vm, engines, 6, 0);
  const { placement } = vm.state;
  Object.assign(placement, { fence: 1, leaseValidUntilMs: 1e9, mayOrderFromMs: 0 });
  vm.state.backends.forEach(({ entry }) => {
    const control = createEngineControl(entry);
    const report = { isBusy: false, orderCount: 0, models: entry.models, loadingAdapters: [] };
    mergeReport(control, report, 0);
    placement.engines.set(entry.id, control);
  });
  return vm;
}

/** Returns the engine that the controller names for an adapter, or that it orders to load it. */
function findEngine(commands: readonly EntryCommand[]): string | null {
  const [reply] = findCommands(commands, EntryCommandKind.ReplyToAdapterRequest);
  const [order] = findCommands(commands, EntryCommandKind.SendOrder);
  return reply?.backendId ?? order?.backendId ?? null;
}

const OLD_WITH_ADAPTER = [
  { version: 'v1', adapters: ['a1'] },
  { version: 'v2', adapters: [] },
];
const OLD_WITH_OTHERS = [
  { version: 'v1', adapters: ['a2', 'a3'] },
  { version: 'v2', adapters: [] },
];

const REQUESTS = [
  {
    name: 'the one that holds it, for any version',
    engines: OLD_WITH_ADAPTER,
    softwareVersion: null,
    expected: 'e1',
  },
  {
    name: 'the one that holds it, for its version',
    engines: OLD_WITH_ADAPTER,
    softwareVersion: 'v1',
    expected: 'e1',
  },
  {
    name: 'one of the other version, for that',
    engines: OLD_WITH_ADAPTER,
    softwareVersion: 'v2',
    expected: 'e2',
  },
  {
    name: 'the one with more adapters, for its version',
    engines: OLD_WITH_OTHERS,
    softwareVersion: 'v1',
    expected: 'e1',
  },
  {
    name: 'none, for a version that is gone',
    engines: OLD_WITH_ADAPTER,
    softwareVersion: 'v0',
    expected: null,
  },
];

describe('the engine that a controller finds for an adapter', () => {
  it.each(REQUESTS)('is $name', ({ engines, expected, softwareVersion }) => {
    const vm = createController(engines);
    const need = {
      service: 'llm',
      model: 'm0',
      adapter: 'a1',
      failureDomain: 'fd-a',
      softwareVersion,
    };
    const event = { kind: EntryEventKind.AdapterRequested, need, replyId: 'q' } as const;
    expect(findEngine(vm.step(event, NOW_MS))).toBe(expected);
  });
});

/** Engines that serve while a stream of v1 waits for its adapter, and the versions that it is asked for at. */
const WAITING_STREAMS = [
  { name: 'an engine of its version', versions: ['v1', 'v2'], expected: ['v1'] },
  { name: 'engines of another version', versions: ['v2', 'v2'], expected: [] },
];

/** Lets a request wait for an adapter that no engine holds, as one that goes on with a stream of v1. */
function requestForStream(versions: readonly string[]): EntryCommand[] {
  const vm = createTestVm();
  const engines = versions.map((version) => ({ version, adapters: [] }));
  register(vm, engines, 6, 0);
  vm.state.controller = { vmId: 'vm-2', peerAddress: 'vm-2:1' } as typeof vm.state.controller;
  vm.receiveRequest(createTestRequest('r', '/draft/x', { adapter: 'a1' }), NOW_MS);
  const record = vm.state.requests.get('r')!;
  record.streamVersion = 'v1';
  return requestAdapter(vm.state, record, NOW_MS + 1_000);
}

describe('a stream that waits for its adapter', () => {
  it.each(WAITING_STREAMS)('asks for it at its version: $name', ({ expected, versions }) => {
    const requests = findCommands(requestForStream(versions), EntryCommandKind.RequestAdapter);
    expect(requests.map(({ need }) => need.softwareVersion)).toEqual(expected);
  });
});

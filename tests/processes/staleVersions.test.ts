/**
 * Tests that a VM whose view of the servers is stale joins no stream of a software version that it has not heard of, and that a VM
 * in touch goes on with it.
 */
import http from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { ENTRY_PROGRAM, type PreparedEntry, prepareEntry } from '../stand-ins/entryProcess.js';
import { createConfiguration, wait } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { endProcess, type StartedProcess, startProgram, waitFor } from '../stand-ins/processes.js';
import { LinkState, startTcpProxy } from '../stand-ins/tcpProxy.js';
import { EVENT_COUNT, startVersionedServer } from '../stand-ins/versionedServer.js';

const STREAM_COUNT = 16;
const DEADLINE_MS = 6_000;
const HEARTBEAT_MS = 500;
const LEAVE_AFTER = 5;
const OLD_VERSION = 'v1';
const NEW_VERSION = 'v1.1';
/** Time from the trouble of a VM to the start of servers of the new version. */
const JOIN_AFTER_MS = 100;
const OK = 200;
const MIN_SHARE = 0.5;
/** Two of them are relays, the others have relays. */
const VM_IDS = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
/** Time in which the VMs know one another. */
const SETTLE_MS = 1_500;
const TAKE_UP_INTERVAL_MS = 130;
const MAX_MEDIAN_WAIT_MS = 800;

interface Vm extends PreparedEntry {
  readonly process: StartedProcess;
  readonly setLink: (state: LinkState) => void;
}

/** A stream as its caller sees it, over all tries. */
interface Stream {
  readonly versions: string[];
  firstAttemptId: string | null;
}

interface Case {
  readonly name: string;
  readonly start: (vm: Vm) => void;
  /** Ends the trouble; `null` if it outlasts the test. */
  readonly end: ((vm: Vm) => void) | null;
  /** From the start of the trouble. */
  readonly takeUpAfterMs: number;
  readonly endAfterMs: number;
  /** True if streams are to go on although their VM is not the one that began them. */
  readonly isInTouch: boolean;
}

const setLink =
  (state: LinkState) =>
  (vm: Vm): void =>
    vm.setLink(state);
const signal =
  (name: NodeJS.Signals) =>
  ({ process: { child } }: Vm): void => {
    child.kill(name);
  };
const open = setLink(LinkState.Open);

const CASES: readonly Case[] = [
  {
    ...{ name: 'silent store', start: setLink(LinkState.Silent), end: null },
    ...{ takeUpAfterMs: 700, endAfterMs: 700, isInTouch: false },
  },
  {
    ...{ name: 'reset by the store', start: setLink(LinkState.Reset), end: null },
    ...{ takeUpAfterMs: 700, endAfterMs: 700, isInTouch: false },
  },
  {
    ...{ name: 'silent store, healed half a second later', start: setLink(LinkState.Silent) },
    ...{ end: open, takeUpAfterMs: 800, endAfterMs: 1_300, isInTouch: false },
  },
  {
    ...{ name: 'suspended and thawed', start: signal('SIGSTOP'), end: signal('SIGCONT') },
    ...{ takeUpAfterMs: 1_500, endAfterMs: 1_500, isInTouch: false },
  },
  {
    ...{ name: 'in touch', start: open, end: null },
    ...{ takeUpAfterMs: 1_000, endAfterMs: 1_000, isInTouch: true },
  },
];

let attemptCount = 0;
const closers: (() => unknown)[] = [];

async function startServer(store: PlatformStore, id: string, version: string): Promise<void> {
  const server = await startVersionedServer(version, new Set());
  const born = Date.now();
  let seq = 0;
  const register = (): void => {
    seq += 1;
    const state = { state: 'ready', cold_left_ms: 0, born, seq, zone: 'fd-a', version };
    store.put(`servers/${id}`, { service: 'flow', address: server.address, slots: 400, ...state });
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  closers.push(server.close, () => clearInterval(heartbeat));
}

/** Starts a VM of a failure domain; without one, of a domain of its own, so that it reads the store itself. */
async function startVm(store: PlatformStore, vmId: string, zone = `fd-${vmId}`): Promise<Vm> {
  const link = await startTcpProxy(store.address);
  closers.push(link.close);
  const prepared = await prepareEntry(link.address, {}, { retry_slack: 10_000 }, vmId, zone);
  const { args, environment } = prepared;
  const ready = 'The VM is ready.';
  const process = await startProgram('vm', ENTRY_PROGRAM, args, ready, environment);
  closers.push(() => {
    process.child.kill('SIGCONT');
    return endProcess(process);
  });
  return { ...prepared, process, setLink: link.setState };
}

/** Begins a stream or takes it up, and leaves once it has a number of events. Returns the status; 0 without an answer. */
function readStream(vm: Vm, stream: Stream, leaveAt: number): Promise<number> {
  attemptCount += 1;
  const attemptId = `attempt-${attemptCount}`;
  const [host = '', port = ''] = vm.address.split(':');
  const { firstAttemptId, versions } = stream;
  const headers = {
    ...{ host: 'h', 'x-attempt-id': attemptId, 'x-deadline-ms': String(DEADLINE_MS) },
    ...(firstAttemptId === null
      ? {}
      : { 'last-event-id': String(versions.length), resumes: firstAttemptId }),
  };
  return new Promise((resolve) => {
    const options = { host, port, path: '/flow/x', headers, agent: false };
    const request = http.get(options, (response) => {
      const status = response.statusCode ?? 0;
      let rest = '';
      response.on('data', (chunk: Buffer) => {
        const blocks = (rest + chunk.toString()).split('\n\n');
        rest = blocks.pop() ?? '';
        if (status === OK) {
          versions.push(...blocks.map((block) => /^data: (\S+)$/m.exec(block)?.[1] ?? block));
          stream.firstAttemptId ??= attemptId;
        }
        if (versions.length >= leaveAt) {
          request.destroy();
        }
      });
      response.on('error', () => {});
      response.on('close', () => resolve(status));
    });
    request.on('error', () => resolve(0));
  });
}

const createStream = (): Stream => ({ versions: [], firstAttemptId: null });

async function startStore(): Promise<PlatformStore> {
  const store = await startPlatformStore();
  const configuration = createConfiguration(1, ['key-1']);
  const route = {
    ...{ name: 'flow', prefix: '/flow/', route_kind: 'streaming', service: 'flow', host: 'h' },
    ...{ timeout_ms: DEADLINE_MS, goal_ms: 1_000, attempts: 3, public: true, resumable: true },
  };
  store.put('op/config', {
    ...configuration,
    routes: [...configuration.routes, route],
    services: [...configuration.services, { name: 'flow', max_conns: 400 }],
  });
  return store;
}

/** Begins streams until there are enough of which both versions have begun some. */
async function beginStreams(vm: Vm): Promise<Stream[]> {
  await waitFor('the new version serves', async () => {
    const stream = createStream();
    await readStream(vm, stream, 1);
    return stream.versions[0] === NEW_VERSION;
  });
  const streams = Array.from({ length: STREAM_COUNT }, createStream);
  await Promise.all(streams.map((stream) => readStream(vm, stream, LEAVE_AFTER)));
  return streams;
}

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

describe('streams of a new software version, taken up at a VM that may not have heard of it', () => {
  it.each(CASES)('hold events of one version: $name', async (row) => {
    const store = await startStore();
    await Promise.all(['s1', 's2'].map((id) => startServer(store, id, OLD_VERSION)));
    const [stale, other] = await Promise.all(['vm-1', 'vm-2'].map((id) => startVm(store, id)));
    closers.push(store.close);
    await Promise.all(
      [stale!, other!].map((vm) =>
        waitFor('a stream is served', async () => (await readStream(vm, createStream(), 1)) === OK),
      ),
    );
    const startedAtMs = performance.now();
    const waitFrom = (ms: number): Promise<void> =>
      wait(Math.max(0, startedAtMs + ms - performance.now()));
    row.start(stale!);
    await wait(JOIN_AFTER_MS);
    await Promise.all(['s3', 's4'].map((id) => startServer(store, id, NEW_VERSION)));
    const streams = await beginStreams(other!);
    expect(new Set(streams.map(({ versions }) => versions[0]))).toContain(NEW_VERSION);
    await waitFrom(row.takeUpAfterMs);
    const tries = streams.map((stream) => readStream(stale!, stream, EVENT_COUNT));
    await waitFrom(row.endAfterMs);
    row.end?.(stale!);
    const statuses = await Promise.all(tries);
    const joined = streams.filter(({ versions }) => new Set(versions).size > 1);
    expect(joined.map(({ versions }) => versions.join(' '))).toEqual([]);
    if (row.isInTouch) {
      const share = statuses.filter((status) => status === OK).length / streams.length;
      expect(share).toBeGreaterThanOrEqual(MIN_SHARE);
    }
  });
});

describe('streams that are taken up at VMs in touch, which did not begin them', () => {
  it('go on soon, with few calls to the store, at relays and at VMs that have relays', async () => {
    const store = await startStore();
    await Promise.all(['s1', 's2'].map((id) => startServer(store, id, OLD_VERSION)));
    const vms = await Promise.all(VM_IDS.map((id) => startVm(store, id, 'fd-a')));
    closers.push(store.close);
    await Promise.all(
      vms.map((vm) =>
        waitFor('a stream is served', async () => (await readStream(vm, createStream(), 1)) === OK),
      ),
    );
    await wait(SETTLE_MS);
    const begun = await Promise.all(
      vms.map(async (vm, index) => {
        const streams = Array.from({ length: STREAM_COUNT }, createStream);
        await Promise.all(streams.map((stream) => readStream(vm, stream, LEAVE_AFTER)));
        return { streams, vm: vms[(index + 1) % vms.length]! };
      }),
    );
    const countReads = (): number => store.callCounts.get('GET /v1/kv-range') ?? 0;
    const readsBefore = countReads();
    const takeUps = begun.flatMap(({ streams, vm }) =>
      streams.map(async (stream, index) => {
        await wait(index * TAKE_UP_INTERVAL_MS);
        const startedAtMs = performance.now();
        await readStream(vm, stream, LEAVE_AFTER + 1);
        return performance.now() - startedAtMs;
      }),
    );
    const waits = (await Promise.all(takeUps)).sort((a, b) => a - b);
    const goOn = begun
      .flatMap(({ streams }) => streams)
      .filter(({ versions }) => versions.length > LEAVE_AFTER);
    expect(goOn.length).toBe(STREAM_COUNT * VM_IDS.length);
    expect(waits[Math.floor(waits.length / 2)]).toBeLessThan(MAX_MEDIAN_WAIT_MS);
    expect(countReads() - readsBefore).toBeLessThan(STREAM_COUNT);
  });
});

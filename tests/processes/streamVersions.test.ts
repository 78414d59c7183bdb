/**
 * Tests that no stream holds events of two software versions, within one answer or over the tries of its caller, and that callers
 * who take their streams up again are served.
 */
import http from 'node:http';
import { afterEach, describe, expect, it } from 'vitest';
import { ENTRY_PROGRAM, type PreparedEntry, prepareEntry } from '../stand-ins/entryProcess.js';
import { createConfiguration, wait } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { endProcess, type StartedProcess, startProgram, waitFor } from '../stand-ins/processes.js';
import {
  EVENT_COUNT,
  RESETS_QUERY,
  startVersionedServer,
  type VersionedServer,
} from '../stand-ins/versionedServer.js';

const STREAM_COUNT = 12;
const DEADLINE_MS = 6_000;
const HEARTBEAT_MS = 500;
const LEAVE_AFTER = 5;
/** After so many events, 400 ms, a VM has written to the store which versions have begun its streams. */
const KILL_AFTER = 16;
/** How often a caller comes again after a rejection that promises that nothing was run. */
const RETRY_COUNT = 3;
const RETRY_DELAY_MS = 500;
const MIN_SHARE = 0.5;
const TWO_OF_EACH = ['v1', 'v1', 'v2', 'v2'];

/** An entry VM, which keeps its addresses over its restarts. */
interface Vm {
  readonly prepared: PreparedEntry;
  process: StartedProcess;
}

interface Server extends VersionedServer {
  readonly version: string;
  readonly leave: () => void;
}

/** A stream as its caller sees it, over all tries. */
interface Stream {
  /** Software versions of its events, in the order in which they came. */
  readonly versions: string[];
  firstAttemptId: string | null;
}

interface Fleet {
  readonly store: PlatformStore;
  readonly vms: readonly Vm[];
  readonly servers: readonly Server[];
  readonly streams: readonly Stream[];
}

let fleet: Fleet;
let attemptCount = 0;
/** Attempts that a server has run. */
const hasRun = new Set<string>();
const closers: (() => unknown)[] = [];

async function startServer(store: PlatformStore, id: string, version: string): Promise<Server> {
  const server = await startVersionedServer(version, hasRun);
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
  const leave = (): void => {
    clearInterval(heartbeat);
    store.remove(`servers/${id}`);
    server.close();
  };
  return { ...server, version, leave };
}

function startVmProcess({ args, environment }: PreparedEntry): Promise<StartedProcess> {
  return startProgram('vm', ENTRY_PROGRAM, args, 'The VM is ready.', environment);
}

async function startVm(store: PlatformStore, vmId: string): Promise<Vm> {
  const prepared = await prepareEntry(store.address, {}, { retry_slack: 10_000 }, vmId);
  const vm = { prepared, process: await startVmProcess(prepared) };
  closers.push(() => endProcess(vm.process));
  return vm;
}

/** Begins a stream or takes it up, and leaves once it has a number of events. Returns the status; 0 without an answer. */
function readStream(vm: Vm, stream: Stream, path: string, leaveAt: number): Promise<number> {
  attemptCount += 1;
  const attemptId = `attempt-${attemptCount}`;
  const [host = '', port = ''] = vm.prepared.address.split(':');
  const { firstAttemptId, versions } = stream;
  const headers = {
    ...{ host: 'h', 'x-attempt-id': attemptId, 'x-deadline-ms': String(DEADLINE_MS) },
    ...(firstAttemptId === null
      ? {}
      : { 'last-event-id': String(versions.length), resumes: firstAttemptId }),
  };
  return new Promise((resolve) => {
    const request = http.get({ host, port, path, headers, agent: false }, (response) => {
      const status = response.statusCode ?? 0;
      let rest = '';
      response.on('data', (chunk: Buffer) => {
        const blocks = (rest + chunk.toString()).split('\n\n');
        rest = blocks.pop() ?? '';
        if (status === 200) {
          versions.push(...blocks.map((block) => /^data: (\S+)$/m.exec(block)?.[1] ?? block));
        }
        if (versions.length > 0) {
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

async function startFleet(versions: readonly string[]): Promise<Fleet> {
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
  const servers = await Promise.all(versions.map((v, i) => startServer(store, `s${i + 1}`, v)));
  const vms = await Promise.all(['vm-1', 'vm-2'].map((vmId) => startVm(store, vmId)));
  closers.push(store.close);
  const streams = Array.from({ length: STREAM_COUNT }, () => ({
    versions: [],
    firstAttemptId: null,
  }));
  const started = { store, vms, servers, streams };
  await Promise.all(
    vms.map((vm) =>
      waitFor('a stream is served', async () => {
        const stream = { versions: [], firstAttemptId: null };
        return (await readStream(vm, stream, '/flow/x', 1)) === 200;
      }),
    ),
  );
  return started;
}

/** Takes a stream up, and comes again after a rejection or a cut. */
async function takeUp(vm: Vm, stream: Stream, leaveAt: number, tries = 0): Promise<void> {
  await readStream(vm, stream, '/flow/x', leaveAt);
  if (stream.versions.length < leaveAt && tries < RETRY_COUNT) {
    await wait(RETRY_DELAY_MS);
    await takeUp(vm, stream, leaveAt, tries + 1);
  }
}

function beginStreams(path: string, leaveAt: number): Promise<unknown> {
  return Promise.all(
    fleet.streams.map((stream) => readStream(fleet.vms[0]!, stream, path, leaveAt)),
  );
}

/** Begins all streams and ends processes of VMs in the middle of them. */
async function breakStreams(killed: readonly Vm[]): Promise<void> {
  const answers = beginStreams('/flow/x', EVENT_COUNT);
  await waitFor('all streams have begun', () =>
    fleet.streams.every(({ versions }) => versions.length >= KILL_AFTER),
  );
  await Promise.all(killed.map((vm) => endProcess(vm.process)));
  await answers;
}

/** How streams begin and break off, and at which VM they are taken up. */
interface Case {
  readonly name: string;
  readonly servers: readonly string[];
  /** The version whose servers leave before streams are taken up. */
  readonly leaving?: string;
  readonly begin: () => Promise<unknown>;
  /** For each time that callers take their streams up: the VM, and after which event they leave. */
  readonly takeUps: readonly { readonly vm: 0 | 1; readonly leaveAt: number }[];
}

const leaveStreams = (): Promise<unknown> => beginStreams('/flow/x', LEAVE_AFTER);
const resetStreams = (): Promise<unknown> => beginStreams(`/flow/x?${RESETS_QUERY}`, EVENT_COUNT);

const CASES: readonly Case[] = [
  {
    name: 'runs reset and resumed in one answer',
    servers: TWO_OF_EACH,
    begin: resetStreams,
    takeUps: [],
  },
  {
    name: 'runs reset, one old server, three new',
    servers: ['v1', 'v2', 'v2', 'v2'],
    begin: resetStreams,
    takeUps: [],
  },
  {
    name: 'taken up at the same VM',
    servers: TWO_OF_EACH,
    begin: leaveStreams,
    takeUps: [{ vm: 0, leaveAt: EVENT_COUNT }],
  },
  {
    name: 'taken up at another VM',
    servers: TWO_OF_EACH,
    begin: leaveStreams,
    takeUps: [{ vm: 1, leaveAt: EVENT_COUNT }],
  },
  {
    name: 'taken up after the first VM was killed',
    servers: TWO_OF_EACH,
    begin: () => breakStreams([fleet.vms[0]!]),
    takeUps: [{ vm: 1, leaveAt: EVENT_COUNT }],
  },
  {
    name: 'taken up after all VMs were killed',
    servers: TWO_OF_EACH,
    begin: async () => {
      await breakStreams(fleet.vms);
      await Promise.all(
        fleet.vms.map(async (vm) => {
          vm.process = await startVmProcess(vm.prepared);
        }),
      );
    },
    takeUps: [{ vm: 0, leaveAt: EVENT_COUNT }],
  },
  {
    name: 'taken up twice, at two VMs',
    servers: TWO_OF_EACH,
    begin: leaveStreams,
    takeUps: [
      { vm: 1, leaveAt: 2 * LEAVE_AFTER },
      { vm: 0, leaveAt: EVENT_COUNT },
    ],
  },
  {
    name: 'taken up after the old servers left',
    servers: TWO_OF_EACH,
    leaving: 'v1',
    begin: leaveStreams,
    takeUps: [{ vm: 0, leaveAt: EVENT_COUNT }],
  },
  {
    name: 'taken up with one version in service',
    servers: ['v1', 'v1', 'v1', 'v1'],
    begin: leaveStreams,
    takeUps: [{ vm: 1, leaveAt: EVENT_COUNT }],
  },
];

/** Takes all streams up at the given VMs, one after another. */
async function takeUpAll([next, ...later]: Case['takeUps']): Promise<void> {
  if (next !== undefined) {
    await Promise.all(
      fleet.streams.map((stream) => takeUp(fleet.vms[next.vm]!, stream, next.leaveAt)),
    );
    await takeUpAll(later);
  }
}

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

/** Returns the streams whose version has two servers at least, so that most of them have to go on. */
function listOwed({ leaving, servers }: Case): readonly Stream[] {
  return fleet.streams.filter(
    ({ versions: [begunAt] }) =>
      begunAt !== leaving && servers.filter((version) => version === begunAt).length >= 2,
  );
}

describe('streams while servers of several software versions serve', () => {
  it.each(CASES)('hold events of one version, and go on: $name', async (row) => {
    fleet = await startFleet(row.servers);
    await row.begin();
    const begunAt = fleet.streams.map(({ versions }) => versions[0]);
    expect(new Set(begunAt)).toEqual(new Set(row.servers));
    fleet.servers.filter(({ version }) => version === row.leaving).forEach(({ leave }) => leave());
    await wait(HEARTBEAT_MS);
    await takeUpAll(row.takeUps);
    const joined = fleet.streams.filter(({ versions }) => new Set(versions).size > 1);
    expect(joined.map(({ versions }) => versions.join(' '))).toEqual([]);
    const owed = listOwed(row);
    const whole = owed.filter(({ versions }) => versions.length === EVENT_COUNT);
    expect(whole.length / owed.length).toBeGreaterThanOrEqual(MIN_SHARE);
  });
});

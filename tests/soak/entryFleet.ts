/**
 * The processes of a soak of entry VMs: VMs whose ports stay the same over restarts, servers, and a store.
 */
import { once } from 'node:events';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SETTINGS_VARIABLE } from '../../platform/names.js';
import type { EntryBuild } from '../stand-ins/entryBuilds.js';
import { createConfiguration, wait } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import {
  endProcess,
  findFreePort,
  isRunning,
  spawnProgram,
  type StartedProcess,
  waitFor,
} from '../stand-ins/processes.js';
import { createServerLinks, type ServerLinks } from '../stand-ins/serverLinks.js';

const SERVER_PROGRAM = 'tests/stand-ins/soakServerMain.js';
const READY_TEXT = 'The VM is ready.';
export const GRACE_MS = 4_000;
const HEARTBEAT_MS = 500;
const MS_PER_SECOND = 1000;
const NS_PER_MS = 1_000_000;
const PROCESSOR_SAMPLE_MS = 250;
/** The platform restarts a process that ends by itself after this time. */
const RESTART_MS = 200;
/** The store drops the entry of a server that was killed after this time. */
const ENTRY_LIFETIME_MS = 1_000;
const SERVERS_BY_SERVICE = { flow: 4, llm: 2 } as const;

/** A service of the soak. */
export type SoakService = keyof typeof SERVERS_BY_SERVICE;

/** One process of a VM. */
export interface VmLife {
  readonly vmName: string;
  readonly process: StartedProcess;
  readonly startedAtMs: number;
  /** Whether it runs the present version, not an earlier one. */
  readonly isPresent: boolean;
  /** Signals that end the process, in their order. */
  readonly endSignals: { readonly signal: 'SIGTERM' | 'SIGKILL'; readonly atMs: number }[];
  endedAtMs: number;
  /** How long its main thread had waited for a processor since its start, at some times. */
  readonly processorWaits: { readonly atMs: number; readonly waitedMs: number }[];
  /** When its log said that it is ready; infinite before. */
  readyAtMs: number;
}

/** A VM, which keeps its ports over its lives. */
export interface SoakVm {
  readonly name: string;
  readonly address: string;
  readonly readyAddress: string;
  readonly metricsAddress: string;
  readonly settingsPath: string;
  readonly lives: VmLife[];
  /** What its next life runs. */
  build: EntryBuild;
  /** Spans in which the VM was suspended; the end is infinite while it is. */
  readonly suspensions: { readonly fromMs: number; untilMs: number }[];
  /** Its links to all servers, if they can be cut. */
  readonly links: ServerLinks | null;
  /** Spans in which these were cut; the end is infinite while they are. */
  readonly linkCuts: { readonly fromMs: number; untilMs: number }[];
}

/** A run of a request at a server. */
export interface Run {
  readonly attemptId: string;
  readonly run: string;
  readonly lastEventId: number;
  readonly server: SoakServer;
  /** How the server spoiled its stream; null as long as it has not. */
  spoiledBy: string | null;
}

/** An order of a controller, in the order of arrival. */
export interface ReceivedOrder {
  readonly atMs: number;
  readonly serverId: string;
  readonly holder: string;
  readonly fence: number;
}

/** One process of a server. */
export interface SoakServer {
  readonly id: string;
  readonly service: SoakService;
  readonly softwareVersion: string;
  readonly process: StartedProcess;
  readonly bornMs: number;
  address: string;
  models: unknown;
  state: 'ready' | 'draining';
  killedAtMs: number;
}

/** What runs in a soak, and what its servers have recorded. */
export interface EntryFleet {
  readonly store: PlatformStore;
  readonly vms: readonly SoakVm[];
  /** What VMs run once they are upgraded. */
  readonly presentBuild: EntryBuild;
  /** All servers, also those that have ended. */
  readonly servers: SoakServer[];
  readonly runs: Run[];
  readonly orders: ReceivedOrder[];
  readonly keys: { readonly valid: Set<string>; readonly withdrawn: Set<string> };
  /** Spans in which the store was disrupted. */
  readonly storeDisruptions: { readonly fromMs: number; untilMs: number }[];
  /** Spans in which callers have servers spoil some of their streams; the end is infinite while they do. */
  readonly spoilSpans: { readonly fromMs: number; untilMs: number }[];
  readonly getVersion: () => number;
  /** Writes a new version of the configuration, with the given time limit of the streams. */
  readonly configure: (streamTimeoutMs?: number) => void;
  readonly startServer: (service: SoakService, id?: string) => Promise<SoakServer>;
  /** Kills a server; the store drops its entry a while later unless a server with the same id has started. */
  readonly killServer: (server: SoakServer) => void;
  readonly startLife: (vm: SoakVm) => VmLife;
  /** Writes what the VMs have logged to files, and returns their folder. */
  readonly saveLogs: () => string;
  readonly close: () => Promise<void>;
}

/** A loopback network of this process, so that no process of another test gets an address while its owner restarts. */
const NETWORK = `127.${1 + (process.pid % 250)}.${Math.floor(process.pid / 250) % 250}`;
const SERVER_HOST = `${NETWORK}.250`;
const LINK_HOST = `${NETWORK}.251`;

/** Records how long the main thread of a process has waited for a processor, which its own log cannot tell before it runs. */
function recordProcessorWait({ process: { child }, processorWaits }: VmLife): void {
  try {
    const [, waitedNs] = readFileSync(`/proc/${child.pid}/schedstat`, 'utf8').split(' ');
    processorWaits.push({ atMs: performance.now(), waitedMs: Number(waitedNs) / NS_PER_MS });
  } catch {
    // The process has ended, or the system keeps no such figures.
  }
}

const folder = mkdtempSync(join(tmpdir(), 'entry-soak-'));

async function createVm(
  name: string,
  index: number,
  storeAddress: string,
  build: EntryBuild,
  links: ServerLinks | null,
): Promise<SoakVm> {
  const ports = await Promise.all([findFreePort(), findFreePort(), findFreePort(), findFreePort()]);
  const host = `${NETWORK}.${index + 1}`;
  const [address = '', readyAddress = '', , metricsAddress = ''] = ports.map(
    (port) => `${host}:${port}`,
  );
  const settingsPath = join(folder, `${name}-${ports[0]}.json`);
  const settings = {
    node_name: name,
    ip: host,
    zone: `fd-${index % 2}`,
    port_range: [ports[2], ports[2]],
    listen: { frontend_addr: address, ready_addr: readyAddress },
    platform: { address: storeAddress },
    bounds: { grace_s: GRACE_MS / MS_PER_SECOND, retry_slack: 500, fencing: true },
  };
  writeFileSync(settingsPath, JSON.stringify(settings));
  const addresses = { address, readyAddress, metricsAddress };
  const record = { lives: [], suspensions: [], linkCuts: [] };
  return { name, ...addresses, settingsPath, build, links, ...record };
}

const STREAM = { host: 'h', goal_ms: 1_000, attempts: 3, public: false, service: 'flow' };

function createSoakConfiguration(version: number, keys: string[], streamTimeoutMs: number) {
  const configuration = createConfiguration(version, keys);
  const streams = [
    { name: 'once', prefix: '/once/', resumable: false },
    { name: 'again', prefix: '/again/', resumable: true },
  ].map((route) => ({
    ...STREAM,
    ...route,
    route_kind: 'streaming',
    timeout_ms: streamTimeoutMs,
  }));
  const plain = configuration.routes.map((route) =>
    route.service === 'counter' ? { ...route, service: 'flow' } : route,
  );
  const passing = { ...plain[0], name: `passing-${version}`, prefix: `/passing-${version}/` };
  return {
    ...configuration,
    routes: [...plain, ...streams, passing],
    services: [...configuration.services, { name: 'flow', max_conns: 400 }],
  };
}

/** Returns whether a VM answers that it is ready. */
export async function isVmReady({ readyAddress }: SoakVm): Promise<boolean> {
  try {
    const signal = AbortSignal.timeout(500);
    return (await fetch(`http://${readyAddress}/v1/readyz`, { signal })).status === 200;
  } catch {
    return false;
  }
}

/**
 * Starts a store, servers and VMs, and waits until the VMs are ready. Servers have the software versions in turn. VMs start with a
 * build, and run the present one once they are upgraded. The links of the last VM to the servers can be cut if that is asked for.
 */
export async function startEntryFleet(
  vmCount: number,
  softwareVersions: readonly string[],
  presentBuild: EntryBuild,
  firstBuild: EntryBuild = presentBuild,
  hasLinks = false,
): Promise<EntryFleet> {
  const store = await startPlatformStore();
  const links = hasLinks ? createServerLinks(SERVER_HOST, LINK_HOST) : null;
  const servers: SoakServer[] = [];
  const runs: Run[] = [];
  const orders: ReceivedOrder[] = [];
  const keys = { valid: new Set(['key-1']), withdrawn: new Set<string>() };
  let version = 0;
  let serverCount = 0;
  let sequence = 0;
  let isClosing = false;

  const register = (server: SoakServer): void => {
    const { address, bornMs, id, models, service, softwareVersion, state } = server;
    sequence += 1;
    const timing = { cold_left_ms: 0, born: bornMs, seq: sequence };
    const place = { service, address, zone: 'fd-0', version: softwareVersion };
    const entry = { ...place, state, slots: 200, ...timing };
    store.put(`servers/${id}`, service === 'llm' ? { ...entry, models } : entry);
  };

  const LINE_READERS: Readonly<Record<string, (server: SoakServer, words: string[]) => void>> = {
    listens: (server, [address = '']) => {
      server.address = address;
    },
    ran: (server, [attemptId = '', run = '', lastEventId]) =>
      runs.push({ attemptId, run, lastEventId: Number(lastEventId), server, spoiledBy: null }),
    spoiled: (_server, [name, ...how]) => {
      const spoiled = runs.find(({ run }) => run === name);
      if (spoiled !== undefined) {
        spoiled.spoiledBy = how.join(' ');
      }
    },
    order: (server, [holder = '', fence, models = '[]']) => {
      server.models = JSON.parse(models);
      orders.push({
        atMs: performance.now(),
        serverId: server.id,
        holder,
        fence: Number(fence),
      });
    },
  };

  const startServer = async (service: SoakService, knownId?: string): Promise<SoakServer> => {
    serverCount += 1;
    const id = knownId ?? `s${serverCount}`;
    const started = spawnProgram(id, SERVER_PROGRAM, ['--id', id, '--host', SERVER_HOST]);
    const softwareVersion = softwareVersions[serverCount % softwareVersions.length]!;
    const server: SoakServer = {
      ...{ id, service, softwareVersion, process: started, bornMs: Date.now() },
      ...{ address: '', state: 'ready' },
      models: [{ name: 'm0', version: 1, adapters: [] }],
      killedAtMs: Number.POSITIVE_INFINITY,
    };
    let rest = '';
    started.child.stdout?.on('data', (chunk: Buffer) => {
      const lines = (rest + chunk.toString()).split('\n');
      rest = lines.pop() ?? '';
      lines.forEach((line) => {
        const [kind = '', ...words] = line.split(' ');
        LINE_READERS[kind]?.(server, words);
      });
    });
    await waitFor(`server ${id} listens: ${started.getOutput()}`, () => server.address !== '');
    await links?.addServer(server.address);
    servers.push(server);
    register(server);
    return server;
  };

  const killServer = (server: SoakServer): void => {
    // Disruptions overlap: a server that another one has killed already ended then.
    server.killedAtMs = Math.min(server.killedAtMs, performance.now());
    server.process.child.kill('SIGKILL');
    setTimeout(() => {
      const isReplaced = servers.some(
        ({ id, killedAtMs }) => id === server.id && killedAtMs === Number.POSITIVE_INFINITY,
      );
      if (!isReplaced) {
        store.remove(`servers/${server.id}`);
      }
    }, ENTRY_LIFETIME_MS);
  };

  const configure = (streamTimeoutMs = 6_000): void => {
    version += 1;
    store.put('op/config', createSoakConfiguration(version, [...keys.valid], streamTimeoutMs));
  };

  const startLife = (vm: SoakVm): VmLife => {
    const { metricsAddress, name, settingsPath } = vm;
    const args = ['--metrics-port', metricsAddress.split(':')[1]!];
    const started = spawnProgram(name, vm.build.program, args, {
      ...vm.links?.environment,
      [SETTINGS_VARIABLE]: settingsPath,
      NODE_OPTIONS: [vm.build.nodeOptions, vm.links?.nodeOptions ?? ''].join(' '),
    });
    const life: VmLife = {
      vmName: name,
      process: started,
      startedAtMs: performance.now(),
      isPresent: vm.build === presentBuild,
      endSignals: [],
      endedAtMs: Number.POSITIVE_INFINITY,
      processorWaits: [],
      readyAtMs: Number.POSITIVE_INFINITY,
    };
    started.child.stdout?.on('data', () => {
      if (life.readyAtMs === Number.POSITIVE_INFINITY && started.getOutput().includes(READY_TEXT)) {
        life.readyAtMs = performance.now();
      }
    });
    const sampling = setInterval(() => recordProcessorWait(life), PROCESSOR_SAMPLE_MS);
    void once(started.child, 'exit').then(async () => {
      clearInterval(sampling);
      life.endedAtMs = performance.now();
      // Who ends a process starts the next one. The platform restarts one that ends by itself.
      if (life.endSignals.length === 0) {
        await wait(RESTART_MS);
        if (!isClosing) {
          startLife(vm);
        }
      }
    });
    vm.lives.push(life);
    return life;
  };

  await Promise.all(
    Object.entries(SERVERS_BY_SERVICE).flatMap(([service, count]) =>
      Array.from({ length: count }, () => startServer(service as SoakService)),
    ),
  );
  configure();
  const heartbeat = setInterval(() => {
    if (!store.isDown) {
      servers.filter(({ killedAtMs }) => killedAtMs === Infinity).forEach(register);
    }
  }, HEARTBEAT_MS);
  const vms = await Promise.all(
    Array.from({ length: vmCount }, (_, i) =>
      createVm(`vm-${i + 1}`, i, store.address, firstBuild, i === vmCount - 1 ? links : null),
    ),
  );
  vms.forEach(startLife);
  const fleet: EntryFleet = {
    ...{
      store,
      vms,
      presentBuild,
      servers,
      runs,
      orders,
      keys,
      storeDisruptions: [],
      spoilSpans: [],
    },
    ...{ configure, startServer, killServer, startLife, getVersion: () => version },
    saveLogs: () => {
      const logFolder = mkdtempSync(join(tmpdir(), 'entry-soak-logs-'));
      vms
        .flatMap(({ lives }) => lives)
        .forEach(({ process, vmName }, i) =>
          writeFileSync(join(logFolder, `${vmName}-${i}.log`), process.getOutput()),
        );
      return logFolder;
    },
    close: async () => {
      isClosing = true;
      clearInterval(heartbeat);
      const processes = [
        ...vms.flatMap(({ lives }) => lives.map((life) => life.process)),
        ...servers.map((server) => server.process),
      ];
      await Promise.all(processes.filter(isRunning).map((started) => endProcess(started)));
      await links?.close();
      await store.close();
    },
  };
  await waitFor('all VMs are ready', async () =>
    (await Promise.all(vms.map(isVmReady))).every(Boolean),
  );
  return fleet;
}

/**
 * The parts of a soak: entry VMs as processes, and a store and backend servers within the test process.
 */
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { SETTINGS_VARIABLE } from '../../platform/names.js';
import { createConfiguration } from '../stand-ins/entryVms.js';
import { type PlatformRunner, startPlatformRunner } from '../stand-ins/platformRunner.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import {
  endProcess,
  findFreePort,
  type StartedProcess,
  startProgram,
} from '../stand-ins/processes.js';

const PROGRAM = 'src/bin/gentiandeckEntry.js';
const READY_TEXT = 'The VM is ready.';
const GRACE_SECONDS = 3;
const COUNTER_SERVERS = 4;
const ENGINES = 2;
/** How often a backend server writes its entry. */
const HEARTBEAT_MS = 1_000;

/** The services of the configuration. */
export type ServiceName = 'counter' | 'llm';

/** A VM of the soak. Its process is replaced when it is restarted. */
export interface SoakVm {
  readonly name: string;
  process: StartedProcess;
  address: string;
  /** False from the signal that ends the process until the next one is ready. */
  isRunning: boolean;
  /** Times at which the process was killed or suspended, which excuses requests without an answer. */
  readonly harmedAtMs: number[];
  readonly startedAtMs: number[];
}

/** A backend server, and when it began to say that it leaves. */
export interface SoakServer {
  readonly runner: PlatformRunner;
  readonly service: ServiceName;
  leavesAtMs: number;
}

export interface SoakFleet {
  readonly store: PlatformStore;
  readonly vms: readonly SoakVm[];
  readonly servers: SoakServer[];
  readonly keys: { readonly valid: Set<string>; readonly withdrawn: Set<string> };
  /** Writes the configuration with the valid keys, as a new version. */
  readonly configure: () => void;
  readonly addServer: (service: ServiceName) => Promise<void>;
  readonly startVm: (vm: SoakVm) => Promise<void>;
  readonly close: () => Promise<void>;
}

const settingsFolder = mkdtempSync(join(tmpdir(), 'soak-'));

async function startProcess(name: string, storeAddress: string) {
  const ports = await Promise.all([findFreePort(), findFreePort(), findFreePort(), findFreePort()]);
  const address = `127.0.0.1:${ports[0]}`;
  const path = join(settingsFolder, `${name}-${ports[0]}.json`);
  const settings = {
    node_name: name,
    ip: '127.0.0.1',
    zone: 'fd-a',
    port_range: [ports[2], ports[2]],
    listen: { frontend_addr: address, ready_addr: `127.0.0.1:${ports[1]}` },
    platform: { address: storeAddress },
    bounds: { grace_s: GRACE_SECONDS, retry_slack: 500, fencing: true },
  };
  writeFileSync(path, JSON.stringify(settings));
  const args = ['--metrics-port', String(ports[3])];
  const environment = { [SETTINGS_VARIABLE]: path };
  const process = await startProgram(name, PROGRAM, args, READY_TEXT, environment);
  return { process, address };
}

/** Starts a store, backend servers and some VMs, and waits until the VMs are ready. */
export async function startSoakFleet(vmCount: number): Promise<SoakFleet> {
  const store = await startPlatformStore();
  const servers: SoakServer[] = [];
  const keys = { valid: new Set(['key-1']), withdrawn: new Set<string>() };
  let version = 1;
  let serverCount = 0;

  const register = ({ leavesAtMs, runner }: SoakServer): void => {
    const isLeaving = leavesAtMs < performance.now();
    const entry = runner.describe();
    store.put(`servers/${runner.id}`, isLeaving ? { ...entry, state: 'draining' } : entry);
  };
  const addServer = async (service: ServiceName): Promise<void> => {
    serverCount += 1;
    const models = service === 'llm' ? { models: ['m0'] } : {};
    const runner = await startPlatformRunner({ id: `s${serverCount}`, service, ...models });
    const server = { runner, service, leavesAtMs: Number.POSITIVE_INFINITY };
    servers.push(server);
    register(server);
  };
  const configure = (): void => {
    version += 1;
    store.put('op/config', createConfiguration(version, [...keys.valid]));
  };

  const counters = Array.from({ length: COUNTER_SERVERS }, () => 'counter' as const);
  const engines = Array.from({ length: ENGINES }, () => 'llm' as const);
  await Promise.all([...counters, ...engines].map(addServer));
  configure();
  const heartbeat = setInterval(() => {
    if (!store.isDown) {
      servers.forEach(register);
    }
  }, HEARTBEAT_MS);

  const vms = await Promise.all(
    Array.from({ length: vmCount }, async (_, i): Promise<SoakVm> => {
      const name = `vm-${i + 1}`;
      const started = await startProcess(name, store.address);
      return {
        name,
        ...started,
        isRunning: true,
        harmedAtMs: [],
        startedAtMs: [performance.now()],
      };
    }),
  );
  return {
    store,
    vms,
    servers,
    keys,
    configure,
    addServer,
    startVm: async (vm) => {
      Object.assign(vm, await startProcess(vm.name, store.address));
      vm.startedAtMs.push(performance.now());
      vm.isRunning = true;
    },
    close: async () => {
      clearInterval(heartbeat);
      await Promise.all(vms.map((vm) => endProcess(vm.process)));
      await Promise.all([store.close(), ...servers.map(({ runner }) => runner.close())]);
    },
  };
}

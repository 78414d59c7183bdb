/**
 * Tests that the process of an entry VM neither ends nor needs more memory than it may have while callers and servers send random bytes, beside
 * signals, suspensions, a store that is down and new configurations; and that it serves and stops afterwards.
 * `RANDOM_SEEDS=20 RANDOM_FIRST_SEED=1 RANDOM_MS=30000` plays more by hand.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { createRandom, nextRandomInt, type RandomState } from '../../src/state/random.js';
import { callEntry, getPeakMemoryKb, startEntryProcess } from '../stand-ins/entryProcess.js';
import { createConfiguration, wait } from '../stand-ins/entryVms.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';
import { endProcess, isRunning, type StartedProcess, waitFor } from '../stand-ins/processes.js';
import { runRandomCaller, startRandomServer } from '../stand-ins/randomPeers.js';

const LIMITS = { max_fds: 4_200, memory_mb: 350 };
const MAX_MEMORY_KB = LIMITS.memory_mb * 1_024;
const GRACE_S = 8;
const CALLERS = 60;
const SERVERS = 4;
const HEARTBEAT_MS = 500;
const DISRUPTION_GAP_MS = 300;
const MAX_VERSION = 1_000_000_000;
const PLAYED_MS = Number(process.env.RANDOM_MS ?? 8_000);
const SEED_COUNT = Number(process.env.RANDOM_SEEDS ?? 2);
const FIRST_SEED = Number(process.env.RANDOM_FIRST_SEED ?? 1);
const SEEDS = Array.from({ length: SEED_COUNT }, (_, i) => ({ seed: FIRST_SEED + i }));

const closers: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

type Disruption = (
  vm: StartedProcess,
  store: PlatformStore,
  random: RandomState,
) => Promise<void> | void;

const DISRUPTIONS: readonly Disruption[] = [
  ({ child }) => {
    child.kill('SIGHUP');
  },
  async ({ child }, _store, random) => {
    child.kill('SIGSTOP');
    await wait(nextRandomInt(random, 1_500));
    child.kill('SIGCONT');
  },
  async (_vm, store, random) => {
    store.isDown = true;
    await wait(nextRandomInt(random, 800));
    store.isDown = false;
  },
  (_vm, store) => store.compact(),
  (_vm, store, random) => {
    store.put('op/config', createConfiguration(2 + (random.seed % MAX_VERSION), ['key-1']));
  },
];

/** Registers the servers of both services at one address until the test ends. */
function registerServers(store: PlatformStore, address: string): void {
  const born = Date.now();
  let seq = 0;
  const register = (): void => {
    seq += 1;
    const state = { state: 'ready', cold_left_ms: 0, born, seq, zone: 'fd-a', version: 'v1' };
    const models = [{ name: 'm0', version: 1, adapters: [] }];
    for (let i = 0; i < SERVERS; i += 1) {
      const common = { address, slots: 100, ...state };
      store.put(`servers/counter-${i}`, { service: 'counter', ...common });
      store.put(`servers/llm-${i}`, { service: 'llm', models, ...common });
    }
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  closers.push(() => clearInterval(heartbeat));
}

describe('an entry VM whose callers and servers send random bytes', () => {
  it.each(SEEDS)('lives on, serves and stops, seed $seed', async ({ seed }) => {
    const store = await startPlatformStore();
    closers.push(store.close);
    store.put('op/config', createConfiguration(1, ['key-1']));
    const server = await startRandomServer(createRandom(seed));
    closers.push(server.close);
    registerServers(store, server.address);
    const entry = await startEntryProcess(store.address, LIMITS, { grace_s: GRACE_S });
    const { address, metricsAddress, peerAddress, readyAddress, vm } = entry;
    closers.push(async () => {
      await endProcess(vm);
    });
    const endsAtMs = performance.now() + PLAYED_MS;
    const isOver = (): boolean => performance.now() > endsAtMs || !isRunning(vm);
    const others = [metricsAddress, peerAddress, readyAddress];
    const addresses = [...Array.from({ length: 27 }, () => address), ...others];
    const callers = Array.from({ length: CALLERS }, (_, i) =>
      runRandomCaller(addresses, createRandom(seed * CALLERS + i), isOver),
    );
    const random = createRandom(seed + 1);
    while (!isOver()) {
      await wait(DISRUPTION_GAP_MS);
      await DISRUPTIONS[nextRandomInt(random, DISRUPTIONS.length)]!(vm, store, random);
    }
    const counts = await Promise.all(callers);
    const sent = counts.reduce((sum, count) => sum + count, 0);
    const { exitCode, signalCode } = vm.child;
    const lastLines = isRunning(vm) ? '' : vm.getOutput().slice(-2_000);
    expect([exitCode, signalCode, lastLines]).toEqual([null, null, '']);
    const peakKb = getPeakMemoryKb(vm);
    process.stdout.write(`random bytes ${seed}: ${sent} requests, ${peakKb} KB at most\n`);
    expect(peakKb).toBeLessThan(MAX_MEMORY_KB);
    await waitFor('a request is served', async () => {
      const { status } = await callEntry(entry, '/look/x', `served-${performance.now()}`);
      return status === 200;
    });
    const stoppedAtMs = performance.now();
    vm.child.kill('SIGTERM');
    await waitFor('the process has ended', () => !isRunning(vm), GRACE_S * 1_000);
    expect(vm.child.exitCode).toBe(0);
    expect(performance.now() - stoppedAtMs).toBeLessThan(GRACE_S * 1_000);
  });
});

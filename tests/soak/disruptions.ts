/**
 * The disruptions of a soak: signals, restarts, changes and faults, which come in series and overlap.
 */
import { nextRandom, nextRandomInt, type RandomState } from '../../src/state/random.js';
import { wait } from '../stand-ins/entryVms.js';
import { RunnerFault } from '../stand-ins/platformRunner.js';
import { endProcess } from '../stand-ins/processes.js';
import type { SoakFleet, SoakServer, SoakVm } from './fleet.js';

/** The shortest and the longest time between the beginnings of two disruptions. */
const MIN_GAP_MS = 150;
const MAX_GAP_MS = 900;
/** A server that leaves goes on serving for this time. */
const LEAVING_MS = 2_800;

/** Writes that a restore loses besides the others, so that the revision stays behind until the end of the soak. */
const LOST_WRITES = 300;

type Disruption = (fleet: SoakFleet, random: RandomState) => Promise<void> | void;

function pick<T>(random: RandomState, from: readonly T[]): T | undefined {
  return from[nextRandomInt(random, Math.max(1, from.length))];
}

function pickServer(fleet: SoakFleet, random: RandomState): SoakServer | undefined {
  const now = performance.now();
  return pick(
    random,
    fleet.servers.filter(({ leavesAtMs }) => leavesAtMs > now),
  );
}

/** Returns a VM that may be ended: all others have to be running. */
function pickVm(fleet: SoakFleet, random: RandomState): SoakVm | undefined {
  return fleet.vms.every(({ isRunning }) => isRunning) ? pick(random, fleet.vms) : undefined;
}

async function restart(
  fleet: SoakFleet,
  random: RandomState,
  signal: 'SIGTERM' | 'SIGKILL',
): Promise<void> {
  const vm = pickVm(fleet, random);
  if (vm !== undefined) {
    vm.isRunning = false;
    if (signal === 'SIGKILL') {
      vm.harmedAtMs.push(performance.now());
    }
    await endProcess(vm.process, signal);
    await fleet.startVm(vm);
  }
}

async function failServer(fleet: SoakFleet, random: RandomState): Promise<void> {
  const faults = [
    RunnerFault.NotExecuted,
    RunnerFault.LoseAnswer,
    RunnerFault.TruncateStream,
    RunnerFault.WrongAttemptId,
    RunnerFault.ServerError,
  ];
  const server = pickServer(fleet, random);
  if (server !== undefined) {
    server.runner.fault = pick(random, faults)!;
    await wait(200 + nextRandom(random) * 600);
    server.runner.fault = RunnerFault.None;
  }
}

const DISRUPTIONS: Readonly<Record<string, Disruption>> = {
  termVm: (fleet, random) => restart(fleet, random, 'SIGTERM'),
  killVm: (fleet, random) => restart(fleet, random, 'SIGKILL'),
  reloadVm: (fleet, random) => {
    const vm = pick(
      random,
      fleet.vms.filter(({ isRunning }) => isRunning),
    );
    vm?.process.child.kill('SIGHUP');
  },
  suspendVm: async (fleet, random) => {
    const vm = pick(
      random,
      fleet.vms.filter(({ isRunning }) => isRunning),
    );
    if (vm !== undefined) {
      const { child } = vm.process;
      vm.harmedAtMs.push(performance.now());
      child.kill('SIGSTOP');
      await wait(300 + nextRandom(random) * 1_200);
      child.kill('SIGCONT');
    }
  },
  storeDown: async ({ store }, random) => {
    store.isDown = true;
    await wait(200 + nextRandom(random) * 1_500);
    store.isDown = false;
  },
  storeLosesAnswers: async ({ store }, random) => {
    store.losesAnswers = true;
    await wait(200 + nextRandom(random) * 800);
    store.losesAnswers = false;
  },
  storeCompacts: ({ store }) => store.compact(),
  storeRestored: async ({ configure, store }, random) => {
    const copy = store.copy();
    for (let i = 0; i < LOST_WRITES; i += 1) {
      store.put('lost/key', i);
    }
    await wait(300 + nextRandom(random) * 2_000);
    store.isDown = true;
    await wait(nextRandom(random) * 800);
    store.restore(copy);
    store.isDown = false;
    await wait(100 + nextRandom(random) * 500);
    configure();
  },
  configure: ({ configure }) => configure(),
  addKey: ({ configure, keys }, random) => {
    keys.valid.add(`key-${nextRandomInt(random, 1_000_000)}-added`);
    configure();
  },
  withdrawKey: ({ configure, keys }) => {
    const [key] = [...keys.valid].filter((valid) => valid.endsWith('-added'));
    if (key !== undefined) {
      keys.valid.delete(key);
      keys.withdrawn.add(key);
      configure();
    }
  },
  failServer,
  pauseServer: async (fleet, random) => {
    const server = pickServer(fleet, random);
    if (server !== undefined) {
      server.runner.fault = RunnerFault.NotExecuted;
      server.runner.headers = { ...server.runner.headers, 'Retry-After': '0.8' };
      await wait(300);
      server.runner.fault = RunnerFault.None;
      server.runner.headers = Object.fromEntries(
        Object.entries(server.runner.headers).filter(([name]) => name !== 'Retry-After'),
      );
    }
  },
  replaceServer: async (fleet, random) => {
    const server = pickServer(fleet, random);
    if (server !== undefined) {
      await fleet.addServer(server.service);
      server.leavesAtMs = performance.now();
      server.runner.headers = { ...server.runner.headers, 'Server-Leaving': '1' };
      await wait(LEAVING_MS);
    }
  },
};

/** Begins disruptions at random times until `isOver`, and waits until all have ended. Returns their names in order. */
export async function disrupt(
  fleet: SoakFleet,
  random: RandomState,
  isOver: () => boolean,
): Promise<string[]> {
  const names = Object.keys(DISRUPTIONS);
  const begun: string[] = [];
  const running: (Promise<void> | void)[] = [];
  while (!isOver()) {
    const name = pick(random, names)!;
    begun.push(name);
    running.push(DISRUPTIONS[name]!(fleet, random));
    await wait(MIN_GAP_MS + nextRandom(random) * (MAX_GAP_MS - MIN_GAP_MS));
  }
  await Promise.all(running);
  Object.assign(fleet.store, { isDown: false, losesAnswers: false });
  return begun;
}

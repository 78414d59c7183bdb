/**
 * The disruptions of a soak of entry VMs: signals, restarts, faults and changes, which come in series and overlap.
 */
import { nextRandom, nextRandomInt, type RandomState } from '../../src/state/random.js';
import { wait } from '../stand-ins/entryVms.js';
import { isRunning } from '../stand-ins/processes.js';
import { LinkCuts } from '../stand-ins/serverLinks.js';
import type { EntryFleet, SoakServer, SoakService, SoakVm, VmLife } from './entryFleet.js';

const MIN_GAP_MS = 100;
const MAX_GAP_MS = 700;
const MIN_CUT_GAP_MS = 300;
const MAX_CUT_GAP_MS = 1_500;
const MIN_CUT_MS = 300;
const MAX_CUT_MS = 3_500;
/** A server that leaves goes on serving for this time. */
const LEAVING_MS = 2_800;

type Disruption = (fleet: EntryFleet, random: RandomState) => Promise<void> | void;

function pick<T>(random: RandomState, from: readonly T[]): T | undefined {
  return from[nextRandomInt(random, Math.max(1, from.length))];
}

function isEnding({ endSignals, process }: VmLife): boolean {
  return endSignals.length > 0 || !isRunning(process);
}

function sendEndSignal(life: VmLife, signal: 'SIGTERM' | 'SIGKILL'): void {
  life.endSignals.push({ signal, atMs: performance.now() });
  life.process.child.kill(signal);
}

/** Returns a VM that may be ended: at least one other is not ending. */
function pickVm({ vms }: EntryFleet, random: RandomState): SoakVm | undefined {
  const sound = vms.filter(({ lives }) => !isEnding(lives.at(-1)!));
  return sound.length > 1 ? pick(random, sound) : undefined;
}

function pickServer(
  { servers }: EntryFleet,
  random: RandomState,
  service?: SoakService,
): SoakServer | undefined {
  return pick(
    random,
    servers.filter(
      (server) =>
        server.killedAtMs === Number.POSITIVE_INFINITY &&
        server.state === 'ready' &&
        (service === undefined || server.service === service),
    ),
  );
}

async function disruptStore(
  { store, storeDisruptions }: EntryFleet,
  fields: Partial<Pick<EntryFleet['store'], 'isDown' | 'losesAnswers' | 'delayMs'>>,
  durationMs: number,
): Promise<void> {
  const span = { fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
  storeDisruptions.push(span);
  Object.assign(store, fields);
  await wait(durationMs);
  const sound = { isDown: false, losesAnswers: false, delayMs: 0 };
  Object.keys(fields).forEach((name) =>
    Object.assign(store, { [name]: sound[name as keyof typeof sound] }),
  );
  span.untilMs = performance.now();
}

const DISRUPTIONS: Readonly<Record<string, Disruption>> = {
  /** The next process starts while the one before still drains. */
  termVm: async (fleet, random) => {
    const vm = pickVm(fleet, random);
    if (vm !== undefined) {
      sendEndSignal(vm.lives.at(-1)!, 'SIGTERM');
      await wait(nextRandom(random) * 1_500);
      fleet.startLife(vm);
    }
  },
  termVmTwice: async (fleet, random) => {
    const vm = pickVm(fleet, random);
    if (vm !== undefined) {
      const life = vm.lives.at(-1)!;
      sendEndSignal(life, 'SIGTERM');
      await wait(nextRandom(random) * 600);
      life.process.child.kill('SIGHUP');
      life.process.child.kill('SIGTERM');
      fleet.startLife(vm);
    }
  },
  termThenKillVm: async (fleet, random) => {
    const vm = pickVm(fleet, random);
    if (vm !== undefined) {
      const life = vm.lives.at(-1)!;
      sendEndSignal(life, 'SIGTERM');
      await wait(nextRandom(random) * 3_000);
      sendEndSignal(life, 'SIGKILL');
      fleet.startLife(vm);
    }
  },
  killVm: async (fleet, random) => {
    const vm = pickVm(fleet, random);
    if (vm !== undefined) {
      sendEndSignal(vm.lives.at(-1)!, 'SIGKILL');
      await wait(nextRandom(random) * 500);
      fleet.startLife(vm);
    }
  },
  /** The signals come at any moment of a life, in its start as well. */
  reloadVm: async (fleet, random) => {
    const vm = pick(random, fleet.vms)!;
    for (let i = 0; i < 3; i += 1) {
      vm.lives.at(-1)!.process.child.kill('SIGHUP');
      await wait(nextRandom(random) * 60);
    }
  },
  suspendVm: async (fleet, random) => {
    const vm = pick(random, fleet.vms)!;
    const { child } = vm.lives.at(-1)!.process;
    const span = { fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
    vm.suspensions.push(span);
    child.kill('SIGSTOP');
    await wait(300 + nextRandom(random) * 3_500);
    child.kill('SIGCONT');
    span.untilMs = performance.now();
  },
  suspendController: async (fleet, random) => {
    const holder = fleet.orders.at(-1)?.holder;
    const vm = fleet.vms.find(({ name }) => name === holder);
    if (vm !== undefined) {
      const { child } = vm.lives.at(-1)!.process;
      const span = { fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
      vm.suspensions.push(span);
      child.kill('SIGSTOP');
      await wait(2_000 + nextRandom(random) * 2_500);
      child.kill('SIGCONT');
      span.untilMs = performance.now();
    }
  },
  storeDown: (fleet, random) =>
    disruptStore(fleet, { isDown: true }, 200 + nextRandom(random) * 2_500),
  storeSlow: (fleet, random) =>
    disruptStore(
      fleet,
      { delayMs: 50 + nextRandomInt(random, 450) },
      300 + nextRandom(random) * 2_500,
    ),
  storeLosesAnswers: (fleet, random) =>
    disruptStore(fleet, { losesAnswers: true }, 200 + nextRandom(random) * 1_500),
  storeCompacts: ({ store }) => store.compact(),
  configure: ({ configure }) => configure(),
  shortenTimeouts: ({ configure }, random) => configure(5_000 + nextRandomInt(random, 2_000)),
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
  /** A server restarts with its id. */
  restartServer: async (fleet, random) => {
    const server = pickServer(fleet, random);
    if (server !== undefined) {
      fleet.killServer(server);
      await wait(100 + nextRandom(random) * 700);
      await fleet.startServer(server.service, server.id);
    }
  },
  replaceKilledServer: async (fleet, random) => {
    const server = pickServer(fleet, random, 'flow');
    if (server !== undefined) {
      fleet.killServer(server);
      await wait(nextRandom(random) * 1_000);
      await fleet.startServer(server.service);
    }
  },
  replaceServer: async (fleet, random) => {
    const server = pickServer(fleet, random, 'flow');
    if (server !== undefined) {
      await fleet.startServer(server.service);
      server.state = 'draining';
      await wait(LEAVING_MS);
      fleet.killServer(server);
    }
  },
  spoilStreams: async ({ spoilSpans }, random) => {
    const span = { fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
    spoilSpans.push(span);
    await wait(500 + nextRandom(random) * 2_500);
    span.untilMs = performance.now();
  },
};

/** Has each VM run the present build from its next life on, and replaces one after the other. */
export async function upgradeVms(
  { presentBuild, startLife, vms }: EntryFleet,
  gapMs: number,
): Promise<void> {
  for (const vm of vms) {
    await wait(gapMs);
    vm.build = presentBuild;
    const life = vm.lives.at(-1)!;
    // One that ends already is followed by a life of the new build, unless that has begun.
    if (!isEnding(life)) {
      sendEndSignal(life, 'SIGTERM');
      startLife(vm);
    }
  }
}

/** Cuts the links of a VM to all servers, in some way and for some time, again and again until `isOver`. Returns the ways in order. */
export async function cutLinks(
  { vms }: EntryFleet,
  random: RandomState,
  isOver: () => boolean,
): Promise<string[]> {
  const { linkCuts, links } = vms.find((vm) => vm.links !== null)!;
  const names = Object.keys(LinkCuts) as (keyof typeof LinkCuts)[];
  const ways: string[] = [];
  while (!isOver()) {
    await wait(MIN_CUT_GAP_MS + nextRandom(random) * (MAX_CUT_GAP_MS - MIN_CUT_GAP_MS));
    const name = pick(random, names)!;
    ways.push(name);
    const span = { fromMs: performance.now(), untilMs: Number.POSITIVE_INFINITY };
    linkCuts.push(span);
    await links!.cut(LinkCuts[name]);
    await wait(MIN_CUT_MS + nextRandom(random) * (MAX_CUT_MS - MIN_CUT_MS));
    await links!.heal();
    span.untilMs = performance.now();
  }
  return ways;
}

/** Begins disruptions at random times until `isOver`, and waits until all have ended. Returns their names in order. */
export async function disruptEntryFleet(
  fleet: EntryFleet,
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
  return begun;
}

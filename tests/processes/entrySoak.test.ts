/**
 * Plays seeded soaks of entry VMs as real processes: callers keep using a fleet while signals, restarts, faults and changes
 * come in series and overlap. `SOAK_SEEDS=50 SOAK_FIRST_SEED=1 SOAK_VMS=6` plays more of them by hand. Upgrades begin with VMs of
 * an earlier version; `SOAK_PRODUCTION=COMMIT,COMMIT` names others.
 */
import http from 'node:http';
import { afterEach, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import { createRandom } from '../../src/state/random.js';
import { type EntryOutcome, runEntryCallers } from '../soak/entryCallers.js';
import {
  listBrokenPromises,
  listJoinedStreams,
  listOrderFaults,
  listProcessFaults,
  listUnspoiled,
  READY_MS,
} from '../soak/entryChecks.js';
import { cutLinks, disruptEntryFleet, upgradeVms } from '../soak/entryDisruptions.js';
import {
  type EntryFleet,
  GRACE_MS,
  isVmReady,
  type SoakVm,
  startEntryFleet,
} from '../soak/entryFleet.js';
import { watchEntryFleet } from '../soak/entryWatch.js';
import {
  buildEarlier,
  buildPresent,
  EarlierCommit,
  type EntryBuild,
  hasCommit,
} from '../stand-ins/entryBuilds.js';
import { wait } from '../stand-ins/entryVms.js';
import { waitFor } from '../stand-ins/processes.js';

const CALLERS_PER_VM = 6;
const DISRUPTED_MS = 8_000;
/** Time after the last disruption in which all has to be in force again: `grace_s` of the last process and `recover_s`. */
const CALM_MS = GRACE_MS + READY_MS;
const MIN_SERVED_FRACTION = 0.4;
const VM_COUNT = Number(process.env.SOAK_VMS ?? 3);
const SEED_COUNT = Number(process.env.SOAK_SEEDS ?? 3);
const FIRST_SEED = Number(process.env.SOAK_FIRST_SEED ?? 1);
const SEEDS = Array.from({ length: SEED_COUNT }, (_, i) => ({ seed: FIRST_SEED + i }));
/** Seeds of soaks in which links are cut; by hand as many as of the others. */
const CUT_SEEDS = process.env.SOAK_SEEDS === undefined ? SEEDS.slice(0, 1) : SEEDS;
/** Commits from which fleets are upgraded, each with one seed. */
const UPGRADES = (process.env.SOAK_PRODUCTION ?? Object.values(EarlierCommit).join(','))
  .split(',')
  .filter(hasCommit)
  .map((commit) => ({ commit, seed: FIRST_SEED }));

let fleet: EntryFleet;
/** The program as the platform builds it. */
let present: EntryBuild;
const closers: (() => Promise<void>)[] = [];
let checkCount = 0;
/** Errors that nothing caught, which may have ended a caller or a check. */
let uncaught: unknown[] = [];
const recordUncaught = (error: unknown): void => {
  uncaught.push(error);
};
const UNCAUGHT_EVENTS = ['uncaughtException', 'unhandledRejection'] as const;

function listUncaughtErrors(): string[] {
  return uncaught.map((error) => `uncaught: ${error instanceof Error ? error.stack : error}`);
}

/** Formats how many answers of each status there were, and how many of them looked whole. */
function formatStatuses(outcomes: readonly EntryOutcome[]): string {
  const statuses = [...new Set(outcomes.map(({ status }) => status))].sort();
  return statuses
    .map((status) => {
      const answers = outcomes.filter((outcome) => outcome.status === status);
      return `${status}: ${answers.length} (${answers.filter(({ isComplete }) => isComplete).length})`;
    })
    .join(', ');
}

/** Returns the status that a VM gives to a proper request with a key. */
function getStatus({ address }: SoakVm, key: string): Promise<number> {
  checkCount += 1;
  const [host, port] = address.split(':');
  const headers = { host: 'h', 'x-attempt-id': `check-${checkCount}`, 'x-api-key': key };
  return new Promise((resolve) => {
    http
      .get({ host, port, path: '/look/x', agent: false, headers }, (response) => {
        response.resume();
        resolve(response.statusCode ?? 0);
      })
      .on('error', () => resolve(0));
  });
}

beforeAll(() => {
  present = buildPresent();
});

beforeEach(() => {
  uncaught = [];
  UNCAUGHT_EVENTS.forEach((name) => process.on(name, recordUncaught));
});

afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
  UNCAUGHT_EVENTS.forEach((name) => process.off(name, recordUncaught));
});

/** What a soak plays besides its disruptions. */
interface SoakForm {
  /** The build with which VMs begin, if not with the present one. */
  readonly earlier?: EntryBuild;
  /** Whether the links of a VM to all servers are cut again and again. */
  readonly hasCuts?: boolean;
}

/** Plays a soak, and checks what it has shown. */
async function playSoak(seed: number, { earlier, hasCuts }: SoakForm = {}): Promise<void> {
  const softwareVersions = seed % 2 === 0 ? ['v1', 'v2'] : ['v1'];
  fleet = await startEntryFleet(VM_COUNT, softwareVersions, present, earlier, hasCuts);
  closers.push(fleet.close);
  const watch = watchEntryFleet(fleet);
  closers.push(watch.stop);
  const endsAtMs = performance.now() + DISRUPTED_MS;
  let isCalm = false;
  const callers = VM_COUNT * CALLERS_PER_VM;
  const calls = runEntryCallers(fleet, createRandom(seed), callers, () => isCalm);
  const isOver = (): boolean => performance.now() > endsAtMs;
  const upgrade = earlier === undefined ? null : upgradeVms(fleet, DISRUPTED_MS / (VM_COUNT + 1));
  const cuts = hasCuts === true ? cutLinks(fleet, createRandom(seed + 2), isOver) : [];
  const begun = await disruptEntryFleet(fleet, createRandom(seed + 1), isOver);
  await upgrade;
  begun.push(...(await cuts));
  const areAllReady = async (): Promise<boolean> =>
    (await Promise.all(fleet.vms.map(isVmReady))).every(Boolean);
  await waitFor('all VMs are ready again', areAllReady, CALM_MS);
  await wait(1_000);
  isCalm = true;
  const outcomes = await calls;
  const faults = [
    ...listBrokenPromises(fleet, outcomes),
    ...listJoinedStreams(fleet, outcomes),
    ...listProcessFaults(fleet),
    ...listOrderFaults(fleet),
    ...watch.fallen,
    ...listUncaughtErrors(),
  ];
  // A VM that is down refuses connections at once; its callers try again many times.
  const arrived = outcomes.filter(({ errorCode }) => errorCode !== 'ECONNREFUSED');
  const received = listUnspoiled(fleet, arrived);
  const served = received.filter(({ isComplete, status }) => status === 200 && isComplete);
  const lives = fleet.vms.reduce((sum, vm) => sum + vm.lives.length, 0);
  process.stdout.write(
    `entry soak ${seed}: ${received.length} requests, ${served.length} served, ` +
      `${arrived.length - received.length} spoiled, ${fleet.orders.length} orders of ` +
      `${new Set(fleet.orders.map(({ fence }) => fence)).size} fences, ${lives} lives; ` +
      `${formatStatuses(received)}; ${begun.join(' ')}\n`,
  );
  const servedFraction = served.length / received.length;
  if (faults.length > 0 || servedFraction <= MIN_SERVED_FRACTION) {
    process.stdout.write(`entry soak ${seed}: logs of the VMs in ${fleet.saveLogs()}\n`);
    process.stdout.write(`${faults.join('\n')}\n`);
  }
  expect(faults).toEqual([]);
  expect(servedFraction).toBeGreaterThan(MIN_SERVED_FRACTION);
  const { valid, withdrawn } = fleet.keys;
  const getStatuses = (keys: ReadonlySet<string>): Promise<number[]> =>
    Promise.all([...keys].flatMap((key) => fleet.vms.map((vm) => getStatus(vm, key))));
  expect(new Set(await getStatuses(valid))).toEqual(new Set([200]));
  expect((await getStatuses(withdrawn)).filter((status) => status !== 401)).toEqual([]);
  expect(listUncaughtErrors()).toEqual([]);
}

describe('a soak of entry VMs', () => {
  it.each(SEEDS)('keeps the promises to all callers and servers, seed $seed', ({ seed }) =>
    playSoak(seed),
  );
});

describe('a soak of entry VMs of which one is cut off from all servers again and again', () => {
  it.each(CUT_SEEDS)('keeps the promises to all callers and servers, seed $seed', ({ seed }) =>
    playSoak(seed, { hasCuts: true }),
  );
});

describe('a soak of entry VMs that are upgraded one after the other', () => {
  it.each(UPGRADES)(
    'keeps the promises to all callers and servers, from $commit, seed $seed',
    async ({ commit, seed }) => {
      const build = buildEarlier(commit);
      closers.push(async () => build.remove());
      await playSoak(seed, { earlier: build });
      expect(fleet.vms.map((vm) => vm.build)).toEqual(fleet.vms.map(() => present));
    },
  );
});

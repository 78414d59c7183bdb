/**
 * Tests two entry VMs whose store comes back from a copy that is some seconds older: what was written before the copy is
 * lost, revisions and leases are given out once more, and only the era tells.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  createConfiguration,
  type EntryVm,
  isReady,
  sendRequest,
  startVm,
  wait,
  waitUntil,
} from '../stand-ins/entryVms.js';
import { type PlatformRunner, startPlatformRunner } from '../stand-ins/platformRunner.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';

/** Within this time an acknowledged change has to be in force: the tightest bound of the users' sites. */
const IN_FORCE_MS = 2_000;
const OUTAGE_MS = 300;
/** Writes of the lost seconds, so that the revision of the restored store stays behind for the whole test. */
const LOST_WRITES = 200;
/** Calls that two VMs may make in the seconds after a restore. A loop of rejected watches makes thousands. */
const MAX_CALLS = 80;

/** Longer than the lease of a controller and the next claim: the copy may show the lease that is lost. */
const LEASE_CHANGE_MS = 3_500;

const CONTROLLER_KEY = 'gentiandeck/controllers/fleet';
const BASE_KEYS = ['key-1', 'withdrawn'];

let store: PlatformStore;
let runners: Record<'c1' | 'c2' | 'e1', PlatformRunner>;
let vms: EntryVm[];
let version = 1;

function configure(keys: readonly string[]): void {
  version += 1;
  store.put('op/config', createConfiguration(version, [...keys]));
}

async function getStatuses(key: string): Promise<number[]> {
  const answers = await Promise.all(
    vms.map((vm) => sendRequest(vm, '/look/x', { 'x-api-key': key })),
  );
  return answers.map(({ status }) => status);
}

async function waitForKey(key: string, status: number): Promise<void> {
  await waitUntil(async () => (await getStatuses(key)).every((answered) => answered === status));
}

/** Loses all that `write` changes: the store comes back from a copy of before. */
async function loseWrites(write: () => Promise<void>): Promise<void> {
  const copy = store.copy();
  await write();
  for (let i = 0; i < LOST_WRITES; i += 1) {
    store.put('lost/key', i);
  }
  await wait(400);
  store.isDown = true;
  await wait(OUTAGE_MS);
  store.restore(copy);
  store.isDown = false;
}

function countCalls(): number {
  return [...store.callCounts.values()].reduce((sum, count) => sum + count, 0);
}

beforeAll(async () => {
  store = await startPlatformStore();
  const [c1, c2, e1] = await Promise.all([
    startPlatformRunner({ id: 'c1', service: 'counter' }),
    startPlatformRunner({ id: 'c2', service: 'counter' }),
    startPlatformRunner({ id: 'e1', service: 'llm', models: ['m0'] }),
  ]);
  runners = { c1, c2, e1 };
  Object.values(runners).forEach((runner) => store.put(`servers/${runner.id}`, runner.describe()));
  configure(BASE_KEYS);
  vms = [await startVm('vm-1', store.address), await startVm('vm-2', store.address)];
  await waitUntil(async () => (await Promise.all(vms.map(isReady))).every(Boolean));
  await waitUntil(() => store.get(CONTROLLER_KEY) !== null);
});

afterAll(async () => {
  vms.forEach(({ daemon }) => daemon.stop());
  await Promise.all(vms.map(({ daemon }) => daemon.ended));
  await Promise.all([store.close(), ...Object.values(runners).map((runner) => runner.close())]);
});

describe('a store that was restored from a copy', () => {
  it('has its changes in force in time, and is not asked in a loop', async () => {
    await loseWrites(async () => {});
    await wait(500);
    const callsBefore = countCalls();
    configure([...BASE_KEYS, 'added']);
    await wait(IN_FORCE_MS);
    expect(await getStatuses('added')).toEqual([200, 200]);
    expect(countCalls() - callsBefore).toBeLessThan(MAX_CALLS);
  });

  it('does not undo a configuration that it has lost, until that is written again', async () => {
    await loseWrites(async () => {
      configure(['key-1', 'lost']);
      await waitForKey('lost', 200);
      await waitForKey('withdrawn', 401);
    });
    for (let i = 0; i < 10; i += 1) {
      expect(await getStatuses('lost')).toEqual([200, 200]);
      expect(await getStatuses('withdrawn')).toEqual([401, 401]);
      await wait(150);
    }
    const late = await startVm('vm-3', store.address);
    await waitUntil(() => isReady(late));
    expect((await sendRequest(late, '/look/x', { 'x-api-key': 'withdrawn' })).status).toBe(401);
    expect((await sendRequest(late, '/look/x', { 'x-api-key': 'lost' })).status).toBe(200);
    late.daemon.stop();
    await late.daemon.ended;
    configure(['key-1', 'lost', 'again']);
    await wait(IN_FORCE_MS);
    expect(await getStatuses('again')).toEqual([200, 200]);
  });

  it('tells in time of a server that leaves', async () => {
    await loseWrites(async () => {});
    await wait(500);
    store.put('servers/c1', { ...runners.c1.describe(), state: 'draining' });
    await wait(IN_FORCE_MS);
    runners.c1.seen.splice(0);
    await Promise.all(Array.from({ length: 20 }, () => getStatuses('key-1')));
    expect(runners.c1.seen).toEqual([]);
  });

  it('gets the registrations of the VMs and the lease of a controller again, whose orders are obeyed', async () => {
    await sendRequest(vms[0]!, '/draft/x', { 'x-model': 'm0/a2' }, 'p');
    const fencesBefore = runners.e1.orders.map((order) => (order as { fence: number }).fence);
    expect(fencesBefore.length).toBeGreaterThan(0);
    await loseWrites(async () => {});
    await waitUntil(() =>
      [...vms.keys()].every((i) => store.get(`gentiandeck/vms/vm-${i + 1}`) !== null),
    );
    await wait(LEASE_CHANGE_MS);
    runners.e1.orders.splice(0);
    const answer = await sendRequest(vms[0]!, '/draft/x', { 'x-model': 'm0/a1' }, 'p');
    expect(answer.status).toBe(200);
    const fences = runners.e1.orders.map((order) => (order as { fence: number }).fence);
    expect(Math.min(...fences)).toBeGreaterThan(Math.max(...fencesBefore));
  });
});

/**
 * Tests over sockets, at 500 requests a second over eight servers, that a VM heeds what servers say of themselves in their
 * answers while the store says nothing of it.
 */
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest';
import {
  createConfiguration,
  type EntryVm,
  isReady,
  sendRequest,
  startVm,
  wait,
  waitUntil,
} from '../stand-ins/entryVms.js';
import {
  type PlatformRunner,
  RunnerFault,
  startPlatformRunner,
} from '../stand-ins/platformRunner.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';

const REQUESTS_PER_SECOND = 500;
const SERVER_COUNT = 8;
/** Answers that were on their way when the server began to state something. */
const ROUND_TRIP_MS = 100;

const PAUSE_MS = 1_800;
/** Bound of the users' rule: what was on its way may arrive in this time. */
const SETTLED_MS = 500;

let store: PlatformStore;
let runners: PlatformRunner[];
let vm: EntryVm;

/** Sends requests at a constant rate, and returns the number of answers by status. */
async function sendLoad(durationMs: number): Promise<Map<number, number>> {
  const counts = new Map<number, number>();
  const endMs = performance.now() + durationMs;
  const startedAtMs = performance.now();
  const answers: Promise<void>[] = [];
  while (performance.now() < endMs) {
    const due = Math.ceil(((performance.now() - startedAtMs) / 1_000) * REQUESTS_PER_SECOND);
    while (answers.length < due) {
      answers.push(
        sendRequest(vm, '/look/x').then(({ status }) => {
          counts.set(status, (counts.get(status) ?? 0) + 1);
        }),
      );
    }
    await wait(2);
  }
  await Promise.all(answers);
  return counts;
}

beforeAll(async () => {
  store = await startPlatformStore();
  const ids = Array.from({ length: SERVER_COUNT }, (_, i) => `c${i + 1}`);
  runners = await Promise.all(ids.map((id) => startPlatformRunner({ id, service: 'counter' })));
  runners.forEach((runner) => store.put(`servers/${runner.id}`, runner.describe()));
  store.put('op/config', createConfiguration(2, ['key-1']));
  vm = await startVm('vm-1', store.address);
  await waitUntil(() => isReady(vm));
});

beforeEach(() => runners.forEach((runner) => runner.arrivals.splice(0)));

afterAll(async () => {
  vm.daemon.stop();
  await vm.daemon.ended;
  await Promise.all([store.close(), ...runners.map((runner) => runner.close())]);
});

describe('a server under load', () => {
  it('gets no requests later than a round trip after it has said that it leaves', async () => {
    const [leaving] = runners;
    let statedAtMs = Number.POSITIVE_INFINITY;
    setTimeout(() => {
      leaving!.headers = { 'Server-Leaving': '1' };
      statedAtMs = performance.now();
    }, 700);
    const counts = await sendLoad(2_000);
    const late = leaving!.arrivals.filter(({ atMs }) => atMs > statedAtMs + ROUND_TRIP_MS);
    expect(late).toEqual([]);
    expect(leaving!.arrivals.length).toBeGreaterThan(0);
    expect([...counts.keys()]).toEqual([200]);
  });

  it('gets at most two calls later than half a second after it has asked for a pause', async () => {
    const paused = runners[1]!;
    let askedAtMs = Number.POSITIVE_INFINITY;
    setTimeout(() => {
      paused.fault = RunnerFault.NotExecuted;
      paused.headers = { 'Retry-After': String(PAUSE_MS / 1_000) };
      askedAtMs = performance.now();
    }, 500);
    setTimeout(() => {
      paused.fault = RunnerFault.None;
      paused.headers = {};
    }, 700);
    const counts = await sendLoad(3_000);
    const within = paused.arrivals.filter(
      ({ atMs }) => atMs > askedAtMs + SETTLED_MS && atMs < askedAtMs + PAUSE_MS,
    );
    expect(within.length).toBeLessThanOrEqual(2);
    const after = paused.arrivals.filter(({ atMs }) => atMs > askedAtMs + PAUSE_MS);
    expect(after.length).toBeGreaterThan(0);
    expect([...counts.keys()]).toEqual([200]);
  });
});

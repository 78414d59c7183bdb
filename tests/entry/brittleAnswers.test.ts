/**
 * Tests over sockets that VMs take from the answers of servers, and from nothing else, whether these are brittle, and tell each
 * other.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  createConfiguration,
  type EntryVm,
  isReady,
  readGauge,
  sendRequest,
  startVm,
  waitUntil,
} from '../stand-ins/entryVms.js';
import { type PlatformRunner, startPlatformRunner } from '../stand-ins/platformRunner.js';
import { type PlatformStore, startPlatformStore } from '../stand-ins/platformStore.js';

const SERVER_COUNT = 3;
/** Time within which VMs learn from each other, as the platform states it. */
const CONTACT_MS = 3_000;
const REQUEST_COUNT = 20;

let store: PlatformStore;
let runners: PlatformRunner[];
let vms: EntryVm[];

function state(headers: Record<string, string>): void {
  runners.forEach((runner) => Object.assign(runner, { headers }));
}

/** Sends requests to the first VM, and returns their statuses. */
async function sendSome(headers: Record<string, string> = {}): Promise<Set<number>> {
  const requests = Array.from({ length: REQUEST_COUNT }, () =>
    sendRequest(vms[0]!, '/look/x', headers),
  );
  return new Set((await Promise.all(requests)).map(({ status }) => status));
}

function countBrittle(): Promise<number[]> {
  return Promise.all(vms.map((vm) => readGauge(vm, 'gentiandeck_brittle_backends')));
}

beforeAll(async () => {
  store = await startPlatformStore();
  const ids = Array.from({ length: SERVER_COUNT }, (_, i) => `c${i + 1}`);
  runners = await Promise.all(ids.map((id) => startPlatformRunner({ id, service: 'counter' })));
  runners.forEach((runner) => store.put(`servers/${runner.id}`, runner.describe()));
  store.put('op/config', createConfiguration(2, ['key-1']));
  vms = [await startVm('vm-1', store.address), await startVm('vm-2', store.address)];
  await waitUntil(async () => (await Promise.all(vms.map(isReady))).every(Boolean));
});

afterAll(async () => {
  vms.forEach(({ daemon }) => daemon.stop());
  await Promise.all(vms.map(({ daemon }) => daemon.ended));
  await Promise.all([store.close(), ...runners.map((runner) => runner.close())]);
});

const NOTHING: readonly {
  readonly name: string;
  readonly answer: Record<string, string>;
  readonly request: Record<string, string>;
}[] = [
  { name: 'nothing at all', answer: {}, request: {} },
  { name: 'a caller', answer: {}, request: { 'Server-Brittle': '1' } },
  { name: 'zero', answer: { 'Server-Brittle': '0' }, request: {} },
  { name: 'a negative number', answer: { 'Server-Brittle': '-1' }, request: {} },
  { name: 'an absurd number', answer: { 'Server-Brittle': '1e99' }, request: {} },
  { name: 'a text', answer: { 'Server-Brittle': 'very' }, request: {} },
];

describe('a server', () => {
  it.each(NOTHING)('does not count as brittle by what is said by $name', async (testCase) => {
    state(testCase.answer);
    expect(await sendSome(testCase.request)).toEqual(new Set([200]));
    expect(await countBrittle()).toEqual([0, 0]);
  });

  it('counts as brittle at all VMs in time once answers say so, and until they no longer do', async () => {
    state({ 'Server-Brittle': '1' });
    expect(await sendSome()).toEqual(new Set([200]));
    const saidAtMs = performance.now();
    await waitUntil(async () => (await countBrittle()).every((count) => count === SERVER_COUNT));
    expect(performance.now() - saidAtMs).toBeLessThan(CONTACT_MS);
    state({});
    await waitUntil(async () => {
      expect(await sendSome()).toEqual(new Set([200]));
      return (await countBrittle()).every((count) => count === 0);
    });
  });
});

/**
 * Tests that a VM with many kept connections and few callers, who wait for long, notices that it is cut off.
 */
import { afterAll, beforeAll, expect, it } from 'vitest';
import {
  callVm,
  type CutCall,
  type CutFleet,
  RequestKinds,
  startCutFleet,
} from '../stand-ins/cutFleet.js';
import { wait } from '../stand-ins/entryVms.js';
import { LinkCuts } from '../stand-ins/serverLinks.js';

const KEPT_CONNECTIONS = 120;
const CONTACT_MS = 3_000;
const CALL_INTERVAL_MS = 250;
const DEADLINE_MS = 4_000;
const MEASURED_CALLS = 6;
const MIN_SHARE = 2 / 3;

let fleet: CutFleet;

beforeAll(async () => {
  fleet = await startCutFleet(['fd-a', 'fd-b']);
});
afterAll(() => fleet.close());

it('serves few callers from 3 s after its kept connections began to hang', async () => {
  const [vm] = fleet.vms;
  const kind = RequestKinds.Framed;
  await Promise.all(Array.from({ length: KEPT_CONNECTIONS }, () => callVm(vm!, kind)));
  const calls: Promise<CutCall>[] = [];
  const headers = { 'x-deadline-ms': String(DEADLINE_MS) };
  await vm!.links.cut(LinkCuts.Hang);
  const cutAtMs = performance.now();
  const timer = setInterval(() => calls.push(callVm(vm!, kind, { headers })), CALL_INTERVAL_MS);
  await wait(CONTACT_MS + MEASURED_CALLS * CALL_INTERVAL_MS);
  clearInterval(timer);
  const ended = await Promise.all(calls);
  await vm!.links.heal();
  const measured = ended.filter(({ startedAtMs }) => startedAtMs >= cutAtMs + CONTACT_MS);
  const statuses = measured.map(({ isServed, status }) => ({ isServed, status }));
  const served = statuses.filter(({ isServed }) => isServed);
  expect(served.length, JSON.stringify(statuses)).toBeGreaterThanOrEqual(
    measured.length * MIN_SHARE,
  );
});

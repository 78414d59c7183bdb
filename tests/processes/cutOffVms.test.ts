/**
 * Tests that callers of VMs which are cut off from all servers are served, over real processes and sockets: two of three VMs are cut off,
 * each way to cut links, and requests of each kind.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  CALL_DEADLINE_MS,
  callVm,
  type CutCall,
  type CutFleet,
  type CutVm,
  readMetric,
  type RequestKind,
  RequestKinds,
  startCutFleet,
} from '../stand-ins/cutFleet.js';
import { wait } from '../stand-ins/entryVms.js';
import { waitFor } from '../stand-ins/processes.js';
import { type LinkCut, LinkCuts } from '../stand-ins/serverLinks.js';

/** From this time after a cut on, callers of VMs that are cut off must be served. */
const CONTACT_MS = 3_000;
const MEASURED_MS = 1_250;
const CALL_INTERVAL_MS = 250;
const BEFORE_MS = 500;
const MIN_SHARE = 2 / 3;
const HEALED_MS = 5_000;
const QUIET_MS = 400;
const PASSED = 'gentiandeck_passed_requests_total';
const CUT_OFF = 'gentiandeck_cut_off_services';
/** Statuses that promise to the caller that the request was not run. */
const NOT_RUN_STATUSES: readonly number[] = [429, 503];
const KINDS: readonly RequestKind[] = Object.values(RequestKinds);

/** VMs by their failure domains, of which the first two are cut off, and the ways to cut their links. */
interface FleetRow {
  readonly name: string;
  readonly failureDomains: readonly string[];
  readonly cuts: readonly { readonly name: string; readonly way: LinkCut }[];
}

const FLEETS: readonly FleetRow[] = [
  {
    name: 'two of three VMs',
    failureDomains: ['fd-a', 'fd-b', 'fd-c'],
    cuts: [
      { name: 'hang', way: LinkCuts.Hang },
      { name: 'silent', way: LinkCuts.Silent },
      { name: 'what the VMs send is lost', way: LinkCuts.ToServers },
    ],
  },
  {
    name: 'the two VMs of a failure domain',
    failureDomains: ['fd-a', 'fd-a', 'fd-c'],
    cuts: [
      { name: 'reset', way: LinkCuts.Reset },
      { name: 'accepted, then reset', way: LinkCuts.ResetAfterAccept },
      { name: 'refuse', way: LinkCuts.Refuse },
      { name: 'what the servers send is lost', way: LinkCuts.ToVms },
    ],
  },
];

/** Sends requests of each kind to all VMs at a constant rate. Returns what ends that, and returns all calls. */
function startCalls(vms: readonly CutVm[]): () => Promise<CutCall[]> {
  const calls: Promise<CutCall>[] = [];
  const timer = setInterval(() => {
    vms.forEach((vm) => KINDS.forEach((kind) => calls.push(callVm(vm, kind))));
  }, CALL_INTERVAL_MS);
  return () => {
    clearInterval(timer);
    return Promise.all(calls);
  };
}

function getShare(calls: readonly CutCall[]): number {
  return calls.filter(({ isServed }) => isServed).length / calls.length;
}

function sumPassed(vms: readonly CutVm[]): Promise<number> {
  return Promise.all(vms.map((vm) => readMetric(vm, PASSED))).then((counts) =>
    counts.reduce((sum, count) => sum + count, 0),
  );
}

/** Returns the first try's shares of the VMs that are cut off and of the others, by kind of request. */
function countShares(calls: readonly CutCall[], cutVms: readonly CutVm[]) {
  return KINDS.map((kind) => {
    const ofKind = calls.filter((call) => call.kind === kind);
    const isCut = ({ vm }: CutCall): boolean => cutVms.includes(vm);
    const statuses = ofKind
      .filter(isCut)
      .map(({ isServed, status }) => `${status}${isServed ? '' : '!'}`);
    const cut = getShare(ofKind.filter(isCut));
    const others = getShare(ofKind.filter((call) => !isCut(call)));
    return { kind: kind.name, cut, others, statuses: statuses.join(' ') };
  });
}

describe.each(FLEETS)('callers of VMs that are cut off from all servers: $name', (row) => {
  let fleet: CutFleet;

  beforeAll(async () => {
    fleet = await startCutFleet(row.failureDomains);
  });
  afterAll(() => fleet.close());

  it.each(row.cuts)('are served from 3 s on, and directly after it: $name', async ({ way }) => {
    const { records, vms } = fleet;
    const cutVms = vms.slice(0, 2);
    const links = new Set(cutVms.map((vm) => vm.links));
    const passedBefore = await sumPassed(vms);
    const endCalls = startCalls(vms);
    await wait(BEFORE_MS);
    expect(await sumPassed(vms)).toBe(passedBefore);
    await Promise.all([...links].map((each) => each.cut(way)));
    const cutAtMs = performance.now();
    // No call that is measured still waits when the cut has healed.
    await wait(CONTACT_MS + MEASURED_MS + CALL_DEADLINE_MS);
    await Promise.all([...links].map((each) => each.heal()));
    const calls = await endCalls();
    await waitFor(
      'the VMs reach their servers',
      async () => {
        await Promise.all(vms.flatMap((vm) => KINDS.map((kind) => callVm(vm, kind))));
        const counts = await Promise.all(vms.map((vm) => readMetric(vm, CUT_OFF)));
        return counts.every((count) => count === 0);
      },
      HEALED_MS,
    );
    const fromMs = cutAtMs + CONTACT_MS;
    const measured = calls.filter(
      ({ startedAtMs }) => startedAtMs >= fromMs && startedAtMs < fromMs + MEASURED_MS,
    );
    const shares = countShares(measured, cutVms);
    expect(shares.filter(({ others }) => others < 1)).toEqual([]);
    expect(shares.filter(({ cut, others }) => cut < others * MIN_SHARE)).toEqual([]);
    const once = calls.filter(({ kind }) => kind === RequestKinds.Once);
    expect(once.filter(({ id }) => (records.runs.get(id) ?? 0) > 1)).toEqual([]);
    const promised = calls.filter(({ status }) => NOT_RUN_STATUSES.includes(status));
    expect(promised.filter(({ id }) => records.runs.has(id))).toEqual([]);
    const wrong = calls.filter((call) => call.status === 200 && call.isWhole && !call.isServed);
    expect(wrong).toEqual([]);

    const passed = await sumPassed(vms);
    const direct = await Promise.all(vms.flatMap((vm) => KINDS.map((kind) => callVm(vm, kind))));
    await wait(QUIET_MS);
    expect(direct.filter(({ isServed }) => !isServed)).toEqual([]);
    expect(await sumPassed(vms)).toBe(passed);
    expect(passed > passedBefore).toBe(true);
  });
});

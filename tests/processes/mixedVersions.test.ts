/**
 * Tests that a VM which is cut off from all servers serves its callers while other VMs run an earlier version, as during an upgrade: two
 * of four do, and the two others can take its requests.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  type CutCall,
  type CutFleet,
  callVm,
  type RequestKind,
  RequestKinds,
  startCutFleet,
} from '../stand-ins/cutFleet.js';
import {
  buildEarlier,
  type EarlierBuild,
  EarlierCommit,
  hasCommit,
} from '../stand-ins/entryBuilds.js';
import { ENTRY_PROGRAM } from '../stand-ins/entryProcess.js';
import { wait } from '../stand-ins/entryVms.js';
import { LinkCuts } from '../stand-ins/serverLinks.js';

/** The first VM is cut off, so its failure domain is its own. */
const FAILURE_DOMAINS = ['fd-a', 'fd-b', 'fd-b', 'fd-c', 'fd-c'];
const CONTACT_MS = 3_000;
const ROUNDS = 6;
const ROUND_MS = 300;
/** Requests of each kind at one moment, so that several VMs get some. */
const CALLS_AT_ONCE = 5;
const CALL_COUNT = ROUNDS * CALLS_AT_ONCE;
const KINDS: readonly RequestKind[] = Object.values(RequestKinds);

const VERSIONS = Object.entries(EarlierCommit)
  .map(([name, commit]) => ({ name, commit }))
  .filter(({ commit }) => hasCommit(commit));

describe.each(VERSIONS)('a fleet of two versions: $name', ({ commit }) => {
  let build: EarlierBuild;
  let fleet: CutFleet;
  const calls: CutCall[] = [];

  beforeAll(async () => {
    build = buildEarlier(commit);
    const { program } = build;
    const programs = [ENTRY_PROGRAM, program, program, ENTRY_PROGRAM, ENTRY_PROGRAM];
    fleet = await startCutFleet(FAILURE_DOMAINS, {}, programs);
    const [cutVm] = fleet.vms;
    await cutVm!.links.cut(LinkCuts.Refuse);
    await wait(CONTACT_MS);
    for (let round = 0; round < ROUNDS; round += 1) {
      const kinds = Array.from({ length: CALLS_AT_ONCE }, () => KINDS).flat();
      calls.push(...(await Promise.all(kinds.map((kind) => callVm(cutVm!, kind)))));
      await wait(ROUND_MS);
    }
  });
  afterAll(async () => {
    await fleet.close();
    build.remove();
  });

  it.each(KINDS)('serves the callers of a VM that is cut off: $name', (kind) => {
    const ofKind = calls.filter((call) => call.kind === kind);
    expect(ofKind).toHaveLength(CALL_COUNT);
    expect(ofKind.filter(({ isServed }) => !isServed).map(({ status }) => status)).toEqual([]);
  });

  it('runs no request twice that may run once, and none that it rejects as not run', () => {
    const runs = ({ id }: CutCall): number => fleet.records.runs.get(id) ?? 0;
    expect(calls.filter(({ kind }) => kind === RequestKinds.Once).map(runs)).toEqual(
      Array.from({ length: CALL_COUNT }, () => 1),
    );
    expect(calls.filter((call) => call.status === 503 && runs(call) > 0)).toEqual([]);
  });
});

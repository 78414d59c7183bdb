/**
 * Tests that requests and answers arrive with all their header lines, however many their heads have, from callers and from other VMs.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  callVm,
  type CutFleet,
  type CutVm,
  type RequestKind,
  RequestKinds,
  startCutFleet,
} from '../stand-ins/cutFleet.js';
import { LinkCuts } from '../stand-ins/serverLinks.js';

/** More than the lines that Node.js reads by default. */
const LINES = 1_200;

/** Returns headers of which the last one has a name of its own. */
function createHeaders(prefix: string): Readonly<Record<string, string>> {
  const lines = Array.from({ length: LINES }, (_, i) => [`${prefix}${i}`, 'a']);
  return { ...Object.fromEntries(lines), [`${prefix}-last`]: 'b' };
}

let fleet: CutFleet;
let direct: CutVm;
let cutOff: CutVm;

beforeAll(async () => {
  fleet = await startCutFleet(['fd-a', 'fd-b'], createHeaders('y'));
  [cutOff, direct] = fleet.vms as [CutVm, CutVm];
  await cutOff.links.cut(LinkCuts.Reset);
});
afterAll(() => fleet.close());

const KINDS = [RequestKinds.Framed, RequestKinds.Unframed, RequestKinds.Resumable];
const CASES: readonly { readonly via: string; readonly kind: RequestKind; getVm: () => CutVm }[] = [
  ...KINDS.map((kind) => ({ via: 'one VM', kind, getVm: () => direct })),
  ...KINDS.map((kind) => ({ via: 'two VMs', kind, getVm: () => cutOff })),
];

// Guards against headers behind the thousandth line that servers and callers never see.
describe('a head of many lines', () => {
  it.each(CASES)('arrives whole through $via: $kind.name', async ({ getVm, kind }) => {
    fleet.records.headerNames.clear();
    const call = await callVm(getVm(), kind, { headers: createHeaders('x') });
    expect(call.isServed).toBe(true);
    expect(fleet.records.headerNames).toContain('x-last');
    expect(call.headers).toMatchObject({ 'y-last': 'b' });
  });
});

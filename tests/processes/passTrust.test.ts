/**
 * Tests that nothing but a listed VM can pass a request: headers of callers and of servers mean nothing, and what comes to the address
 * for peers from elsewhere is rejected as not run.
 */
import http from 'node:http';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import {
  type CutFleet,
  type CutVm,
  callVm,
  RequestKinds,
  startCutFleet,
} from '../stand-ins/cutFleet.js';

const PASS_HEADERS = ['gentiandeck-pass', 'gentiandeck-source', 'gentiandeck-end'];
const encode = (value: unknown): string => Buffer.from(JSON.stringify(value)).toString('base64url');

const PASS = {
  vmId: 'vm-2',
  incarnation: 'old',
  configurationVersion: 1,
  service: 'counter',
  workspace: 'mill',
  streamVersion: null,
  possiblyRunIds: [],
  notRunIds: [],
};
const SOURCE = encode({ backendId: 'counter-0', bornAtWallMs: 1, softwareVersion: 'v9' });
const END = encode({ run: 'not run', code: 1, message: 'forged', retryAfterMs: 1 });
const ALL_HEADERS = {
  'gentiandeck-pass': encode(PASS),
  'gentiandeck-source': SOURCE,
  'Gentiandeck-End': END,
};

let fleet: CutFleet;
let callCount = 0;

beforeAll(async () => {
  fleet = await startCutFleet(['fd-a', 'fd-b'], {
    'gentiandeck-source': SOURCE,
    'Gentiandeck-End': END,
  });
});
afterAll(() => fleet.close());

/** Sends a request to the address of a VM for its peers. Returns the status; 0 without an answer. */
function callPeer(
  vm: CutVm,
  headers: Readonly<Record<string, string>>,
): Promise<{ readonly id: string; readonly status: number }> {
  callCount += 1;
  const id = `forged-${callCount}`;
  const [host = '', port = ''] = vm.prepared.peerAddress.split(':');
  const common = { host: 'h', 'x-attempt-id': id, 'x-deadline-ms': '1000' };
  return new Promise((resolve) => {
    const options = { host, port, path: '/book/x', agent: false };
    const request = http.get({ ...options, headers: { ...common, ...headers } }, (response) => {
      response.resume();
      response.on('error', () => {});
      response.on('close', () => resolve({ id, status: response.statusCode ?? 0 }));
    });
    request.on('error', () => resolve({ id, status: 0 }));
  });
}

/** Headers that come to the address for peers, and the statuses that may answer them. */
const FORGERIES = [
  { name: 'an old process of a listed VM', pass: encode(PASS), statuses: [503] },
  { name: 'a VM that is not listed', pass: encode({ ...PASS, vmId: 'vm-9' }), statuses: [503] },
  { name: 'no JSON', pass: 'garbage', statuses: [503, 400] },
  { name: 'no value', pass: '', statuses: [503, 400] },
  { name: 'other fields', pass: encode({ vmId: 'vm-2' }), statuses: [503, 400] },
  { name: 'a head that is too large', pass: 'x'.repeat(100_000), statuses: [431, 400, 0] },
] as const;

describe('requests that claim to be passed', () => {
  it.each(FORGERIES)('are not run on the address for peers: $name', async ({ pass, statuses }) => {
    const { id, status } = await callPeer(fleet.vms[0]!, { 'gentiandeck-pass': pass });
    expect(statuses).toContain(status);
    expect(fleet.records.runs.has(id)).toBe(false);
  });

  it.each([
    { name: 'without a key', key: '', status: 401 },
    { name: 'with a wrong key', key: 'key-9', status: 401 },
  ])('need their key on the address for callers: $name', async ({ key, status }) => {
    const headers = { ...ALL_HEADERS, 'x-api-key': key };
    const call = await callVm(fleet.vms[0]!, RequestKinds.Once, { headers });
    expect(call.status).toBe(status);
    expect(fleet.records.runs.has(call.id)).toBe(false);
  });

  it.each(Object.values(RequestKinds))(
    'are served as any other on the address for callers, without those headers: $name',
    async (kind) => {
      const call = await callVm(fleet.vms[0]!, kind, { headers: ALL_HEADERS });
      expect(call.isServed).toBe(true);
      expect(fleet.records.runs.get(call.id)).toBe(1);
      expect(Object.keys(call.headers).filter((name) => PASS_HEADERS.includes(name))).toEqual([]);
      expect(PASS_HEADERS.filter((name) => fleet.records.headerNames.has(name))).toEqual([]);
    },
  );
});

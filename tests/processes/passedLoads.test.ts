/**
 * Tests requests that a VM without links to servers passes on, over real processes: beside a stop of the VM that has them, for callers
 * that read slowly, and with headers that claim more than their callers may.
 */
import http from 'node:http';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  callVm,
  type CutFleet,
  type CutVm,
  readMetric,
  RequestKinds,
  startCutFleet,
} from '../stand-ins/cutFleet.js';
import { getPeakMemoryKb } from '../stand-ins/entryProcess.js';
import { isRunning, waitFor } from '../stand-ins/processes.js';
import { LinkCuts } from '../stand-ins/serverLinks.js';

const CUT_OFF = 'gentiandeck_cut_off_services';
const OPEN_REQUESTS = 'gentiandeck_open_requests';
const SERVICES = 2;
/** The memory of a VM. */
const MAX_MEMORY_KB = 350 * 1_024;
/** Events of 20 ms each: half a second is left of a stream when the stop begins, less than the grace of a VM. */
const STOPPED_EVENTS = 30;
const STOPPED_AFTER = 'id: 5\n';
const CALLS_BESIDE = 10;

let fleet: CutFleet;
let first: CutVm;
let others: readonly CutVm[];

beforeEach(async () => {
  fleet = await startCutFleet(['fd-a', 'fd-b', 'fd-c']);
  [first, ...others] = fleet.vms as [CutVm, ...CutVm[]];
  await first.links.cut(LinkCuts.Reset);
  await waitFor('the first VM is cut off', async () => {
    await Promise.all(Object.values(RequestKinds).map((kind) => callVm(first, kind)));
    return (await readMetric(first, CUT_OFF)) === SERVICES;
  });
});
afterEach(() => fleet.close());

/** Returns the VM that has a passed request. */
async function findHolder(): Promise<CutVm> {
  const counts = await Promise.all(others.map((vm) => readMetric(vm, OPEN_REQUESTS)));
  return others[counts.findIndex((count) => count > 0)]!;
}

function listEventIds(body: string): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

function countUp(count: number): number[] {
  return Array.from({ length: count }, (_, i) => i + 1);
}

describe('a stop of the VM that has passed requests', () => {
  it.each([RequestKinds.Resumable, RequestKinds.Fixed])(
    'breaks none of them off, and new ones go elsewhere: $name',
    async (kind) => {
      let stopped: Promise<boolean[]> | null = null;
      const stop = async (): Promise<boolean[]> => {
        (await findHolder()).process.child.kill('SIGTERM');
        const calls = Array.from({ length: CALLS_BESIDE }, () =>
          callVm(first, RequestKinds.Framed),
        );
        return (await Promise.all(calls)).map(({ isServed }) => isServed);
      };
      const path = `${kind.path}?events=${STOPPED_EVENTS}`;
      const call = await callVm(
        first,
        { ...kind, path },
        {
          headers: { 'x-deadline-ms': '3500' },
          onData: (_request, received) => {
            if (received.includes(STOPPED_AFTER)) {
              stopped ??= stop();
            }
          },
        },
      );
      expect(call).toMatchObject({ status: 200, isWhole: true });
      expect(listEventIds(call.body)).toEqual(countUp(STOPPED_EVENTS));
      expect(fleet.records.runs.get(call.id)).toBe(1);
      expect(await stopped).toEqual(Array.from({ length: CALLS_BESIDE }, () => true));
    },
  );
});

const SLOW_READERS = 60;
const SLOW_EVENTS = 40;
const SLOW_EVENT_BYTES = 30_000;
/** Bytes after which a slow reader pauses, and for how long: 1.2 MB take it about a second. */
const SLOW_READ_BYTES = 60_000;
const SLOW_PAUSE_MS = 50;

/** Reads a stream slowly, and returns the ids of its events. */
function readSlowly({ prepared }: CutVm, id: string): Promise<number[]> {
  const [host = '', port = ''] = prepared.address.split(':');
  const path = `/flow/x?events=${SLOW_EVENTS}&bytes=${SLOW_EVENT_BYTES}`;
  const headers = { host: 'h', 'x-attempt-id': id, 'x-api-key': 'key-1', 'x-deadline-ms': '3900' };
  return new Promise((resolve) => {
    const request = http.get({ host, port, path, headers, agent: false }, (response) => {
      let text = '';
      let unpausedBytes = 0;
      response.setEncoding('latin1');
      response.on('data', (part: string) => {
        text += part;
        unpausedBytes += part.length;
        if (unpausedBytes > SLOW_READ_BYTES) {
          unpausedBytes = 0;
          response.pause();
          setTimeout(() => response.resume(), SLOW_PAUSE_MS);
        }
      });
      response.on('error', () => {});
      response.on('close', () => resolve(listEventIds(text)));
    });
    request.on('error', () => resolve([]));
  });
}

describe('passed streams of callers that read slowly', () => {
  it('arrive whole, within the memory of both VMs', async () => {
    const ids = Array.from({ length: SLOW_READERS }, (_, i) => `slow-${i}`);
    const received = await Promise.all(ids.map((id) => readSlowly(first, id)));
    expect(received).toEqual(ids.map(() => countUp(SLOW_EVENTS)));
    const processes = fleet.vms.map((vm) => vm.process);
    expect(processes.map(isRunning)).toEqual(processes.map(() => true));
    const peaksKb = processes.map(getPeakMemoryKb);
    expect(peaksKb.filter((peakKb) => peakKb >= MAX_MEMORY_KB)).toEqual([]);
  });
});

const encode = (value: unknown): string => Buffer.from(JSON.stringify(value)).toString('base64url');
const CLAIMS = {
  'gentiandeck-pass': encode({
    ...{ vmId: 'vm-2', incarnation: 'old', configurationVersion: 1, service: 'counter' },
    ...{ workspace: 'mill', streamVersion: null, possiblyRunIds: [], notRunIds: [] },
  }),
  'gentiandeck-source': encode({ backendId: 'counter-0', bornAtWallMs: 1, softwareVersion: 'v9' }),
  'gentiandeck-end': encode({ run: 'not run', code: 1, message: 'forged', retryAfterMs: 1 }),
};

describe('headers of a caller that claim a passed request', () => {
  it.each(Object.values(RequestKinds))(
    'mean nothing while its VM passes requests on: $name',
    async (kind) => {
      const { records } = fleet;
      const served = await callVm(first, kind, { headers: CLAIMS });
      const denied = await callVm(first, kind, { headers: { ...CLAIMS, 'x-api-key': 'key-9' } });
      expect(served.isServed).toBe(true);
      expect(denied.status).toBe(401);
      expect([records.runs.get(served.id), records.runs.get(denied.id)]).toEqual([1, undefined]);
      expect(Object.keys(CLAIMS).filter((name) => records.headerNames.has(name))).toEqual([]);
    },
  );
});

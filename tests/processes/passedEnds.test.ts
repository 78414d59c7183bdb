/**
 * Tests how requests end that one VM has passed to another, over real processes: their callers leave, or the other VM is killed or
 * stopped in the middle of a stream.
 */
import { once } from 'node:events';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
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
import { waitFor } from '../stand-ins/processes.js';
import { LinkCuts } from '../stand-ins/serverLinks.js';

const CUT_OFF = 'gentiandeck_cut_off_services';
const OPEN_REQUESTS = 'gentiandeck_open_requests';
const SERVICES = 2;
/** Time within which the close of a caller must have reached the server. */
const GONE_MS = 500;
const STREAM_DEADLINE_MS = 3_500;
/** Events of 20 ms each, so that a stream lasts for 1.2 s. */
const LONG_EVENTS = 60;
/** How the servers mark the ends of their streams. */
const FRAMINGS = ['chunks', 'none'];

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

function createLong(kind: RequestKind, framing = 'chunks'): RequestKind {
  return { ...kind, path: `${kind.path}?events=${LONG_EVENTS}&framing=${framing}` };
}

/** Starts a long stream at the first VM, and calls `act` with its request once some of its events have arrived. */
async function callLong(
  kind: RequestKind,
  act: (destroy: () => void) => Promise<void>,
  framing?: string,
): Promise<CutCall> {
  let acted: Promise<void> | null = null;
  const call = await callVm(first, createLong(kind, framing), {
    headers: { 'x-deadline-ms': String(STREAM_DEADLINE_MS) },
    onData: (request, received) => {
      if (acted === null && received.includes('id: 5\n')) {
        acted = act(() => request.destroy());
      }
    },
  });
  await acted;
  return call;
}

async function kill({ process: { child } }: CutVm): Promise<void> {
  const ended = once(child, 'exit');
  child.kill('SIGKILL');
  await ended;
}

/** Returns the VM that has a passed request. */
async function findHolder(): Promise<CutVm> {
  const counts = await Promise.all(others.map((vm) => readMetric(vm, OPEN_REQUESTS)));
  return others[counts.findIndex((count) => count > 0)]!;
}

function listEventIds({ body }: CutCall): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

const ALL_IDS = Array.from({ length: LONG_EVENTS }, (_, i) => i + 1);

describe('a request that was passed to another VM', () => {
  it('ends at its server within half a second after its caller has left', async () => {
    let leftAtMs = 0;
    const call = await callLong(RequestKinds.Resumable, async (destroy) => {
      leftAtMs = performance.now();
      destroy();
    });
    const { closes } = fleet.records;
    await waitFor('the server is told', () => closes.has(call.id));
    expect(closes.get(call.id)! - leftAtMs).toBeLessThan(GONE_MS);
  });

  it.each([RequestKinds.Framed, RequestKinds.Once, RequestKinds.Resumable])(
    'gives its server no more time than its caller waits, and runs once: $name',
    async (kind) => {
      const call = await callVm(first, kind);
      const { deadlinesMs, runs } = fleet.records;
      expect(call.isServed).toBe(true);
      expect(deadlinesMs.get(call.id)).toBeLessThanOrEqual(CALL_DEADLINE_MS);
      expect(runs.get(call.id)).toBe(1);
    },
  );

  const KILL_CASES = [
    { kind: RequestKinds.Resumable, isWhole: true, runs: 2 },
    { kind: RequestKinds.Fixed, isWhole: false, runs: 1 },
  ].flatMap((row) => FRAMINGS.map((framing) => ({ ...row, framing })));

  it.each(KILL_CASES)(
    'goes on elsewhere only if it may, after SIGKILL of that VM: $kind.name, framing $framing',
    async ({ framing, isWhole, kind, runs }) => {
      const killHolder = async (): Promise<void> => kill(await findHolder());
      const call = await callLong(kind, killHolder, framing);
      const ids = listEventIds(call);
      expect({ isWhole: call.isWhole, status: call.status }).toEqual({ isWhole, status: 200 });
      expect(ids).toEqual(ALL_IDS.slice(0, ids.length));
      expect(ids.length === LONG_EVENTS).toBe(isWhole);
      expect(fleet.records.runs.get(call.id)).toBe(runs);
    },
  );

  it.each(KILL_CASES)(
    'does not look whole after SIGKILL of the VM of its caller: $kind.name, framing $framing',
    async ({ framing, kind }) => {
      const call = await callLong(kind, () => kill(first), framing);
      const ids = listEventIds(call);
      expect({ isWhole: call.isWhole, status: call.status }).toEqual({
        isWhole: false,
        status: 200,
      });
      expect(ids).toEqual(ALL_IDS.slice(0, ids.length));
    },
  );
});

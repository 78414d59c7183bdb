/**
 * Kills, freezes and planned stops of real processes, with the runs counted at the plain service.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { type CallerAnswer, postWithKey } from '../stand-ins/caller.js';
import { getExpectedText } from '../stand-ins/engine.js';
import {
  type Fleet,
  getJson,
  OPERATOR_HEADERS,
  postJson,
  type RunningDaemon,
  startDaemonProcess,
  startFleet,
  waitForFleet,
} from '../stand-ins/fleet.js';
import { createSmallPlan, MILL_KEY } from '../stand-ins/plans.js';
import { endProcess, waitFor } from '../stand-ins/processes.js';
import type { ServiceFaults, ServiceStats } from '../stand-ins/service.js';

const PROMPT = 'A quotation for tape';
const MAX_TOKENS = 40;
const EXPECTED = getExpectedText(PROMPT, MAX_TOKENS);
/** After this long a leaving backend server gets nothing new. */
const LEAVING_MS = 3_000;

let fleet: Fleet;

beforeAll(async () => {
  fleet = await startFleet(createSmallPlan({ tokenMs: 5 }));
});

afterAll(async () => {
  await fleet.stop();
});

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function signal(daemon: RunningDaemon, name: 'SIGSTOP' | 'SIGCONT'): void {
  daemon.process.child.kill(name);
}

async function restart(daemon: RunningDaemon): Promise<void> {
  daemon.process = await startDaemonProcess(daemon.vmId, daemon.flags);
  await waitForFleet(fleet.daemons);
}

function book(vm: number, reference: string, key: string): Promise<CallerAnswer | null> {
  const url = `${fleet.daemons[vm]!.callerUrl}/booking/x`;
  // A killed VM gives no answer at all.
  return postWithKey(url, MILL_KEY, { reference }, { 'idempotency-key': key }).catch(() => null);
}

function getServiceUrl(): string {
  return fleet.services.get('booking')!.url;
}

async function setServiceFaults(faults: Partial<ServiceFaults>): Promise<void> {
  await postJson(`${getServiceUrl()}/faults`, faults);
}

async function countRuns(reference: string): Promise<number> {
  const stats = await getJson<ServiceStats>(`${getServiceUrl()}/stats`);
  return stats.runsByReference[reference] ?? 0;
}

interface OnceCase {
  readonly name: string;
  readonly faults: Partial<ServiceFaults>;
  /** What is done to the VM while the call is under way, and when. */
  readonly during: (daemon: RunningDaemon) => Promise<void>;
  readonly afterMs: number;
}

const ONCE_CASES: readonly OnceCase[] = [
  {
    name: 'the VM is killed while the service works',
    faults: { delayMs: 300 },
    during: async (daemon) => {
      await endProcess(daemon.process, 'SIGKILL');
    },
    afterMs: 100,
  },
  {
    name: 'the VM is killed before it can send',
    faults: { delayMs: 0 },
    during: async (daemon) => {
      await endProcess(daemon.process, 'SIGKILL');
    },
    afterMs: 0,
  },
  {
    name: 'the VM is frozen while the service works',
    faults: { delayMs: 300 },
    during: async (daemon) => {
      signal(daemon, 'SIGSTOP');
      await wait(1_500);
      signal(daemon, 'SIGCONT');
    },
    afterMs: 100,
  },
  {
    name: 'the answer is lost',
    faults: { loseAnswers: 1 },
    during: () => Promise.resolve(),
    afterMs: 100,
  },
  {
    name: 'the answer is lost and then the VM is killed',
    faults: { loseAnswers: 1, delayMs: 100 },
    during: async (daemon) => {
      await endProcess(daemon.process, 'SIGKILL');
    },
    afterMs: 300,
  },
];

describe('a booking with an idempotency key', () => {
  it.each(ONCE_CASES)('runs at most once, sent again through every VM: $name', async (testCase) => {
    const { afterMs, during, faults, name } = testCase;
    const daemon = fleet.daemons[0]!;
    await setServiceFaults(faults);
    const first = book(0, name, name);
    await wait(afterMs);
    await during(daemon);
    const again: (CallerAnswer | null)[] = [];
    for (const vm of [1, 2, 1]) {
      again.push(await book(vm, name, name));
    }
    const firstAnswer = await first;
    await wait(400);
    const runs = await countRuns(name);
    await setServiceFaults({ loseAnswers: 0, delayMs: 0 });
    const answers = [firstAnswer, ...again].filter((answer) => answer !== null);
    expect(runs).toBeLessThanOrEqual(1);
    answers.forEach(({ isWhole, run, status }) => {
      // Whoever gets an answer gets the one of the run; whoever is refused is told the truth.
      expect(isWhole).toBe(true);
      expect(status === 200 ? runs === 1 : run === 'unknown' || runs === 0).toBe(true);
    });
    if (daemon.process.child.signalCode !== null) {
      await restart(daemon);
    }
  });

  it('is answered by the VM that ran it, through any VM', async () => {
    const first = await book(0, 'replay', 'replay');
    const again = await Promise.all([book(1, 'replay', 'replay'), book(2, 'replay', 'replay')]);
    expect(again.map((answer) => answer?.text)).toEqual([first?.text, first?.text]);
    expect(await countRuns('replay')).toBe(1);
  });

  it('runs once when it is sent through all VMs at the same moment', async () => {
    await setServiceFaults({ delayMs: 200 });
    const answers = await Promise.all([0, 1, 2, 0, 1, 2].map((vm) => book(vm, 'same', 'same')));
    await setServiceFaults({ delayMs: 0 });
    expect(await countRuns('same')).toBe(1);
    expect(answers.filter((answer) => answer?.status === 200)).toHaveLength(1);
  });

  it('is not run while the store cannot record its key, and says so', async () => {
    await postJson(`${fleet.storeUrl}/faults`, { outage: true });
    const refused = await book(0, 'no-store', 'no-store');
    await postJson(`${fleet.storeUrl}/faults`, { outage: false });
    const after = await book(1, 'no-store', 'no-store');
    expect(refused).toMatchObject({ status: 503, code: 'claim_unavailable' });
    expect(after?.status).toBe(200);
    expect(await countRuns('no-store')).toBe(1);
  });

  it('runs once when the answer of the store to its claim is lost', async () => {
    await postJson(`${fleet.storeUrl}/faults`, { loseSwapAnswers: 1 });
    const answer = await book(0, 'lost-claim', 'lost-claim');
    const again = await book(1, 'lost-claim', 'lost-claim');
    expect([answer?.status, again?.status]).toEqual([200, 200]);
    expect(await countRuns('lost-claim')).toBe(1);
  });
});

interface LoadResult {
  readonly answers: readonly (CallerAnswer | null)[];
}

/** Sends streamed requests through the VMs that the balancer counts as ready. */
async function runLoad(isOver: () => boolean): Promise<LoadResult> {
  const answers: (CallerAnswer | null)[] = [];
  const ready = new Map<string, boolean>();
  const check = async (): Promise<void> => {
    while (!isOver()) {
      await Promise.all(
        fleet.daemons.map(async ({ adminUrl, vmId }) => {
          const response = await fetch(`${adminUrl}/readyz`).catch(() => null);
          ready.set(vmId, response?.ok === true);
        }),
      );
      await wait(50);
    }
  };
  const call = async (worker: number): Promise<void> => {
    for (let i = worker; !isOver(); i += 1) {
      const live = fleet.daemons.filter(({ vmId }) => ready.get(vmId) === true);
      const daemon = live[i % Math.max(1, live.length)];
      if (daemon === undefined) {
        await wait(10);
      } else {
        const url = `${daemon.callerUrl}/v1/completions`;
        const body = { model: 'quotation', prompt: PROMPT, max_tokens: MAX_TOKENS, stream: true };
        answers.push(await postWithKey(url, MILL_KEY, body).catch(() => null));
      }
    }
  };
  await Promise.all([check(), ...Array.from({ length: 8 }, (_, i) => call(i))]);
  return { answers };
}

describe('planned stops', () => {
  it('of every VM, one after another under load, cut off no request', async () => {
    let isOver = false;
    const load = runLoad(() => isOver);
    await wait(500);
    for (const daemon of fleet.daemons) {
      const exitCode = await endProcess(daemon.process, 'SIGTERM');
      expect(exitCode).toBe(0);
      await restart(daemon);
    }
    isOver = true;
    const { answers } = await load;
    const wrong = answers.filter((answer) => answer?.text !== EXPECTED || !answer.isWhole);
    expect(answers.length).toBeGreaterThan(100);
    expect(wrong).toEqual([]);
  });
});

describe('a leaving backend server', () => {
  it('gets nothing new after 3 s, and no caller sees an error', async () => {
    const [engine] = [...fleet.engines.values()];
    const getStarted = async (): Promise<number> =>
      (await getJson<{ started: number }>(`${engine!.url}/stats`)).started;
    let isOver = false;
    const load = runLoad(() => isOver);
    await wait(300);
    await postJson(`${engine!.url}/faults`, { leaving: true });
    await wait(LEAVING_MS);
    const atLimit = await getStarted();
    await wait(1_000);
    const later = await getStarted();
    isOver = true;
    const { answers } = await load;
    await postJson(`${engine!.url}/faults`, { leaving: false });
    expect(later).toBe(atLimit);
    expect(answers.filter((answer) => answer?.text !== EXPECTED)).toEqual([]);
  });
});

describe('a frozen VM', () => {
  it('leaves the others serving, and serves again when it goes on', async () => {
    const daemon = fleet.daemons[2]!;
    signal(daemon, 'SIGSTOP');
    const url = `${fleet.daemons[0]!.callerUrl}/v1/completions`;
    const body = { model: 'quotation', prompt: PROMPT, max_tokens: MAX_TOKENS };
    const meanwhile = await postWithKey(url, MILL_KEY, body);
    await wait(1_000);
    signal(daemon, 'SIGCONT');
    const after = await postWithKey(`${daemon.callerUrl}/v1/completions`, MILL_KEY, body);
    expect([meanwhile.status, after.status]).toEqual([200, 200]);
  });
});

describe('both failure domains with the store down', () => {
  it('go on serving and come back without a restart', async () => {
    await postJson(`${fleet.storeUrl}/faults`, { outage: true });
    const body = { model: 'quotation', prompt: PROMPT, max_tokens: MAX_TOKENS };
    const during = await Promise.all(
      fleet.daemons.map(({ callerUrl }) =>
        postWithKey(`${callerUrl}/v1/completions`, MILL_KEY, body),
      ),
    );
    await postJson(`${fleet.storeUrl}/faults`, { outage: false });
    await waitFor('the store is used again', async () => {
      const { adminUrl } = fleet.daemons[0]!;
      const editId = `back-${performance.now()}`;
      const message = { editId, note: '', sections: {} };
      const { status } = await postJson(`${adminUrl}/admin/v1/edits`, message, OPERATOR_HEADERS);
      return status === 200;
    });
    expect(during.map(({ status }) => status)).toEqual([200, 200, 200]);
  });
});

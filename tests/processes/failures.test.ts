/**
 * Tests daemons as real processes that are killed (SIGKILL), frozen (SIGSTOP) or shut down gracefully (SIGTERM), and
 * outages of the store. The stand-in of the plain service counts how often each booking runs.
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
import { createSmallFleetPlan, MILL_KEY } from '../stand-ins/fleetPlans.js';
import { endProcess, waitFor } from '../stand-ins/processes.js';
import type { ServiceFaults, ServiceStats } from '../stand-ins/service.js';

const PROMPT = 'A quotation for tape';
const MAX_TOKENS = 40;
const EXPECTED_TEXT = getExpectedText(PROMPT, MAX_TOKENS);
/** Time after which a backend server that reports that it is leaving must receive no new request. */
const MAX_LEAVING_PROPAGATION_MS = 3_000;

let fleet: Fleet;

beforeAll(async () => {
  fleet = await startFleet(createSmallFleetPlan({ tokenMs: 5 }));
});

afterAll(async () => {
  await fleet.stop();
});

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function sendSignal(daemon: RunningDaemon, name: 'SIGSTOP' | 'SIGCONT'): void {
  daemon.process.child.kill(name);
}

async function restart(daemon: RunningDaemon): Promise<void> {
  daemon.process = await startDaemonProcess(daemon.vmId, daemon.flags);
  await waitForFleet(fleet.daemons);
}

function sendBooking(vm: number, reference: string, key: string): Promise<CallerAnswer | null> {
  const url = `${fleet.daemons[vm]!.callerUrl}/booking/x`;
  // The connection to a killed VM fails without an answer.
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

interface AtMostOnceCase {
  /** Also the reference and the idempotency key of the booking. */
  readonly name: string;
  readonly faults: Partial<ServiceFaults>;
  /** Disturbs the VM while the call is in flight. */
  readonly disturbVm: (daemon: RunningDaemon) => Promise<void>;
  /** Time from the start of the call to the disturbance. */
  readonly disturbAfterMs: number;
}

const AT_MOST_ONCE_CASES: readonly AtMostOnceCase[] = [
  {
    name: 'the VM is killed while the service works',
    faults: { delayMs: 300 },
    disturbVm: async (daemon) => {
      await endProcess(daemon.process, 'SIGKILL');
    },
    disturbAfterMs: 100,
  },
  {
    name: 'the VM is killed before it can send',
    faults: { delayMs: 0 },
    disturbVm: async (daemon) => {
      await endProcess(daemon.process, 'SIGKILL');
    },
    disturbAfterMs: 0,
  },
  {
    name: 'the VM is frozen while the service works',
    faults: { delayMs: 300 },
    disturbVm: async (daemon) => {
      sendSignal(daemon, 'SIGSTOP');
      await wait(1_500);
      sendSignal(daemon, 'SIGCONT');
    },
    disturbAfterMs: 100,
  },
  {
    name: 'the answer is lost',
    faults: { loseAnswers: 1 },
    disturbVm: () => Promise.resolve(),
    disturbAfterMs: 100,
  },
  {
    name: 'the answer is lost and then the VM is killed',
    faults: { loseAnswers: 1, delayMs: 100 },
    disturbVm: async (daemon) => {
      await endProcess(daemon.process, 'SIGKILL');
    },
    disturbAfterMs: 300,
  },
];

describe('a booking with an idempotency key', () => {
  it.each(AT_MOST_ONCE_CASES)(
    'runs at most once when it is sent again through the other VMs: $name',
    async (testCase) => {
      const { disturbAfterMs, disturbVm, faults, name } = testCase;
      const daemon = fleet.daemons[0]!;
      await setServiceFaults(faults);
      const first = sendBooking(0, name, name);
      await wait(disturbAfterMs);
      await disturbVm(daemon);
      const again: (CallerAnswer | null)[] = [];
      for (const vm of [1, 2, 1]) {
        again.push(await sendBooking(vm, name, name));
      }
      const firstAnswer = await first;
      await wait(400);
      const runs = await countRuns(name);
      await setServiceFaults({ loseAnswers: 0, delayMs: 0 });
      const answers = [firstAnswer, ...again].filter((answer) => answer !== null);
      expect(runs).toBeLessThanOrEqual(1);
      answers.forEach(({ isWhole, run, status }) => {
        // Status 200 requires that the booking ran. A refusal must report `unknown` unless the booking did not run.
        expect(isWhole).toBe(true);
        expect(status === 200 ? runs === 1 : run === 'unknown' || runs === 0).toBe(true);
      });
      if (daemon.process.child.signalCode !== null) {
        await restart(daemon);
      }
    },
  );

  it('gets the answer of its first run through any VM', async () => {
    const first = await sendBooking(0, 'replay', 'replay');
    const again = await Promise.all([
      sendBooking(1, 'replay', 'replay'),
      sendBooking(2, 'replay', 'replay'),
    ]);
    expect(again.map((answer) => answer?.text)).toEqual([first?.text, first?.text]);
    expect(await countRuns('replay')).toBe(1);
  });

  it('runs once when it is sent through all VMs concurrently', async () => {
    await setServiceFaults({ delayMs: 200 });
    const answers = await Promise.all(
      [0, 1, 2, 0, 1, 2].map((vm) => sendBooking(vm, 'same', 'same')),
    );
    await setServiceFaults({ delayMs: 0 });
    expect(await countRuns('same')).toBe(1);
    expect(answers.filter((answer) => answer?.status === 200)).toHaveLength(1);
  });

  it('is refused and not run while the store cannot record its key', async () => {
    await postJson(`${fleet.storeUrl}/faults`, { outage: true });
    const refused = await sendBooking(0, 'no-store', 'no-store');
    await postJson(`${fleet.storeUrl}/faults`, { outage: false });
    const after = await sendBooking(1, 'no-store', 'no-store');
    expect(refused).toMatchObject({ status: 503, code: 'claim_unavailable' });
    expect(after?.status).toBe(200);
    expect(await countRuns('no-store')).toBe(1);
  });

  it('runs once when the store’s answer to the claim of its key is lost', async () => {
    await postJson(`${fleet.storeUrl}/faults`, { loseSwapAnswers: 1 });
    const answer = await sendBooking(0, 'lost-claim', 'lost-claim');
    const again = await sendBooking(1, 'lost-claim', 'lost-claim');
    expect([answer?.status, again?.status]).toEqual([200, 200]);
    expect(await countRuns('lost-claim')).toBe(1);
  });
});

interface LoadResult {
  readonly answers: readonly (CallerAnswer | null)[];
}

/** Sends streamed requests through the VMs that report ready, as a load balancer does, until the load is over. */
async function runLoad(isOver: () => boolean): Promise<LoadResult> {
  const answers: (CallerAnswer | null)[] = [];
  const readiness = new Map<string, boolean>();
  const pollReadiness = async (): Promise<void> => {
    while (!isOver()) {
      await Promise.all(
        fleet.daemons.map(async ({ adminUrl, vmId }) => {
          const response = await fetch(`${adminUrl}/readyz`).catch(() => null);
          readiness.set(vmId, response?.ok === true);
        }),
      );
      await wait(50);
    }
  };
  const sendRequests = async (worker: number): Promise<void> => {
    for (let i = worker; !isOver(); i += 1) {
      const readyDaemons = fleet.daemons.filter(({ vmId }) => readiness.get(vmId) === true);
      const daemon = readyDaemons[i % Math.max(1, readyDaemons.length)];
      if (daemon === undefined) {
        await wait(10);
      } else {
        const url = `${daemon.callerUrl}/v1/completions`;
        const body = { model: 'quotation', prompt: PROMPT, max_tokens: MAX_TOKENS, stream: true };
        answers.push(await postWithKey(url, MILL_KEY, body).catch(() => null));
      }
    }
  };
  await Promise.all([pollReadiness(), ...Array.from({ length: 8 }, (_, i) => sendRequests(i))]);
  return { answers };
}

describe('graceful shutdowns', () => {
  it('of every VM, one after another under load, interrupt no request', async () => {
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
    const wrongAnswers = answers.filter(
      (answer) => answer?.text !== EXPECTED_TEXT || !answer.isWhole,
    );
    expect(answers.length).toBeGreaterThan(100);
    expect(wrongAnswers).toEqual([]);
  });
});

describe('a leaving backend server', () => {
  it('receives no new request after 3 s, and no caller receives an error', async () => {
    const [engine] = [...fleet.engines.values()];
    const countStartedRequests = async (): Promise<number> =>
      (await getJson<{ started: number }>(`${engine!.url}/stats`)).started;
    let isOver = false;
    const load = runLoad(() => isOver);
    await wait(300);
    await postJson(`${engine!.url}/faults`, { leaving: true });
    await wait(MAX_LEAVING_PROPAGATION_MS);
    const startedAtDeadline = await countStartedRequests();
    await wait(1_000);
    const startedLater = await countStartedRequests();
    isOver = true;
    const { answers } = await load;
    await postJson(`${engine!.url}/faults`, { leaving: false });
    expect(startedLater).toBe(startedAtDeadline);
    expect(answers.filter((answer) => answer?.text !== EXPECTED_TEXT)).toEqual([]);
  });
});

describe('a frozen VM', () => {
  it('does not keep another VM from serving, and serves again when it is resumed', async () => {
    const daemon = fleet.daemons[2]!;
    sendSignal(daemon, 'SIGSTOP');
    const url = `${fleet.daemons[0]!.callerUrl}/v1/completions`;
    const body = { model: 'quotation', prompt: PROMPT, max_tokens: MAX_TOKENS };
    const meanwhile = await postWithKey(url, MILL_KEY, body);
    await wait(1_000);
    sendSignal(daemon, 'SIGCONT');
    const after = await postWithKey(`${daemon.callerUrl}/v1/completions`, MILL_KEY, body);
    expect([meanwhile.status, after.status]).toEqual([200, 200]);
  });
});

describe('both failure domains with the store down', () => {
  it('continue to serve, and use the store again without a restart when it is back', async () => {
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

/**
 * Runs the demonstration: starts stand-ins and three daemons in two failure domains, sends streamed requests
 * of two workspaces for different models, and makes a booking. With `--once` it then stops; otherwise it runs
 * until it is interrupted.
 */
import { createSseReader, SSE_DONE, SseItemKind } from '../src/protocol/sse.js';
import { getExpectedText } from '../tests/stand-ins/engine.js';
import { type Fleet, type FleetPlan, getJson, startFleet } from '../tests/stand-ins/fleet.js';
import type { ServiceStats } from '../tests/stand-ins/service.js';

const MAX_TOKENS = 24;
const QUOTATION_KEY = 'gd-demo-quotation';
const STOCK_KEY = 'gd-demo-stock';

const ENGINE_OPTIONS = { memoryMb: 4_000, maxBatch: 8, tokenMs: 10 };

const PLAN: FleetPlan = {
  failureDomains: [
    { name: 'fd-a', share: 2 },
    { name: 'fd-b', share: 1 },
  ],
  daemons: ['fd-a', 'fd-a', 'fd-b'],
  engines: [
    {
      name: 'engine-a',
      failureDomain: 'fd-a',
      options: { ...ENGINE_OPTIONS, models: [{ tag: 'quotation@1', memoryMb: 2_000 }] },
    },
    {
      name: 'engine-b',
      failureDomain: 'fd-b',
      options: {
        ...ENGINE_OPTIONS,
        models: [
          { tag: 'quotation@1', memoryMb: 2_000 },
          { tag: 'stock@1', memoryMb: 1_000 },
        ],
      },
    },
  ],
  services: [{ name: 'booking', failureDomain: 'fd-a' }],
  models: [
    { name: 'quotation', version: '1', memoryMb: 2_000 },
    { name: 'stock', version: '1', memoryMb: 1_000 },
  ],
  routes: [
    {
      name: 'booking',
      pathPrefix: '/booking',
      methods: ['POST'],
      backendServers: ['booking'],
      idempotent: false,
      open: false,
      costTokens: 1,
    },
  ],
  workspaces: [
    {
      name: 'mill-desk',
      rateTokensPerSecond: 2_000,
      burstTokens: 4_000,
      weight: 1,
      models: ['quotation'],
      routes: ['*'],
      keys: [QUOTATION_KEY],
    },
    {
      name: 'shop-counter',
      rateTokensPerSecond: 1_000,
      burstTokens: 2_000,
      weight: 1,
      models: ['stock'],
      routes: [],
      keys: [STOCK_KEY],
    },
  ],
  daemonFlags: ['--unready-ms', '200'],
};

/** The result of one check, as it is printed. */
interface Check {
  readonly name: string;
  readonly isCorrect: boolean;
  readonly detail: string;
}

interface StreamedText {
  readonly text: string;
  readonly isComplete: boolean;
  readonly firstTokenMs: number;
}

interface StreamChunk {
  readonly choices: readonly { readonly text: string }[];
}

/** Reads a stream of completion events and joins their texts. */
async function readStream(response: Response, startMs: number): Promise<StreamedText> {
  const readEvents = createSseReader();
  const data: string[] = [];
  let firstTokenMs = 0;
  for await (const bytes of response.body!) {
    if (data.length === 0) {
      firstTokenMs = performance.now() - startMs;
    }
    const items = readEvents(bytes as Uint8Array);
    data.push(...items.flatMap((item) => (item.kind === SseItemKind.Event ? [item.data] : [])));
  }
  const isComplete = data.at(-1) === SSE_DONE;
  const chunks = isComplete ? data.slice(0, -1) : data;
  const text = chunks
    .map((chunk) => (JSON.parse(chunk) as StreamChunk).choices[0]?.text ?? '')
    .join('');
  return { text, isComplete, firstTokenMs };
}

function post(url: string, key: string, body: unknown, headers = {}): Promise<Response> {
  return fetch(url, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${key}`,
      ...headers,
    },
    body: JSON.stringify(body),
  });
}

async function checkStream(
  fleet: Fleet,
  index: number,
  key: string,
  model: string,
): Promise<Check> {
  const daemon = fleet.daemons[index]!;
  const prompt = `Please draft the ${model} for lot ${index}.`;
  const startMs = performance.now();
  const body = { model, prompt, max_tokens: MAX_TOKENS, stream: true };
  const response = await post(`${daemon.callerUrl}/v1/completions`, key, body);
  const { firstTokenMs, isComplete, text } = await readStream(response, startMs);
  return {
    name: `${daemon.vmId} (${daemon.failureDomain}) streams ${model}`,
    isCorrect: isComplete && text === getExpectedText(prompt, MAX_TOKENS),
    detail: `${MAX_TOKENS} tokens, first after ${firstTokenMs.toFixed(1)} ms`,
  };
}

async function checkRefusal(fleet: Fleet): Promise<Check> {
  const { callerUrl } = fleet.daemons[0]!;
  const body = { model: 'quotation', prompt: 'x', max_tokens: 1 };
  const response = await post(`${callerUrl}/v1/completions`, STOCK_KEY, body);
  const answer = (await response.json()) as { error: { code: string; run: string } };
  return {
    name: 'a workspace is refused a model that it may not use',
    isCorrect: response.status === 403 && answer.error.run === 'not run',
    detail: `${response.status} ${answer.error.code}, ${answer.error.run}`,
  };
}

async function checkIdempotentBooking(fleet: Fleet): Promise<Check> {
  const booking = { reference: 'roundabout-7' };
  const headers = { 'idempotency-key': 'demo-booking' };
  const statuses: number[] = [];
  for (const daemon of fleet.daemons) {
    const url = `${daemon.callerUrl}/booking/reserve`;
    const response = await post(url, QUOTATION_KEY, booking, headers);
    await response.arrayBuffer();
    statuses.push(response.status);
  }
  const stats = await getJson<ServiceStats>(`${fleet.services.get('booking')!.url}/stats`);
  return {
    name: 'a booking sent through three VMs runs once',
    isCorrect: stats.runs === 1 && statuses.every((status) => status === 200),
    detail: `${stats.runs} run, answers ${statuses.join(' ')}`,
  };
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function runChecks(fleet: Fleet): Promise<boolean> {
  const checks = [
    await checkStream(fleet, 0, QUOTATION_KEY, 'quotation'),
    await checkStream(fleet, 1, STOCK_KEY, 'stock'),
    await checkStream(fleet, 2, QUOTATION_KEY, 'quotation'),
    await checkRefusal(fleet),
    await checkIdempotentBooking(fleet),
  ];
  checks.forEach(({ detail, isCorrect, name }) => {
    print(`${isCorrect ? 'ok   ' : 'WRONG'} ${name}: ${detail}`);
  });
  return checks.every((check) => check.isCorrect);
}

const isOnce = process.argv.includes('--once');
print('Starting the platform, 2 engines, 1 plain service and 3 daemons in 2 failure domains.');
const fleet = await startFleet(PLAN);
const isCorrect = await runChecks(fleet);
if (isOnce) {
  await fleet.stop();
  print(
    isCorrect ? 'All checks passed. All processes have stopped.' : 'At least one check failed.',
  );
  process.exit(isCorrect ? 0 : 1);
}
print(`Callers:   ${fleet.daemons.map((daemon) => daemon.callerUrl).join(' ')}`);
print(`Operators: ${fleet.daemons.map((daemon) => daemon.adminUrl).join(' ')}`);
print(`Keys:      ${QUOTATION_KEY} (quotation), ${STOCK_KEY} (stock). Stop with Ctrl-C.`);
process.on('SIGINT', () => {
  void fleet.stop().then(() => process.exit(isCorrect ? 0 : 1));
});

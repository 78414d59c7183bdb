/**
 * Tests the API for callers with daemons as real processes: answers, the error codes for invalid requests, and
 * the handling of faults of engines and plain services. A caller must never receive a truncated answer as complete.
 */
import net from 'node:net';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import type { BurnReport } from '../../src/protocol/burnMessages.js';
import { type CallerAnswer, postWithKey, sendRequest } from '../stand-ins/caller.js';
import { runCtl } from '../stand-ins/ctl.js';
import { type EngineFaults, getExpectedText } from '../stand-ins/engine.js';
import { type Fleet, getJson, OPERATOR_TOKEN, postJson, startFleet } from '../stand-ins/fleet.js';
import { createSmallFleetPlan, MILL_KEY, SHOP_KEY } from '../stand-ins/fleetPlans.js';
import { waitFor } from '../stand-ins/processes.js';
import type { ServiceFaults, ServiceStats } from '../stand-ins/service.js';

const PROMPT = 'A quotation for tape';
const MAX_TOKENS = 12;
const EXPECTED_TEXT = getExpectedText(PROMPT, MAX_TOKENS);
const EXPECTED_CHAT_TEXT = getExpectedText(`user: ${PROMPT}`, MAX_TOKENS);
const MAX_BODY_BYTES = 1_048_576;

let fleet: Fleet;

beforeAll(async () => {
  fleet = await startFleet(createSmallFleetPlan());
});

afterAll(async () => {
  await fleet.stop();
});

function getCallerUrl(path: string, vm = 0): string {
  return fleet.daemons[vm]!.callerUrl + path;
}

const TEXT_BODY = { model: 'quotation', prompt: PROMPT, max_tokens: MAX_TOKENS };
const CHAT_BODY = {
  model: 'quotation',
  messages: [{ role: 'user', content: PROMPT }],
  max_tokens: MAX_TOKENS,
};

const ANSWER_CASES = [
  { name: 'text, streamed', path: '/v1/completions', body: { ...TEXT_BODY, stream: true } },
  { name: 'text, not streamed', path: '/v1/completions', body: TEXT_BODY },
  { name: 'chat, streamed', path: '/v1/chat/completions', body: { ...CHAT_BODY, stream: true } },
  { name: 'chat, not streamed', path: '/v1/chat/completions', body: CHAT_BODY },
];

function getAnswerText(answer: CallerAnswer, isStreamed: boolean): string {
  if (isStreamed) {
    return answer.text;
  }
  const { choices } = JSON.parse(answer.text) as {
    choices: { text?: string; message?: { content: string } }[];
  };
  return choices[0]!.text ?? choices[0]!.message!.content;
}

describe('answers', () => {
  it.each(ANSWER_CASES)('are complete: $name', async ({ body, path }) => {
    const answer = await postWithKey(getCallerUrl(path), MILL_KEY, body);
    const expected = 'messages' in body ? EXPECTED_CHAT_TEXT : EXPECTED_TEXT;
    expect(answer).toMatchObject({ status: 200, isWhole: true });
    expect(getAnswerText(answer, 'stream' in body)).toBe(expected);
  });

  it('to a request for the model list contain only the models of the workspace', async () => {
    const headers = { authorization: `Bearer ${SHOP_KEY}` };
    const list = await getJson<{ data: { id: string }[] }>(getCallerUrl('/v1/models'), headers);
    expect(list.data.map((model) => model.id)).toEqual(['stock']);
  });

  it('from open routes require no key', async () => {
    const answer = await postWithKey(getCallerUrl('/public/hours'), null, { reference: 'open' });
    expect(answer).toMatchObject({ status: 200, isWhole: true });
  });
});

interface RefusalCase {
  readonly name: string;
  readonly path: string;
  readonly key: string | null;
  readonly body: unknown;
  readonly status: number;
  readonly code: string;
}

const COMPLETIONS_PATH = '/v1/completions';
const REFUSAL_CASES: readonly RefusalCase[] = [
  {
    name: 'no key',
    path: COMPLETIONS_PATH,
    key: null,
    body: TEXT_BODY,
    status: 401,
    code: 'missing_key',
  },
  {
    name: 'a wrong key',
    path: COMPLETIONS_PATH,
    key: 'x',
    body: TEXT_BODY,
    status: 401,
    code: 'unknown_key',
  },
  {
    name: 'an unknown model',
    path: COMPLETIONS_PATH,
    key: MILL_KEY,
    body: { ...TEXT_BODY, model: 'other' },
    status: 404,
    code: 'unknown_model',
  },
  {
    name: 'another workspace’s model',
    path: COMPLETIONS_PATH,
    key: SHOP_KEY,
    body: TEXT_BODY,
    status: 403,
    code: 'model_not_allowed',
  },
  {
    name: 'another workspace’s route',
    path: '/booking/x',
    key: SHOP_KEY,
    body: {},
    status: 403,
    code: 'route_not_allowed',
  },
  {
    name: 'an unknown route',
    path: '/nowhere',
    key: MILL_KEY,
    body: {},
    status: 404,
    code: 'unknown_route',
  },
  {
    name: 'a path with an encoded parent directory',
    path: '/booking/%2e%2e/admin',
    key: MILL_KEY,
    body: {},
    status: 404,
    code: 'unknown_route',
  },
  {
    name: 'malformed JSON',
    path: COMPLETIONS_PATH,
    key: MILL_KEY,
    body: '{"model":',
    status: 400,
    code: 'malformed_body',
  },
  {
    name: 'a missing prompt',
    path: COMPLETIONS_PATH,
    key: MILL_KEY,
    body: { model: 'quotation' },
    status: 400,
    code: 'malformed_body',
  },
  {
    name: 'a negative token limit',
    path: COMPLETIONS_PATH,
    key: MILL_KEY,
    body: { ...TEXT_BODY, max_tokens: -1 },
    status: 400,
    code: 'malformed_body',
  },
  {
    name: 'a body over the size limit',
    path: COMPLETIONS_PATH,
    key: MILL_KEY,
    body: { ...TEXT_BODY, prompt: 'x'.repeat(MAX_BODY_BYTES) },
    status: 413,
    code: 'body_too_large',
  },
  {
    name: 'more tokens than the burst capacity',
    path: COMPLETIONS_PATH,
    key: MILL_KEY,
    body: { ...TEXT_BODY, max_tokens: 1_000_000 },
    status: 400,
    code: 'request_too_large',
  },
];

describe('refused requests', () => {
  it.each(REFUSAL_CASES)(
    'get the matching status and code and are reported as not run: $name',
    async ({ body, code, key, path, status }) => {
      const answer = await postWithKey(getCallerUrl(path), key, body);
      expect(answer).toMatchObject({ status, code, run: 'not run' });
    },
  );

  it('include one whose body does not arrive in time', async () => {
    const { host, port } = new URL(fleet.daemons[0]!.callerUrl);
    const socket = net.connect(Number(port), '127.0.0.1');
    socket.write(
      `POST ${COMPLETIONS_PATH} HTTP/1.1\r\nhost: ${host}\r\ncontent-length: 100\r\n\r\n{`,
    );
    const chunks: string[] = [];
    socket.on('data', (chunk: Buffer) => chunks.push(chunk.toString()));
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    expect(chunks.join('')).toContain('408 Request Timeout');
    expect(chunks.join('')).toContain('"body_timeout"');
  });
});

interface EngineFaultCase {
  readonly name: string;
  readonly faults: Partial<EngineFaults>;
}

const ENGINE_FAULT_CASES: readonly EngineFaultCase[] = [
  { name: 'a stream is cut', faults: { truncations: 1, truncateAfterTokens: 4 } },
  { name: 'a stream ends without its end marker', faults: { missingEnds: 1 } },
  { name: 'a token is missing from the stream', faults: { gaps: 1 } },
  { name: 'an answer has the id of another request', faults: { wrongIds: 1 } },
  { name: 'the connection is cut before an answer', faults: { loseRequests: 1 } },
];

async function setEngineFaults(faults: Partial<EngineFaults>): Promise<void> {
  await Promise.all(
    [...fleet.engines.values()].map(({ url }) => postJson(`${url}/faults`, faults)),
  );
}

async function clearEngineFaults(): Promise<void> {
  await setEngineFaults({ truncations: 0, missingEnds: 0, gaps: 0, wrongIds: 0, loseRequests: 0 });
}

describe('requests to faulty engines', () => {
  it.each(ENGINE_FAULT_CASES)(
    'return a complete answer or an error code if both engines are faulty: $name',
    async ({ faults }) => {
      // Sends to one VM only, because these requests use up its retry budget.
      for (const body of [{ ...TEXT_BODY, stream: true }, TEXT_BODY]) {
        await setEngineFaults(faults);
        const answer = await postWithKey(getCallerUrl(COMPLETIONS_PATH, 2), MILL_KEY, body);
        await clearEngineFaults();
        const isStreamed = 'stream' in body;
        if (answer.isWhole && answer.status === 200) {
          expect(getAnswerText(answer, isStreamed)).toBe(EXPECTED_TEXT);
        } else {
          // With both engines faulty an error is allowed, a truncated answer is not.
          expect(answer.code).not.toBeNull();
        }
      }
    },
  );

  it.each(ENGINE_FAULT_CASES)(
    'return a complete answer if one engine is healthy: $name',
    async ({ faults }) => {
      const [engine] = [...fleet.engines.values()];
      for (let i = 0; i < 4; i += 1) {
        await postJson(`${engine!.url}/faults`, faults);
        const body = { ...TEXT_BODY, stream: true };
        const answer = await postWithKey(getCallerUrl(COMPLETIONS_PATH, i % 2), MILL_KEY, body);
        expect(answer).toMatchObject({ status: 200, isWhole: true, text: EXPECTED_TEXT });
      }
      await clearEngineFaults();
    },
  );

  it('are cancelled when the caller disconnects', async () => {
    const countCancelledRequests = async (): Promise<number> => {
      const stats = await Promise.all(
        [...fleet.engines.values()].map(({ url }) =>
          getJson<{ cancelled: number }>(`${url}/stats`),
        ),
      );
      return stats.reduce((sum, { cancelled }) => sum + cancelled, 0);
    };
    const before = await countCancelledRequests();
    const controller = new AbortController();
    const body = JSON.stringify({ ...TEXT_BODY, max_tokens: 5_000, stream: true });
    const headers = { authorization: `Bearer ${MILL_KEY}` };
    const { signal } = controller;
    const response = await fetch(getCallerUrl(COMPLETIONS_PATH), {
      method: 'POST',
      body,
      headers,
      signal,
    });
    await response.body!.getReader().read();
    controller.abort();
    await waitFor(
      'an engine cancels the request',
      async () => (await countCancelledRequests()) > before,
    );
  });
});

interface ServiceFaultCase {
  /** Also the reference of the booking, by which the service counts its runs. */
  readonly name: string;
  readonly route: string;
  readonly faults: Partial<ServiceFaults>;
  readonly status: number;
  readonly run: string | null;
  /** Expected number of runs at the service. */
  readonly runs: number;
}

const SERVICE_FAULT_CASES: readonly ServiceFaultCase[] = [
  {
    name: 'a booking whose answer is lost',
    route: 'booking',
    faults: { loseAnswers: 1 },
    status: 502,
    run: 'unknown',
    runs: 1,
  },
  {
    name: 'a booking that is lost before it runs',
    route: 'booking',
    faults: { loseCalls: 1 },
    status: 502,
    run: 'unknown',
    runs: 0,
  },
  {
    name: 'a booking whose answer is truncated',
    route: 'booking',
    faults: { truncate: 1 },
    status: 502,
    run: 'unknown',
    runs: 1,
  },
  {
    name: 'a booking whose answer has the id of another request',
    route: 'booking',
    faults: { wrongIds: 1 },
    status: 502,
    run: 'unknown',
    runs: 1,
  },
  {
    name: 'a booking whose answer has no framing',
    route: 'booking',
    faults: { unframed: 1 },
    status: 502,
    run: 'unknown',
    runs: 1,
  },
];

describe('plain services', () => {
  it.each(SERVICE_FAULT_CASES)('run a call at most once: $name', async (testCase) => {
    const { faults, name, route, run, runs, status } = testCase;
    const { url } = fleet.services.get('booking')!;
    await postJson(`${url}/faults`, faults);
    const answer = await postWithKey(getCallerUrl(`/${route}/x`), MILL_KEY, { reference: name });
    const stats = await getJson<ServiceStats>(`${url}/stats`);
    expect(answer).toMatchObject({ status, run });
    expect(stats.runsByReference[name] ?? 0).toBe(runs);
  });

  it('receive the workspace but no key', async () => {
    const headers = { cookie: 'a=b', 'x-api-key': MILL_KEY };
    const body = { reference: 'key' };
    const answer = await postWithKey(getCallerUrl('/booking/x'), MILL_KEY, body, headers);
    const { url } = fleet.services.get('booking')!;
    const stats = await getJson<ServiceStats>(`${url}/stats`);
    expect(answer.status).toBe(200);
    expect(stats.keysSeen).toEqual([]);
    expect(stats.workspaces.at(-1)).toBe('mill');
  });

  it('serve a request whose key is behind more than a thousand header lines', async () => {
    const lines = Array.from({ length: 1_200 }, (_, i) => [`x${i}`, 'a']);
    const headers = { ...Object.fromEntries(lines), authorization: `Bearer ${MILL_KEY}` };
    const answer = await sendRequest(getCallerUrl('/lookup/x'), { headers });
    expect(answer).toMatchObject({ status: 200, isWhole: true });
  });

  it('return a complete answer to a request with a query string', async () => {
    const answer = await sendRequest(getCallerUrl('/lookup/x?item=1'), {
      headers: { authorization: `Bearer ${MILL_KEY}` },
    });
    expect(answer).toMatchObject({ status: 200, isWhole: true });
  });
});

describe('the report on service-level objectives', () => {
  it('includes the requests served by every VM', async () => {
    await Promise.all(
      [0, 1, 2].map((vm) => postWithKey(getCallerUrl(COMPLETIONS_PATH, vm), MILL_KEY, TEXT_BODY)),
    );
    const { adminUrl } = fleet.daemons[1]!;
    const result = await runCtl(adminUrl, OPERATOR_TOKEN, ['report', 'burn', '--json']);
    const report = JSON.parse(result.output) as BurnReport;
    const row = report.rows.find((r) => r.target === 'quotation' && r.window === '1h');
    expect(report).toMatchObject({ vmsHeard: 3, vmsSilent: [] });
    expect(row?.requests).toBeGreaterThanOrEqual(3);
    const metrics = await (await fetch(`${adminUrl}/metrics`)).text();
    expect(metrics).toContain('gentiandeck_requests_total{workspace="mill"');
  });
});

describe('logs', () => {
  it('contain no key', () => {
    const output = fleet.daemons.map((daemon) => daemon.process.getOutput()).join('');
    expect(output).not.toContain(MILL_KEY);
    expect(output).not.toContain(SHOP_KEY);
  });
});

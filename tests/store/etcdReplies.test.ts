/**
 * Tests that no decision rests on a spoiled reply of the key-value service: of another key, cut short, out of order, or with text
 * after it.
 */
import http, { type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Effect } from 'effect';
import { afterEach, describe, expect, it } from 'vitest';
import {
  type Command,
  CommandKind,
  EventKind,
  type VmEvent,
} from '../../src/coordination/events.js';
import { STORE_PATHS, toBase64 } from '../../src/protocol/storeMessages.js';
import { EMPTY_PLAN } from '../../src/state/placementPlan.js';
import { EMPTY_SHARE_TABLE } from '../../src/state/shareTable.js';
import { type CommandContext, createCommandTable } from '../../src/transport/commandTable.js';
import { createEtcdStore, type EtcdStore } from '../../src/transport/etcdStore.js';

const KEY = 'head';
const TIMEOUT_MS = 1_000;
/** Time within which a watch must have failed. */
const WATCH_FAILS_WITHIN_MS = 500;
const READ_VERSION = 5;

let server: Server | null = null;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

/** Starts a store that sends the same text for each path; a watch stays open after it. */
async function startStore(replies: Readonly<Record<string, string>>): Promise<EtcdStore> {
  const started = http.createServer((request, response) => {
    const text = replies[request.url ?? ''] ?? '{}';
    if (request.url === STORE_PATHS.Watch) {
      response.write(text);
    } else {
      response.end(text);
    }
  });
  server = started;
  await new Promise<void>((resolve) => {
    started.listen(0, '127.0.0.1', resolve);
  });
  return createEtcdStore([`127.0.0.1:${(started.address() as AddressInfo).port}`], TIMEOUT_MS);
}

function encodeKv(version: unknown, fields: object = {}): object {
  return { key: toBase64(KEY), value: toBase64('{"a":1}'), mod_revision: version, ...fields };
}

function encodeEvents(...kvs: readonly object[]): string {
  return `${JSON.stringify({ result: { events: kvs.map((kv) => ({ kv })) } })}\n`;
}

const CUT_VALUE = toBase64('{"a":1}').slice(0, -3);
const NO_UTF8 = Buffer.from([0x7b, 0xff, 0x7d]).toString('base64');
const READ_CASES = [
  { name: 'the item of another key', text: { kvs: [encodeKv('7', { key: toBase64('x') })] } },
  { name: 'two items', text: { kvs: [encodeKv('7'), encodeKv('8')] } },
  { name: 'an item without a version', text: { kvs: [encodeKv(undefined)] } },
  { name: 'a version that is no number', text: { kvs: [encodeKv('x')] } },
  { name: 'a version with a sign', text: { kvs: [encodeKv('-7')] } },
  { name: 'a version beyond the safe integers', text: { kvs: [encodeKv('99999999999999999999')] } },
  { name: 'a value that is cut short', text: { kvs: [encodeKv('7', { value: CUT_VALUE })] } },
  { name: 'a value that is no UTF-8', text: { kvs: [encodeKv('7', { value: NO_UTF8 })] } },
  { name: 'a count without an item', text: { count: '1' } },
  { name: 'two documents', text: `{"kvs":[]}{"kvs":[]}` },
  { name: 'text after the document', text: `{"kvs":[]}x` },
  { name: 'a document that is cut short', text: `{"kvs":[` },
];

const SOUND_EVENTS = encodeEvents(encodeKv('6')) + encodeEvents(encodeKv('7'), encodeKv('9'));
const WATCH_CASES = [
  { name: 'a version that falls back', text: encodeEvents(encodeKv('6')), versions: [] },
  { name: 'an event of another key', text: encodeEvents(encodeKv('10', { key: toBase64('x') })) },
  { name: 'an event without a key', text: encodeEvents({ value: 'e30=', mod_revision: '10' }) },
  { name: 'an event without a version', text: encodeEvents(encodeKv(undefined)) },
  { name: 'a value that is cut short', text: encodeEvents(encodeKv('10', { value: CUT_VALUE })) },
  { name: 'a line that is no JSON', text: 'garbage\n' },
  { name: 'a line that is cut short', text: '{"result":{"events":[\n' },
  { name: 'two documents in a line', text: encodeEvents(encodeKv('10')).trim() + encodeEvents() },
  { name: 'JSON of another shape', text: '{"error":{"message":"x"}}\n' },
];

/** Watches a key and returns the versions that were read, and whether the watch failed in time. */
async function watch(store: EtcdStore) {
  const versions: number[] = [];
  const watching = store.watch(KEY, READ_VERSION + 1, ({ version }) => versions.push(version));
  const hasFailed = await Effect.runPromise(
    Effect.timeoutOrElse(
      Effect.matchEffect(watching, {
        onFailure: () => Effect.succeed(true),
        onSuccess: () => Effect.succeed(true),
      }),
      {
        duration: WATCH_FAILS_WITHIN_MS,
        orElse: () => Effect.succeed(false),
      },
    ),
  );
  return { versions, hasFailed };
}

describe('a read of the key-value service', () => {
  it.each(READ_CASES)('fails at $name', async ({ text }) => {
    const reply = typeof text === 'string' ? text : JSON.stringify(text);
    const store = await startStore({ [STORE_PATHS.Range]: reply });
    const outcome = Effect.match(store.get(KEY), {
      onFailure: () => 'failed',
      onSuccess: (value) => value,
    });
    expect(await Effect.runPromise(outcome)).toBe('failed');
  });

  it('returns an item, or null without one', async () => {
    const reply = JSON.stringify({ kvs: [encodeKv('7')], count: '1' });
    const store = await startStore({ [STORE_PATHS.Range]: reply });
    expect(await Effect.runPromise(store.get(KEY))).toEqual({ value: '{"a":1}', version: 7 });
    const emptyStore = await startStore({ [STORE_PATHS.Range]: '{"count":"0"}' });
    expect(await Effect.runPromise(emptyStore.get(KEY))).toBeNull();
  });
});

describe('a watch of the key-value service', () => {
  it.each(WATCH_CASES)('is opened anew after $name', async ({ text }) => {
    const late = encodeEvents(encodeKv('11'));
    const store = await startStore({ [STORE_PATHS.Watch]: SOUND_EVENTS + text + late });
    expect(await watch(store)).toEqual({ versions: [6, 7, 9], hasFailed: true });
  });

  it('goes on beside removals, events that come again and blank lines', async () => {
    const removal = `${JSON.stringify({ result: { events: [{ type: 'DELETE', kv: { key: toBase64(KEY), mod_revision: '10' } }] } })}\n`;
    const text = `${SOUND_EVENTS}${encodeEvents(encodeKv('9'))}\n${removal}${encodeEvents(encodeKv('11'))}`;
    const store = await startStore({ [STORE_PATHS.Watch]: text });
    expect(await watch(store)).toEqual({ versions: [6, 7, 9, 11], hasFailed: false });
  });
});

const STORED_CASES = [
  { name: 'the share table', command: { kind: CommandKind.ReadShareTable } },
  { name: 'the plan', command: { kind: CommandKind.ReadPlan, failureDomain: 'fd-a' } },
] as const satisfies readonly { readonly name: string; readonly command: Command }[];
const UNREADABLE_VALUES = ['{"fence":', '', 'null', '[]', '{}{}', '{"fence":"1"}'];

/** Executes a command that reads a stored value, and returns the events that follow. */
async function execute(command: (typeof STORED_CASES)[number]['command'], value: string | null) {
  const events: VmEvent[] = [];
  const store = {
    get: () => Effect.succeed(value === null ? null : { value, version: 7 }),
    listVms: Effect.succeed([]),
  };
  const context = { post: (event: VmEvent) => events.push(event), store };
  const table = createCommandTable(context as unknown as CommandContext);
  (table[command.kind] as (executed: Command) => void)(command);
  await new Promise((resolve) => {
    setTimeout(resolve, 10);
  });
  return events.filter(({ kind }) => kind !== EventKind.VmListRead);
}

describe.each(STORED_CASES)('$name in the store', ({ command }) => {
  it.each(UNREADABLE_VALUES)(
    'counts as not read, not as empty, with the text %j',
    async (value) => {
      const [event, ...others] = await execute(command, value);
      expect(event?.kind).toBe(EventKind.StoreFailed);
      expect(others).toEqual([]);
    },
  );

  it('is empty without a value', async () => {
    const [event] = await execute(command, null);
    expect(event).toMatchObject({ version: 0 });
    expect([{ table: EMPTY_SHARE_TABLE }, { plan: EMPTY_PLAN }]).toContainEqual(
      expect.objectContaining(
        event?.kind === EventKind.PlanRead ? { plan: event.plan } : { table: EMPTY_SHARE_TABLE },
      ),
    );
  });
});

/**
 * Tests what the client of the platform's store makes of replies that are sound by themselves and contradict what the store said
 * before, or each other: order, repetition, and ends that look whole.
 */
import http, { type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Effect } from 'effect';
import { afterEach, describe, expect, it } from 'vitest';
import { createPlatformStore } from '../../platform/store.js';
import { createStoreMirror, updateStoreMirror } from '../../src/state/entry/storeMirror.js';
import type { PrefixStore } from '../../src/transport/keyValueStore.js';

const TIMEOUT_MS = 1_000;
const AFTER = 20;
/** A client that has made so many calls gets a last page. */
const MAX_CALLS = 20;
const LAST_PAGE = { items: [], as_of: 1_000 };

let server: Server | null = null;

afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

/** Starts a store that sends these replies in turn, and then the last one again. */
async function startStore(...replies: readonly object[]): Promise<PrefixStore> {
  let callCount = 0;
  const started = http.createServer((_request, response) => {
    const reply = replies[Math.min(callCount, replies.length - 1)];
    callCount += 1;
    response.end(JSON.stringify(callCount > MAX_CALLS ? LAST_PAGE : reply));
  });
  server = started;
  await new Promise<void>((resolve) => {
    started.listen(0, '127.0.0.1', resolve);
  });
  return createPlatformStore(`127.0.0.1:${(started.address() as AddressInfo).port}`, TIMEOUT_MS);
}

function encodeItem(key: string, rev: number, text = `${rev}`): object {
  return { key, value: Buffer.from(text).toString('base64'), rev };
}

const FAILED = 'failed';

function run<T>(effect: Effect.Effect<T, unknown>): Promise<T | typeof FAILED> {
  return Effect.runPromise(
    Effect.match(effect, { onFailure: () => FAILED, onSuccess: (value) => value }),
  );
}

const SOUND = [encodeItem('a', 21), encodeItem('b', 23)];
const WATCH_CASES = [
  { name: 'sound changes', reply: { events: SOUND, as_of: 23 }, expected: ['a@21', 'b@23'] },
  { name: 'no change', reply: { events: [], as_of: 25 }, expected: [] },
  {
    name: 'a change that is known already',
    reply: { events: [encodeItem('a', 20), ...SOUND], as_of: 23 },
    expected: ['a@21', 'b@23'],
  },
  {
    name: 'a change after the revision of the reply',
    reply: { events: [...SOUND, encodeItem('c', 500)], as_of: 23 },
    expected: ['a@21', 'b@23'],
  },
  { name: 'a revision below the one asked for', reply: { events: [], as_of: 19 }, expected: null },
  { name: 'a change at a fraction', reply: { events: [encodeItem('a', 21.5)], as_of: 23 } },
  { name: 'a change without a key', reply: { events: [{ value: '', rev: 21 }], as_of: 23 } },
  { name: 'a change without a revision', reply: { events: [{ key: 'a', value: '' }], as_of: 23 } },
  { name: 'a revision below zero', reply: { events: [], as_of: -1 } },
  { name: 'a revision that would be of another era', reply: { events: [], as_of: 2 ** 36 + 5 } },
  {
    name: 'a change that would be of another era',
    reply: { events: [encodeItem('a', 2 ** 36)], as_of: 23 },
  },
];

describe('a watch of the platform store', () => {
  it.each(WATCH_CASES)('with $name returns $expected', async ({ expected = FAILED, reply }) => {
    const store = await startStore(reply);
    const changes = await run(store.waitForChanges('', AFTER, 0));
    const items =
      changes === null || changes === FAILED
        ? changes
        : changes.items.map(({ key, version }) => `${key}@${version}`);
    expect(items).toEqual(expected);
  });
});

const LIST_CASES = [
  {
    name: 'two pages',
    replies: [
      { items: [encodeItem('a', 5)], more_pages: true, as_of: 9 },
      { items: [encodeItem('b', 10)], as_of: 10 },
    ],
    expected: ['a@5', 'b@10'],
  },
  {
    name: 'the same page again and again',
    replies: [{ items: SOUND, more_pages: true, as_of: 23 }],
  },
  {
    name: 'a page without items that is not the last one',
    replies: [
      { items: [encodeItem('a', 5)], more_pages: true, as_of: 9 },
      { items: [], more_pages: true, as_of: 9 },
    ],
  },
  {
    name: 'a first page without items that is not the last one',
    replies: [{ items: [], more_pages: true, as_of: 9 }],
  },
  {
    name: 'a revision that falls back between pages',
    replies: [
      { items: [encodeItem('a', 5)], more_pages: true, as_of: 9 },
      { items: [encodeItem('b', 4)], as_of: 8 },
    ],
  },
  {
    name: 'a key twice in a page, of which the mirror takes the later one',
    replies: [{ items: [encodeItem('a', 5), encodeItem('a', 4)], as_of: 9 }],
    expected: ['a@5', 'a@4'],
  },
  { name: 'an item of another era', replies: [{ items: [encodeItem('a', 2 ** 36)], as_of: 9 }] },
];

describe('the list of the platform store', () => {
  it.each(LIST_CASES)('with $name returns $expected', async ({ expected = FAILED, replies }) => {
    const store = await startStore(...replies);
    const list = await run(store.list(''));
    expect(
      list === FAILED ? list : list.items.map(({ key, version }) => `${key}@${version}`),
    ).toEqual(expected);
  });
});

const ITEM_CASES = [
  { name: 'the item', reply: encodeItem('k', 7, 'x'), expected: { value: 'x', version: 7 } },
  { name: 'the item of another key', reply: encodeItem('other', 7) },
  {
    name: 'a value that is cut short',
    reply: { ...encodeItem('k', 7, 'abcd'), value: 'YWJj\u0000' },
  },
  { name: 'a value without its padding', reply: { key: 'k', value: 'YWJjZA', rev: 7 } },
  { name: 'a value that is no UTF-8', reply: { key: 'k', value: '/w==', rev: 7 } },
  { name: 'a revision of another era', reply: encodeItem('k', 2 ** 36, 'x') },
];

describe('a read of one key of the platform store', () => {
  it.each(ITEM_CASES)('with $name returns $expected', async ({ expected = FAILED, reply }) => {
    const store = await startStore(reply);
    expect(await run(store.get('k'))).toEqual(expected);
  });
});

const MIRROR_CASES = [
  { name: 'changes in order', isSnapshot: false, versions: [21, 22], expected: 22 },
  { name: 'changes that fall back', isSnapshot: false, versions: [22, 21], expected: 22 },
  { name: 'a change twice', isSnapshot: false, versions: [22, 22], expected: 22 },
  {
    name: 'a snapshot with an older copy of a key',
    isSnapshot: true,
    versions: [22, 21],
    expected: 22,
  },
];

describe('a mirror of the platform store', () => {
  it.each(MIRROR_CASES)(
    'has the latest of $name of a key',
    ({ expected, isSnapshot, versions }) => {
      const mirror = createStoreMirror();
      updateStoreMirror(mirror, { isSnapshot: true, items: [], revision: AFTER });
      const items = versions.map((version) => ({ key: 'a', value: `${version}`, version }));
      updateStoreMirror(mirror, { isSnapshot, items, revision: 25 });
      expect(mirror.items.get('a')?.version).toBe(expected);
    },
  );
});

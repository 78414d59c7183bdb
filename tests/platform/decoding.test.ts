/**
 * What comes from the platform is decoded once; whatever is torn or foreign gives a typed failure.
 */
import fc from 'fast-check';
import type { Either } from 'purify-ts';
import { describe, expect, it } from 'vitest';
import { decodeBackendEntry, decodeEngineReport } from '../../platform/backendServers.js';
import { decodeConfiguration } from '../../platform/configuration.js';
import { decodeEngineOrderStatus, encodeEngineOrder } from '../../platform/engines.js';
import { decodeAnswerHead, decodeRequestHead, encodeForwardHead } from '../../platform/requests.js';
import { decodeSettings } from '../../platform/settings.js';
import type { Diagnostic } from '../../src/state/diagnostics.js';

const SERVER = {
  service: 's',
  address: '10.1.0.9:8080',
  zone: 'z',
  version: 'v1',
  slots: 64,
  state: 'ready',
  cold_left_ms: 0,
  seq: 4,
  models: [{ name: 'm', version: 1, adapters: ['a1@2'] }],
};

const ENTRY_CASES = [
  { name: 'whole', change: {}, isRight: true },
  { name: 'without models', change: { models: undefined }, isRight: true },
  { name: 'with a field that is not known', change: { later: 1 }, isRight: true },
  { name: 'without an address', change: { address: undefined }, isRight: false },
  { name: 'with slots of another type', change: { slots: '64' }, isRight: false },
  { name: 'with an unknown state', change: { state: 'resting' }, isRight: false },
  { name: 'without a heartbeat', change: { seq: undefined }, isRight: false },
  { name: 'with a start that is no whole number', change: { born: 1.5 }, isRight: false },
];

describe('the entry of a server', () => {
  it.each(ENTRY_CASES)('$name', ({ change, isRight }) => {
    const text = JSON.stringify({ ...SERVER, ...change });
    expect(decodeBackendEntry('servers/i-1', text).isRight()).toBe(isRight);
  });

  it('names adapters without their version, and has no count of orders', () => {
    const entry = decodeBackendEntry('servers/i-1', JSON.stringify(SERVER)).toMaybe().extract();
    expect(entry).toMatchObject({ id: 'i-1', models: [{ name: 'm', adapters: ['a1'] }] });
    expect(entry).not.toHaveProperty('orderCount');
  });
});

interface Decoder {
  readonly name: string;
  readonly decode: (text: string) => Either<Diagnostic, unknown>;
}

const DECODERS: readonly Decoder[] = [
  { name: 'entries', decode: (text: string) => decodeBackendEntry('servers/i-1', text) },
  { name: 'reports', decode: decodeEngineReport },
  { name: 'configurations', decode: decodeConfiguration },
  { name: 'settings', decode: decodeSettings },
];

describe('decoders', () => {
  it.each(DECODERS)('of $name fail with a type on anything else', ({ decode }) => {
    const inputs = fc.oneof(
      fc.string(),
      fc.json(),
      fc.object().map((o) => JSON.stringify(o)),
    );
    fc.assert(
      fc.property(inputs, (text) => {
        decode(text).caseOf({
          Left: ({ code }) => expect(code).toBeGreaterThan(0),
          Right: (value) => expect(value).toBeTypeOf('object'),
        });
      }),
      { numRuns: 500 },
    );
  });
});

const BASE = ['Host', 'h', 'X-Attempt-Id', 'id-1'];

const HEAD_CASES = [
  { name: 'plain', url: '/a/b?c=1', more: [], isRight: true },
  { name: 'without an id', url: '/a', more: null, isRight: false },
  { name: 'two ids', url: '/a', more: ['x-attempt-id', 'id-2'], isRight: false },
  { name: 'two hosts', url: '/a', more: ['host', 'other'], isRight: false },
  { name: 'two keys', url: '/a', more: ['X-Api-Key', 'a', 'X-Api-Key', 'b'], isRight: false },
  {
    name: 'a length and chunks',
    url: '/a',
    more: ['Content-Length', '3', 'Transfer-Encoding', 'chunked'],
    isRight: false,
  },
  {
    name: 'a deadline that is no number',
    url: '/a',
    more: ['X-Deadline-Ms', 'soon'],
    isRight: false,
  },
  { name: 'a whole address as target', url: 'http://h/a', more: [], isRight: false },
];

describe('the head of a request', () => {
  it.each(HEAD_CASES)('$name', ({ isRight, more, url }) => {
    const headers = more === null ? ['Host', 'h'] : [...BASE, ...more];
    expect(decodeRequestHead(url, headers).isRight()).toBe(isRight);
  });

  it('tells model, adapter, token counts and parts, and keeps only a digest of the key', () => {
    const headers = [
      ...[...BASE, 'X-Model', 'm/a3', 'X-Token-Count', '1460,80', 'X-Api-Key', 'secret'],
      ...['X-Prompt-Prefix', '5c1e:800,91bd:410', 'X-Deadline-Ms', '900'],
    ];
    const head = decodeRequestHead('/p/q?r=1', headers).toMaybe().extract();
    expect(head).toMatchObject({
      path: '/p/q',
      model: 'm',
      adapter: 'a3',
      promptTokens: 1460,
      maxOutputTokens: 80,
      deadlineMs: 900,
      promptParts: ['5c1e', '91bd'],
    });
    expect(JSON.stringify(head)).not.toContain('secret');
  });
});

describe('the head that is sent on', () => {
  const forward = {
    workspace: 'mill',
    expectedServer: 'i-1',
    remainingMs: 812.7,
    urgency: 2,
    resumeAfter: null,
  };
  const forged = [
    ...['X-Tenant', 'other', 'X-Hold', 'h', 'X-Pin-Ms', '9', 'Kv-From', 'x', 'X-Api-Key', 'secret'],
    ...[
      'X-Target-Instance',
      'i-9',
      'X-Urgency',
      '0',
      'X-Deadline-Ms',
      '99999',
      'Connection',
      'close',
    ],
  ];

  it('has what the system sets, and nothing of that from the caller', () => {
    const headers = encodeForwardHead([...BASE, 'X-Model', 'm', ...forged], forward);
    expect(headers).toEqual([
      ...[...BASE, 'X-Model', 'm', 'X-Deadline-Ms', '812', 'X-Target-Instance', 'i-1'],
      ...['X-Urgency', '2', 'X-Tenant', 'mill'],
    ]);
  });

  it('goes on after the last event that the caller has', () => {
    const headers = encodeForwardHead([...BASE, 'Last-Event-Id', '3'], {
      ...forward,
      resumeAfter: '17',
    });
    expect(headers.filter((_, i) => headers[i - 1] === 'Last-Event-Id')).toEqual(['17']);
  });
});

const ANSWER_CASES = [
  { name: 'an answer', status: 200, headers: {}, refused: false, misdirected: false },
  {
    name: 'shed',
    status: 503,
    headers: { 'x-not-executed': '1' },
    refused: true,
    misdirected: false,
  },
  { name: 'its own failure', status: 503, headers: {}, refused: false, misdirected: false },
  { name: 'another server', status: 421, headers: {}, refused: true, misdirected: true },
];

describe('the head of an answer', () => {
  it.each(ANSWER_CASES)('$name', ({ headers, misdirected, refused, status }) => {
    const head = decodeAnswerHead(status, headers);
    expect([head.isRefused, head.isMisdirected]).toEqual([refused, misdirected]);
  });
});

const OUTCOME_CASES = [
  { status: 200, outcome: 'done' },
  { status: 202, outcome: 'accepted' },
  { status: 400, outcome: 'rejected' },
  { status: 409, outcome: 'conflict' },
  { status: 412, outcome: 'fenced' },
  { status: 421, outcome: 'rejected' },
];

describe('an order', () => {
  it.each(OUTCOME_CASES)('with status $status is $outcome', ({ outcome, status }) => {
    expect(decodeEngineOrderStatus(status)).toBe(outcome);
  });

  it('always states the count that it follows, its holder and its fence', () => {
    const order = { action: 'load', model: 'm', adapter: 'a1', expectedOrderCount: 3 } as const;
    expect(JSON.parse(encodeEngineOrder(order, 'vm-1', 41))).toEqual({
      op: 'load',
      model: 'm',
      adapter: 'a1',
      expected: 3,
      holder: 'vm-1',
      fence: 41,
    });
  });
});

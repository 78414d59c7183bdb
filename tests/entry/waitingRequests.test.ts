/**
 * Tests which waiting requests are sent when the entry of one server is read: those that the server can run.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import type { BackendEntry } from '../../src/state/entry/backends.js';
import { createTestEntry, createTestRequest, createTestVm, findCommands } from './fixtures.js';

const NOW_MS = 10_100;
const holding = (name: string, adapters: string[] = []): Partial<BackendEntry> => ({
  models: [{ name, version: 1, adapters }],
});

interface Case {
  readonly name: string;
  readonly service: 'llm' | 'counter';
  readonly entry: Partial<BackendEntry>;
  readonly sent: readonly string[];
}

const CASES: readonly Case[] = [
  { name: 'the model of one request', service: 'llm', entry: holding('m4'), sent: ['on-m4'] },
  {
    name: 'a model and an adapter on it',
    service: 'llm',
    entry: holding('m4', ['a1']),
    sent: ['on-m4', 'on-m4-a1'],
  },
  { name: 'another model', service: 'llm', entry: holding('m9'), sent: [] },
  {
    name: 'the model, but for another service',
    service: 'counter',
    entry: holding('m4'),
    sent: [],
  },
  {
    name: 'the model, but leaves',
    service: 'llm',
    entry: { ...holding('m4'), isLeaving: true },
    sent: [],
  },
];

describe('the requests that wait for models', () => {
  it.each(CASES)('are sent as far as a server has $name', ({ entry, sent, service }) => {
    const vm = createTestVm();
    const requests = [
      createTestRequest('on-m4', '/draft/x', { model: 'm4' }),
      createTestRequest('on-m4-a1', '/draft/x', { model: 'm4', adapter: 'a1' }),
      createTestRequest('on-m5', '/draft/x', { model: 'm5' }),
    ];
    const early = requests.flatMap((request) => vm.receiveRequest(request));
    expect(findCommands(early, EntryCommandKind.Dispatch)).toEqual([]);
    const commands = vm.step(
      {
        kind: EntryEventKind.BackendsRead,
        isSnapshot: false,
        changes: [{ id: 'e9', revision: 9, entry: createTestEntry('e9', service, entry) }],
        revision: 9,
        source: 'test',
      },
      NOW_MS,
    );
    const dispatched = findCommands(commands, EntryCommandKind.Dispatch);
    expect(dispatched.map(({ requestId }) => requestId)).toEqual(sent);
  });
});

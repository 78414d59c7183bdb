/**
 * What a VM knows of the prompts that a backend server has yet to read.
 */
import { describe, expect, it } from 'vitest';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import type { ForwardRequest } from '../../src/coordination/entry/events.js';
import { createTestRequest, createTestVm, getDispatch, type TestVm } from './fixtures.js';

const NOW_MS = 10_000;

function send(vm: TestVm, requestId: string, changes: Partial<ForwardRequest>, nowMs = NOW_MS) {
  return getDispatch(vm.arrive(createTestRequest(requestId, '/draft/x', changes), nowMs));
}

function begin(vm: TestVm, requestId: string, nowMs: number): void {
  const { attempt } = vm.state.requests.get(requestId)!;
  vm.step({ kind: EntryEventKind.AnswerBegun, requestId, attempt, load: null }, nowMs);
}

const SAMPLES = [
  { name: 'a long prompt', promptTokens: 2_000, waitMs: 92, learned: 0.04 },
  { name: 'a slow server', promptTokens: 2_000, waitMs: 132, learned: 0.06 },
  { name: 'a prompt that waited long', promptTokens: 2_000, waitMs: 4_000, learned: 0.08 },
  { name: 'a short prompt', promptTokens: 100, waitMs: 92, learned: null },
];

describe('prompts to read', () => {
  it.each(SAMPLES)('teach how fast a server reads: $name', ({ learned, promptTokens, waitMs }) => {
    const vm = createTestVm();
    const { backendId } = send(vm, 'r', { promptTokens });
    const backend = vm.state.backends.get(backendId)!;
    expect(backend.unreadTokens).toBe(promptTokens);
    begin(vm, 'r', NOW_MS + waitMs);
    expect(backend.unreadTokens).toBe(0);
    expect(backend.readMsPerToken).toBe(learned);
  });

  it('keep the next long prompt away from their server', () => {
    const vm = createTestVm();
    const first = send(vm, 'r1', { promptTokens: 4_000 });
    const second = send(vm, 'r2', { promptTokens: 4_000 });
    expect(second.backendId).not.toBe(first.backendId);
  });

  it('are forgotten with a request that ends before its first event', () => {
    const vm = createTestVm();
    const { backendId } = send(vm, 'r', { promptTokens: 4_000 });
    vm.step({ kind: EntryEventKind.CallerLeft, requestId: 'r' });
    expect(vm.state.backends.get(backendId)!.unreadTokens).toBe(0);
  });
});

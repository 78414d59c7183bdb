/**
 * Tests the reload of settings and the steps of a graceful shutdown.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind, StopStep } from '../../src/coordination/entry/events.js';
import { getForwardRefusalStatus } from '../../src/protocol/entry/refusals.js';
import { createTestRequest, createTestVm, findCommands, getDispatch } from './fixtures.js';

describe('a reload of the settings', () => {
  it('applies the new limits', () => {
    const vm = createTestVm();
    const policy = { ...vm.state.policy, retryRatio: 0.5 };
    vm.step({ kind: EntryEventKind.SettingsRead, policy });
    expect(vm.state.policy.retryRatio).toBe(0.5);
  });
});

describe('a graceful shutdown', () => {
  it('reports the VM as not ready at once and still serves requests', () => {
    const vm = createTestVm();
    const commands = vm.step({ kind: EntryEventKind.StopRequested });
    expect(findCommands(commands, EntryCommandKind.SetReady)).toEqual([
      { kind: EntryCommandKind.SetReady, isReady: false },
    ]);
    expect(getDispatch(vm.receiveRequest(createTestRequest('r', '/book/x'))).attempt).toBe(1);
  });

  it('refuses requests on open connections once the VM no longer accepts connections', () => {
    const vm = createTestVm();
    vm.step({ kind: EntryEventKind.StopRequested });
    vm.step({ kind: EntryEventKind.StopStep, step: StopStep.Drain }, 12_600);
    const commands = vm.receiveRequest(createTestRequest('r', '/book/x'), 12_700);
    const [command] = findCommands(commands, EntryCommandKind.Refuse);
    expect(getForwardRefusalStatus(command!.refusal)).toBe(503);
    expect(command!.refusal.retryAfterMs).toBeGreaterThan(0);
  });

  it('exits once the last request has ended', () => {
    const vm = createTestVm();
    const { attempt, requestId } = getDispatch(
      vm.receiveRequest(createTestRequest('r', '/draft/x')),
    );
    vm.step({ kind: EntryEventKind.StopRequested });
    const exit = { kind: EntryEventKind.StopStep, step: StopStep.Exit };
    expect(findCommands(vm.step(exit), EntryCommandKind.Exit)).toHaveLength(0);
    const kind = EntryEventKind.AnswerCompleted;
    vm.step({ kind, requestId, attempt, maxGapMs: 0, meanGapMs: 0 });
    expect(findCommands(vm.step(exit), EntryCommandKind.Exit)).toHaveLength(1);
  });

  it('refuses an aborted request with the status for requests that may have run', () => {
    const vm = createTestVm();
    vm.receiveRequest(createTestRequest('r', '/book/x'));
    vm.step({ kind: EntryEventKind.StopRequested });
    const commands = vm.step({ kind: EntryEventKind.StopStep, step: StopStep.AbortRequests });
    const [command] = findCommands(commands, EntryCommandKind.Refuse);
    expect(getForwardRefusalStatus(command!.refusal)).toBe(502);
  });
});

/**
 * The planned stop, step by step.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind, StopStep } from '../../src/coordination/entry/events.js';
import { getForwardStatus } from '../../src/protocol/entry/refusals.js';
import { createTestRequest, createTestVm, findCommands, getDispatch } from './fixtures.js';

describe('settings that are read again', () => {
  it('put their limits in force', () => {
    const vm = createTestVm();
    const policy = { ...vm.state.policy, retryRatio: 0.5 };
    vm.step({ kind: EntryEventKind.SettingsRead, policy });
    expect(vm.state.policy.retryRatio).toBe(0.5);
  });
});

describe('a planned stop', () => {
  it('is not ready at once, and still serves', () => {
    const vm = createTestVm();
    const commands = vm.step({ kind: EntryEventKind.StopRequested });
    expect(findCommands(commands, EntryCommandKind.SetReady)).toEqual([
      { kind: EntryCommandKind.SetReady, isReady: false },
    ]);
    expect(getDispatch(vm.arrive(createTestRequest('r', '/book/x'))).attempt).toBe(1);
  });

  it('refuses what comes on a kept connection once callers have noticed', () => {
    const vm = createTestVm();
    vm.step({ kind: EntryEventKind.StopRequested });
    vm.step({ kind: EntryEventKind.StopStep, step: StopStep.Close }, 12_600);
    const commands = vm.arrive(createTestRequest('r', '/book/x'), 12_700);
    const [command] = findCommands(commands, EntryCommandKind.Refuse);
    expect(getForwardStatus(command!.refusal)).toBe(503);
    expect(command!.refusal.retryAfterMs).toBeGreaterThan(0);
  });

  it('ends with the last request', () => {
    const vm = createTestVm();
    const { attempt, requestId } = getDispatch(vm.arrive(createTestRequest('r', '/draft/x')));
    vm.step({ kind: EntryEventKind.StopRequested });
    const exit = { kind: EntryEventKind.StopStep, step: StopStep.Exit };
    expect(findCommands(vm.step(exit), EntryCommandKind.Exit)).toHaveLength(0);
    const kind = EntryEventKind.AnswerCompleted;
    vm.step({ kind, requestId, attempt, maxGapMs: 0, meanGapMs: 0 });
    expect(findCommands(vm.step(exit), EntryCommandKind.Exit)).toHaveLength(1);
  });

  it('says of a request that it breaks off that it may have run', () => {
    const vm = createTestVm();
    vm.arrive(createTestRequest('r', '/book/x'));
    vm.step({ kind: EntryEventKind.StopRequested });
    const commands = vm.step({ kind: EntryEventKind.StopStep, step: StopStep.BreakOff });
    const [command] = findCommands(commands, EntryCommandKind.Refuse);
    expect(getForwardStatus(command!.refusal)).toBe(502);
  });
});

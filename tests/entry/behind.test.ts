/**
 * Tests of requests that a busy VM has read late: the time that they may have waited is taken from their deadline, and one
 * whose time is over is rejected as not run.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import { getForwardRefusalStatus } from '../../src/protocol/entry/refusals.js';
import { RunStatus } from '../../src/state/types.js';
import { createTestRequest, createTestVm, findCommands } from './fixtures.js';

const CASES = [
  { name: 'in time', deadlineMs: 600, delayMs: 0, remainingMs: 600 },
  { name: 'late, with time left', deadlineMs: 600, delayMs: 400, remainingMs: 200 },
  { name: 'at the deadline', deadlineMs: 600, delayMs: 600, remainingMs: null },
  { name: 'after the deadline', deadlineMs: 173, delayMs: 580, remainingMs: null },
  { name: 'late, without a deadline', deadlineMs: null, delayMs: 400, remainingMs: 14_600 },
];

describe('a request that was read', () => {
  it.each(CASES)(
    'is sent with the time that its caller still waits: $name',
    ({ deadlineMs, delayMs, remainingMs }) => {
      const vm = createTestVm();
      const request = createTestRequest('r', '/book/x', { deadlineMs });
      const commands = vm.step({ kind: EntryEventKind.RequestArrived, request, delayMs });
      const sent = findCommands(commands, EntryCommandKind.Dispatch);
      expect(sent.map((dispatch) => dispatch.remainingMs)).toEqual(
        remainingMs === null ? [] : [remainingMs],
      );
      const refusals = findCommands(commands, EntryCommandKind.Refuse).map(
        ({ refusal }) => refusal,
      );
      expect(refusals.map((refusal) => getForwardRefusalStatus(refusal))).toEqual(
        remainingMs === null ? [503] : [],
      );
      expect(refusals.every(({ run }) => run === RunStatus.NotRun)).toBe(true);
    },
  );
});

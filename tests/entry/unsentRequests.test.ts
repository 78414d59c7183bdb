/**
 * Tests that requests which still wait for a connection to a backend server go elsewhere once its entry shows that it is not to
 * be used any more.
 */
import { describe, expect, it } from 'vitest';
import { EntryCommandKind } from '../../src/coordination/entry/commands.js';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import { createDiagnostic, Diagnostics } from '../../src/state/diagnostics.js';
import type { BackendEntry } from '../../src/state/entry/backends.js';
import { RunState } from '../../src/state/types.js';
import {
  createTestEntry,
  createTestRequest,
  createTestVm,
  findCommands,
  getDispatch,
} from './fixtures.js';

const NOW_MS = 10_000;
const C1 = createTestEntry('c1', 'counter');

interface Case {
  readonly name: string;
  /** The entry that the VM reads; null if the entry is gone. */
  readonly entry: BackendEntry | null;
  readonly isRecalled: boolean;
}

const CASES: readonly Case[] = [
  { name: 'announces that it leaves', entry: { ...C1, isLeaving: true }, isRecalled: true },
  { name: 'is gone', entry: null, isRecalled: true },
  {
    name: 'is that of another server at the same address',
    entry: { ...C1, bornAtWallMs: 2 },
    isRecalled: true,
  },
  { name: 'has another address', entry: { ...C1, address: '10.0.0.9:1' }, isRecalled: true },
  { name: 'is written again', entry: C1, isRecalled: false },
];

describe('a request that has not been sent to a server whose entry', () => {
  it.each(CASES)('$name is recalled: $isRecalled', ({ entry, isRecalled }) => {
    const vm = createTestVm();
    const dispatched = Array.from({ length: 8 }, (_, i) => `r${i}`).map((id) => ({
      id,
      backendId: getDispatch(vm.receiveRequest(createTestRequest(id, '/lookup/x'))).backendId,
    }));
    const toC1 = dispatched.filter(({ backendId }) => backendId === 'c1').map(({ id }) => id);
    const commands = vm.step(
      {
        kind: EntryEventKind.BackendsRead,
        isSnapshot: false,
        changes: [{ id: 'c1', revision: 9, entry }],
        revision: 9,
        source: 'test',
      },
      NOW_MS,
    );
    const recalled = findCommands(commands, EntryCommandKind.RecallAttempt);
    expect(recalled.map(({ requestId }) => requestId)).toEqual(isRecalled ? toC1 : []);
    const again = recalled.map(({ attempt, requestId }) =>
      getDispatch(
        vm.step({
          kind: EntryEventKind.AttemptFailed,
          requestId,
          attempt,
          failure: {
            diagnostic: createDiagnostic(Diagnostics.RequestRecalled, 'c1'),
            runState: RunState.NotSent,
            isRefusedByServer: false,
            isMisdirected: false,
          },
          load: null,
          isAnswerBegun: false,
        }),
      ),
    );
    const toSameServer = again.filter(
      ({ address, backendId, bornAtWallMs }) =>
        backendId === C1.id && address === C1.address && bornAtWallMs === C1.bornAtWallMs,
    );
    expect(toSameServer).toEqual([]);
  });
});

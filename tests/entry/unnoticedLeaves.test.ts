/**
 * Tests that the leaving of a caller is noticed soon, whatever it has sent behind its open requests.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import {
  connectCaller,
  formatRequest,
  type FrontServer,
  startFrontServer,
} from '../fakes/frontServer.js';
import { wait, waitUntil } from '../stand-ins/entryVms.js';

const NOTICE_MS = 300;
/** Requests of one connection that are parsed and not answered. */
const MAX_PARSED = 4;

let front: FrontServer;

afterEach(() => front.close());

function count(searched: string): number {
  return front.events.filter(({ kind }) => kind === searched).length;
}

const CASES = [
  { name: 'nothing', laterBytes: 0 },
  { name: 'a request with a short body', laterBytes: 1_000 },
  { name: 'a request with a long body', laterBytes: 300_000 },
];

describe('a caller that leaves', () => {
  it.each(CASES)('is noticed behind 4 open requests and $name', async ({ laterBytes }) => {
    front = await startFrontServer({ maxBodyBytes: 1_000_000 });
    const { socket } = await connectCaller(front);
    const ids = Array.from({ length: MAX_PARSED }, (_, i) => `id-${i}`);
    socket.write(ids.map((id) => formatRequest(id)).join(''));
    if (laterBytes > 0) {
      socket.write(formatRequest('later', 'x'.repeat(laterBytes)));
    }
    await waitUntil(() => count(EntryEventKind.RequestArrived) === MAX_PARSED);
    await wait(NOTICE_MS);
    socket.destroy();
    await wait(NOTICE_MS);
    expect(count(EntryEventKind.CallerDisconnected)).toBe(MAX_PARSED);
  });
});

/**
 * Tests that requests whose callers leave give back what they hold, also while their answers wait for earlier ones.
 */
import { afterEach, describe, expect, it } from 'vitest';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import { sendWholeAnswer } from '../../src/transport/entry/callers/exchange.js';
import {
  connectCaller,
  formatRequest,
  type FrontServer,
  startFrontServer,
} from '../fakes/frontServer.js';
import { wait, waitUntil } from '../stand-ins/entryVms.js';

const NOTICE_MS = 200;
const BODY_BYTES = 10_000;
/** Room for four and a half such bodies; the heads count as well. */
const MAX_HELD_BYTES = 45_000;

let front: FrontServer;

afterEach(() => front.close());

function countArrivals(): number {
  return front.events.filter(({ kind }) => kind === EntryEventKind.RequestArrived).length;
}

const LEAVERS = [
  { name: 'one request', count: 1 },
  { name: 'requests behind one that is open', count: 4 },
];

describe('a caller that leaves before its answers', () => {
  it.each(LEAVERS)('gives back the memory for the bodies of $name', async ({ count }) => {
    front = await startFrontServer({}, MAX_HELD_BYTES);
    const leaver = await connectCaller(front);
    const body = 'x'.repeat(BODY_BYTES);
    leaver.socket.write(
      Array.from({ length: count }, (_, i) => formatRequest(`id-${i}`, body)).join(''),
    );
    await waitUntil(() => countArrivals() === count);
    leaver.socket.destroy();
    await wait(NOTICE_MS);
    front.onArrival = (exchange) => sendWholeAnswer(exchange, 200, [], 'ok');
    const other = await connectCaller(front);
    other.socket.write(formatRequest('other', 'x'.repeat(4 * BODY_BYTES)));
    await waitUntil(() => other.received.text !== '');
    expect(other.received.text.slice(0, 12)).toBe('HTTP/1.1 200');
  });
});

/**
 * Tests the callers of the stream tests: they tell a reset from an end in order, also while data lies unread.
 */
import net, { type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { readStream, StreamEnd } from '../stand-ins/streamCaller.js';

const CALLERS = 100;
/** More than the buffers of a connection hold, and little enough to be sent at once. */
const BodyBytes = { Long: 2_000_000, Short: 20_000 } as const;
const CLOSE_AFTER_MS = 200;

const servers: net.Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => server.close());
});

async function startServer(bodyBytes: number, close: (socket: Socket) => void): Promise<string> {
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      socket.write(Buffer.alloc(bodyBytes, 'x'));
      setTimeout(() => close(socket), CLOSE_AFTER_MS);
    });
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

const ENDS = [
  {
    name: 'an end in order',
    bodyBytes: BodyBytes.Long,
    close: (socket: Socket) => {
      socket.end();
    },
    expected: StreamEnd.InOrder,
  },
  {
    name: 'an end in order and a reset after it',
    bodyBytes: BodyBytes.Short,
    close: (socket: Socket) => {
      socket.end(() => socket.resetAndDestroy());
    },
    expected: StreamEnd.InOrder,
  },
  {
    name: 'a reset',
    bodyBytes: BodyBytes.Long,
    close: (socket: Socket) => {
      socket.resetAndDestroy();
    },
    expected: StreamEnd.Reset,
  },
] as const;
const READERS = ['fast', 'slow'] as const;
const CASES = ENDS.flatMap((end) => READERS.map((reader) => ({ ...end, reader })));

describe('a caller of a stream', () => {
  it.each(CASES)('that is $reader sees $name', async ({ bodyBytes, close, expected, reader }) => {
    const address = await startServer(bodyBytes, close);
    const calls = Array.from({ length: CALLERS }, () =>
      readStream(address, ['GET / HTTP/1.1'], reader === 'slow'),
    );
    const ends = (await Promise.all(calls)).map(({ end }) => end);
    expect(ends.filter((end) => end !== expected)).toEqual([]);
  });
});

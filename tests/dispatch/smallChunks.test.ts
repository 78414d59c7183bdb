/**
 * Tests that an answer in chunks of one byte takes no more memory than its bytes account for while it is buffered, and arrives whole.
 */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { type DispatchVm, type ReceivedDispatch, startDispatchVm } from '../fakes/dispatchVm.js';
import { toSmallChunks } from '../stand-ins/smallChunks.js';

/** Less than is buffered of an answer. */
const BODY = 'x'.repeat(250_000);
const CHUNKS = toSmallChunks(BODY);
const HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
/** Time in which all chunks are read. */
const READ_MS = 1_500;
const MAX_GROWTH_BYTES = 30_000_000;

let vm: DispatchVm;
let heldBytes = 0;

function readHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
  const { arrayBuffers, heapUsed } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Sends the chunks, and their end after some time. Measures what the process holds in between. */
function answer({ socket }: ReceivedDispatch): void {
  const startBytes = readHeapBytes();
  socket.write(HEAD + CHUNKS);
  setTimeout(() => {
    heldBytes = readHeapBytes() - startBytes;
    socket.write('0\r\n\r\n');
  }, READ_MS);
}

beforeAll(async () => {
  vm = await startDispatchVm(answer);
});

afterAll(() => vm.close());

const CASES = [
  { name: 'of a service', path: '/booking/x' },
  { name: 'of a service, that may be repeated', path: '/lookup/x' },
] as const;

describe('an answer in chunks of one byte', () => {
  it.each(CASES)('takes the memory of its bytes, and arrives whole: $name', async ({ path }) => {
    const { bytes } = await vm.send({ kind: null, path, body: '{}' });
    expect(heldBytes).toBeLessThan(MAX_GROWTH_BYTES);
    expect(bytes.endsWith(BODY)).toBe(true);
  });
});

/**
 * Tests that a body which was read whole is held once: what it arrived in is freed while the request still waits for its answer.
 */
import { EventEmitter } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { describe, expect, it } from 'vitest';
import { readBody } from '../../src/transport/requestBody.js';

const MAX_BYTES = 1_000_000;
const CHUNK_BYTES = 65_536;

function collect(): void {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
}

function sendChunk(request: EventEmitter): WeakRef<Buffer> {
  const chunk = Buffer.alloc(CHUNK_BYTES, 'a');
  request.emit('data', chunk);
  return new WeakRef(chunk);
}

describe('a body that was read whole', () => {
  it.each([{ chunkCount: 1 }, { chunkCount: 2 }, { chunkCount: 8 }])(
    'is not held a second time in its $chunkCount chunks',
    async ({ chunkCount }) => {
      const request = Object.assign(new EventEmitter(), { headers: {} });
      const body = readBody(request as unknown as IncomingMessage, MAX_BYTES);
      const chunks = Array.from({ length: chunkCount }, () => sendChunk(request));
      request.emit('end');
      const bytes = (await body).unsafeCoerce();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      collect();
      expect(chunks.filter((chunk) => chunk.deref() !== undefined)).toHaveLength(0);
      expect(bytes).toHaveLength(chunkCount * CHUNK_BYTES);
      expect(request.listenerCount('data')).toBe(1);
    },
  );
});

/**
 * Runs a backend server as a process, whose answers have the size and the working time of the first segment of their paths.
 * Flag: `--port N`.
 */
import http from 'node:http';
import { announceReady, readFlags } from './http.js';

const LARGE_ANSWER_BYTES = 1_000_000;
const SLOW_ANSWER_BYTES = 4_000_000;

/** Sizes and times of the answers by the first segment of their paths. */
const ANSWERS: Readonly<Record<string, { sizeBytes: number; workMs: number }>> = {
  look: { sizeBytes: 5, workMs: 0 },
  book: { sizeBytes: 5, workMs: 0 },
  large: { sizeBytes: LARGE_ANSWER_BYTES, workMs: 3_000 },
  unread: { sizeBytes: SLOW_ANSWER_BYTES, workMs: 0 },
};

const flags = readFlags(process.argv.slice(2));
const server = http.createServer((request, response) => {
  const { sizeBytes, workMs } = ANSWERS[(request.url ?? '').split('/')[1]!]!;
  const headers = {
    ...{ 'x-attempt-id': String(request.headers['x-attempt-id']), 'x-server-seal': 's' },
    'content-length': sizeBytes,
  };
  setTimeout(() => {
    response.writeHead(200, headers);
    response.end(Buffer.alloc(sizeBytes, 'x'));
  }, workMs);
});
server.listen(Number(flags.get('port')), '127.0.0.1', announceReady);

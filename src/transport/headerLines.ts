/**
 * Lifts the limit of Node.js on the number of header lines. It drops the lines after the thousandth without an error, so that a head within
 * the limit on its length would be forwarded in part. What the lines take is bounded by the length of a head.
 */
import type { ClientRequest, Server } from 'node:http';

/** Lets a server read all header lines of its requests, or a request all those of its answer. Returns its argument. */
export function readAllHeaderLines<T extends ClientRequest | Server>(reader: T): T {
  return Object.assign(reader, { maxHeadersCount: 0 });
}

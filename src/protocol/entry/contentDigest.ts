/**
 * Identifies requests by their content, so that one that is sent again is recognized under another id.
 */
import { createHash } from 'node:crypto';

/** Length of a digest in hexadecimal digits. It is truncated, so that log lines do not identify a body. */
const DIGEST_LENGTH = 16;
/** Cannot occur in a method or a target. */
const SEPARATOR = '\n';

/** Computes the truncated SHA-256 of a request's method, target and body. Other headers differ between repeats. */
export function createContentDigest(method: string, target: string, body: Buffer): string {
  const hash = createHash('sha256');
  hash.update(method + SEPARATOR + target + SEPARATOR);
  return hash.update(body).digest('hex').slice(0, DIGEST_LENGTH);
}

/**
 * Reading request bodies within a bound.
 */
import type { IncomingMessage } from 'node:http';
import { Either, Left, Right } from 'purify-ts';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';

/**
 * Reads a body. Left is `BodyTooLarge`; the promise stays open if the caller vanishes, and nothing is
 * kept of it.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Either<Diagnostic, Buffer>> {
  return new Promise((resolve) => {
    let chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) {
        chunks = [];
        resolve(Left(createDiagnostic(Diagnostics.BodyTooLarge, maxBytes)));
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => resolve(Right(Buffer.concat(chunks))));
    request.on('error', () => {
      chunks = [];
    });
  });
}

/**
 * Reads request bodies up to a size limit.
 */
import type { IncomingMessage } from 'node:http';
import { Either, Left, Right } from 'purify-ts';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';

/**
 * Reads the body of a request. Left is `BodyTooLarge`. If the caller disconnects, the received data is
 * dropped and the promise never settles.
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

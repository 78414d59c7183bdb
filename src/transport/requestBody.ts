/**
 * Reads request bodies up to a size limit, and up to the memory that all bodies may take together.
 */
import type { IncomingMessage } from 'node:http';
import { Either, Left, Right } from 'purify-ts';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { createByteCollector } from '../protocol/byteCollector.js';
import type { HeldMemory } from './vmMemory.js';

/** Called with the bytes of a body that have come at once, or are to come; may pause the request for some time. */
type BodyPacer = (request: IncomingMessage, sizeBytes: number) => void;

type BodyMemory = Pick<HeldMemory, 'add' | 'canAdd' | 'release'>;

/** Memory without a limit. */
const UNLIMITED: BodyMemory = { add: () => true, canAdd: () => true, release: () => {} };

/**
 * Reads the body of a request. Left is `BodyTooLarge`, at once, or `MemoryExhausted`, once the rest of the body has been read and dropped, since
 * a caller that is still sending may not read a rejection. If the caller disconnects, the received data is dropped and the promise never settles.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  held: BodyMemory = UNLIMITED,
  maxHeldBytes = Number.POSITIVE_INFINITY,
  pace: BodyPacer = () => {},
): Promise<Either<Diagnostic, Buffer>> {
  return new Promise((resolve) => {
    const collector = createByteCollector();
    let sizeBytes = 0;
    const declaredBytes = Number(request.headers['content-length'] ?? 0);
    let isHeld = held.canAdd(declaredBytes);
    if (!isHeld) {
      pace(request, declaredBytes);
    }
    const drop = (): void => {
      isHeld = false;
      collector.take();
      held.release();
    };
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) {
        drop();
        resolve(Left(createDiagnostic(Diagnostics.BodyTooLarge, maxBytes)));
        return;
      }
      if (isHeld && held.add(chunk.length)) {
        collector.add(chunk);
      } else {
        drop();
      }
      pace(request, chunk.length);
    });
    request.on('end', () =>
      resolve(
        isHeld
          ? // The listeners live as long as the request, and would keep the body a second time.
            Right(collector.take())
          : Left(createDiagnostic(Diagnostics.MemoryExhausted, maxHeldBytes)),
      ),
    );
    request.on('error', drop);
  });
}

/**
 * Reads request bodies up to a size limit, and up to the memory that all bodies may take together. When that is short, the body that has
 * been unfinished for longest is dropped first.
 */
import type { IncomingMessage } from 'node:http';
import { Either, Left, Right } from 'purify-ts';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { createByteCollector } from '../protocol/byteCollector.js';
import type { HeldMemory } from './vmMemory.js';

/** Called with the bytes of a body that have come at once, or are to come; may pause the request for some time. */
type BodyPacer = (request: IncomingMessage, sizeBytes: number) => void;

type BodyMemory = Pick<
  HeldMemory,
  'add' | 'makeRoom' | 'release' | 'setFinished' | 'setUnfinished'
>;

/** Memory without a limit. */
const UNLIMITED: BodyMemory = {
  add: () => true,
  makeRoom: () => true,
  release: () => {},
  setFinished: () => {},
  setUnfinished: () => {},
};

type BodyResult = Either<Diagnostic, Buffer>;

interface BodyLimits {
  readonly maxBytes: number;
  /** Memory of this body. */
  readonly held: BodyMemory;
  /** Memory of all bodies, for the rejection. */
  readonly maxHeldBytes: number;
}

/** Collects one body. */
interface BodyCollection {
  /** Returns whether a body of the announced length has memory. */
  readonly hasRoom: boolean;
  readonly add: (bytes: Buffer) => void;
  readonly end: () => void;
  readonly drop: () => void;
}

/** Returns null for a body that announces to be too large, which is not read. */
function collectBody(
  request: IncomingMessage,
  { held, maxBytes, maxHeldBytes }: BodyLimits,
  resolve: (result: BodyResult) => void,
): BodyCollection | null {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  const rejectLarge = (): void =>
    resolve(Left(createDiagnostic(Diagnostics.BodyTooLarge, maxBytes)));
  if (declaredBytes > maxBytes) {
    held.release();
    rejectLarge();
    return null;
  }
  const collector = createByteCollector();
  let sizeBytes = 0;
  const hasRoom = held.makeRoom(declaredBytes);
  let isHeld = hasRoom;
  const drop = (): void => {
    isHeld = false;
    collector.clear();
    held.release();
  };
  held.setUnfinished(drop);
  return {
    hasRoom,
    drop,
    add: (bytes) => {
      sizeBytes += bytes.length;
      if (sizeBytes > maxBytes) {
        drop();
        rejectLarge();
      } else if (isHeld && held.add(bytes.length)) {
        collector.add(bytes);
      } else {
        drop();
      }
    },
    end: () => {
      held.setFinished();
      // A request whose connection has been rejected meanwhile, for instance for its time, is not to run.
      if (!request.socket?.writableEnded) {
        resolve(
          isHeld
            ? // The listeners live as long as the request, and would keep the body a second time.
              Right(collector.take())
            : Left(createDiagnostic(Diagnostics.MemoryExhausted, maxHeldBytes)),
        );
      }
    },
  };
}

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
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const collection = collectBody(request, { maxBytes, held, maxHeldBytes }, resolve);
    if (collection === null) {
      return;
    }
    if (!collection.hasRoom) {
      pace(request, Number(request.headers['content-length']));
    }
    request.on('data', (chunk: Buffer) => {
      collection.add(chunk);
      pace(request, chunk.length);
    });
    request.on('end', collection.end);
    request.on('error', collection.drop);
  });
}

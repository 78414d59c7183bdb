/**
 * Holds the memory of a request's body until its response has ended, and longer for backend servers that answer before they have read all
 * of it. From then on the body gives way to others, and the connections on which it is still being written are closed.
 */
import type { ClientRequest } from 'node:http';
import type { HeldMemory } from './vmMemory.js';

/** The memory of one body. */
export interface BodyMemory {
  /** Keeps the memory until this request, which carries the body, has been handed over to be sent, or its connection has closed. */
  readonly addRequest: (request: ClientRequest) => void;
  /** States that the response to the caller has ended. */
  readonly endResponse: () => void;
}

/** The memory of a body that is not counted. */
export const UNCOUNTED_BODY: BodyMemory = { addRequest: () => {}, endResponse: () => {} };

/** Creates the memory of a body from what the body takes of the memory of the VM. */
export function createBodyMemory(held: Pick<HeldMemory, 'release' | 'setSpare'>): BodyMemory {
  const unwritten = new Set<ClientRequest>();
  let isResponseEnded = false;
  const releaseIfUnused = (): void => {
    if (isResponseEnded && unwritten.size === 0) {
      held.release();
    }
  };
  return {
    addRequest: (request) => {
      const remove = (): void => {
        unwritten.delete(request);
        releaseIfUnused();
      };
      unwritten.add(request);
      request.once('finish', remove);
      request.once('close', remove);
    },
    endResponse: () => {
      isResponseEnded = true;
      releaseIfUnused();
      if (unwritten.size > 0) {
        held.setSpare(() => {
          unwritten.forEach((request) => request.destroy());
          held.release();
        });
      }
    },
  };
}

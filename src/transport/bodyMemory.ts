/**
 * Counts the bytes of the request bodies that a VM holds, over all its callers. A body is held from its first byte until its request has
 * ended, so many large ones at once would take more memory than a VM has.
 */

/** The part of one request in the memory for bodies. */
export interface HeldBody {
  /** Takes memory for bytes. Returns false, and takes none, if there is not enough. */
  readonly add: (bytes: number) => boolean;
  /** Returns whether there is enough memory for bytes now. */
  readonly canAdd: (bytes: number) => boolean;
  /** Gives back all that was taken; may be called more than once. */
  readonly release: () => void;
}

/** The memory for bodies. */
export interface BodyMemory {
  readonly maxBytes: number;
  readonly hold: () => HeldBody;
}

/** Creates the memory for the bodies of a VM. */
export function createBodyMemory(maxBytes: number): BodyMemory {
  let usedBytes = 0;
  return {
    maxBytes,
    hold: () => {
      let ownBytes = 0;
      const canAdd = (bytes: number): boolean => usedBytes + bytes <= maxBytes;
      return {
        canAdd,
        add: (bytes) => {
          if (!canAdd(bytes)) {
            return false;
          }
          usedBytes += bytes;
          ownBytes += bytes;
          return true;
        },
        release: () => {
          usedBytes -= ownBytes;
          ownBytes = 0;
        },
      };
    },
  };
}

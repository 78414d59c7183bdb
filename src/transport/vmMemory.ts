/**
 * Counts the bytes that a VM holds for others, over all requests, answers and connections: what is small for one of them would for many
 * at once take more memory than a VM has. Each purpose has a share of its own, so that none can starve another, and a table says what
 * a holder does when the share is used up.
 */

/** What bytes are held for. */
export const MemoryPurpose = {
  /** Bodies of requests, until their responses have ended. */
  RequestBodies: 'requestBodies',
  /** Whole answers of servers, until their callers have read them. */
  Answers: 'answers',
  /** Incomplete events of streams, and events that wait for slow callers. */
  Streams: 'streams',
  /** Replies of the store, engines and peers. */
  Replies: 'replies',
} as const;
export type MemoryPurpose = (typeof MemoryPurpose)[keyof typeof MemoryPurpose];

/** What a holder does when the share of its purpose is used up. */
export const MemoryShortage = {
  /** The request is rejected as not run. */
  Reject: 'reject',
  /** The answer is forwarded as it arrives, at the pace of its caller, and no longer held whole. */
  Forward: 'forward',
  /** The sender is not read until there is room; the time limit of the request or call ends the wait. */
  Pause: 'pause',
} as const;
export type MemoryShortage = (typeof MemoryShortage)[keyof typeof MemoryShortage];

/** Holders that may go on beyond a share at the same time. */
const MAX_FAVORED = 8;

interface MemoryShare {
  /** Fraction of the VM's memory. */
  readonly fraction: number;
  readonly onShortage: MemoryShortage;
}

/** The rest of the memory is for the program itself and for what the sockets hold. */
export const MEMORY_SHARES: Readonly<Record<MemoryPurpose, MemoryShare>> = {
  [MemoryPurpose.RequestBodies]: { fraction: 0.2, onShortage: MemoryShortage.Reject },
  [MemoryPurpose.Answers]: { fraction: 0.12, onShortage: MemoryShortage.Forward },
  [MemoryPurpose.Streams]: { fraction: 0.12, onShortage: MemoryShortage.Pause },
  [MemoryPurpose.Replies]: { fraction: 0.06, onShortage: MemoryShortage.Pause },
};

/** The part of one holder in the memory. */
export interface HeldMemory {
  /** Takes memory for bytes. Returns false, and takes none, if there is not enough. */
  readonly add: (bytes: number) => boolean;
  /** Returns whether there is enough memory for bytes now. */
  readonly canAdd: (bytes: number) => boolean;
  /** Sets what is held, whether there is enough memory or not. */
  readonly resize: (bytes: number) => void;
  /**
   * Returns true if the share is used up, and then calls `resume` once there is room again. A few holders at a time may go on beyond
   * the share until they give something back, since holders that all wait for each other would never end.
   */
  readonly mustWait: (resume: () => void) => boolean;
  /** Gives back all that was taken, for good; may be called more than once. */
  readonly release: () => void;
}

/** The memory of a VM for what it holds. */
export interface VmMemory {
  readonly getMaxBytes: (purpose: MemoryPurpose) => number;
  readonly getUsedBytes: (purpose: MemoryPurpose) => number;
  readonly hold: (purpose: MemoryPurpose) => HeldMemory;
}

interface Share {
  readonly maxBytes: number;
  usedBytes: number;
  /** Holders that wait, in the order in which they began to. */
  readonly waiting: Map<HeldMemory, () => void>;
  /** Holders that may go on beyond the share. */
  readonly favored: Set<HeldMemory>;
}

/** Lets holders go on: all while there is room, else a few beyond the share. */
function resumeWaiting(share: Share): void {
  const { favored, maxBytes, waiting } = share;
  for (const [holder, resume] of waiting) {
    const hasRoom = share.usedBytes < maxBytes;
    if (!hasRoom && favored.size >= MAX_FAVORED) {
      return;
    }
    if (!hasRoom) {
      favored.add(holder);
    }
    waiting.delete(holder);
    resume();
  }
}

function holdMemory(share: Share): HeldMemory {
  let ownBytes = 0;
  let isReleased = false;
  const change = (holder: HeldMemory, bytes: number): void => {
    const isLess = bytes < ownBytes;
    share.usedBytes += bytes - ownBytes;
    ownBytes = bytes;
    if (isLess) {
      share.favored.delete(holder);
    }
    if (isLess && share.waiting.size > 0) {
      resumeWaiting(share);
    }
  };
  const holder: HeldMemory = {
    canAdd: (bytes) => share.usedBytes + bytes <= share.maxBytes,
    add: (bytes) => {
      if (isReleased || !holder.canAdd(bytes)) {
        return false;
      }
      change(holder, ownBytes + bytes);
      return true;
    },
    resize: (bytes) => {
      if (!isReleased) {
        change(holder, bytes);
      }
    },
    mustWait: (resume) => {
      if (isReleased || share.usedBytes < share.maxBytes || share.favored.has(holder)) {
        return false;
      }
      if (share.favored.size < MAX_FAVORED) {
        share.favored.add(holder);
        return false;
      }
      share.waiting.set(holder, resume);
      return true;
    },
    release: () => {
      if (isReleased) {
        return;
      }
      isReleased = true;
      share.waiting.delete(holder);
      change(holder, 0);
      if (share.favored.delete(holder)) {
        resumeWaiting(share);
      }
    },
  };
  return holder;
}

/** Creates the memory of a VM that has this many bytes in all. */
export function createVmMemory(totalBytes: number): VmMemory {
  const createShare = (purpose: MemoryPurpose): Share => ({
    maxBytes: totalBytes * MEMORY_SHARES[purpose].fraction,
    usedBytes: 0,
    waiting: new Map(),
    favored: new Set(),
  });
  const shares: Readonly<Record<MemoryPurpose, Share>> = {
    [MemoryPurpose.RequestBodies]: createShare(MemoryPurpose.RequestBodies),
    [MemoryPurpose.Answers]: createShare(MemoryPurpose.Answers),
    [MemoryPurpose.Streams]: createShare(MemoryPurpose.Streams),
    [MemoryPurpose.Replies]: createShare(MemoryPurpose.Replies),
  };
  return {
    getMaxBytes: (purpose) => shares[purpose].maxBytes,
    getUsedBytes: (purpose) => shares[purpose].usedBytes,
    hold: (purpose) => holdMemory(shares[purpose]),
  };
}

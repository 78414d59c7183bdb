/**
 * Counts the bytes that a VM holds for others, over all requests, answers and connections: what is small for one of them would for many
 * at once take more memory than a VM has. Each purpose has a share of its own, so that none can starve another, and a table says what
 * a holder does when the share is used up.
 */

/** What bytes are held for. */
export const MemoryPurpose = {
  /** Heads and trailers of requests that are not complete, and data of callers that is not parsed yet. */
  RequestHeads: 'requestHeads',
  /** Bodies of requests and the heads of these, until their responses have ended and no server is still to read the bodies. */
  RequestBodies: 'requestBodies',
  /** Whole answers of servers, until their callers have read them. */
  Answers: 'answers',
  /** Incomplete events of streams, and events that wait for slow callers. */
  Streams: 'streams',
} as const;
export type MemoryPurpose = (typeof MemoryPurpose)[keyof typeof MemoryPurpose];

/** What a holder does when the share of its purpose is used up. */
export const MemoryShortage = {
  /** The request is rejected as not run. */
  Reject: 'reject',
  /** The request that has been incomplete for longest is rejected as not run. */
  RejectOldest: 'rejectOldest',
  /** The answer is forwarded as it arrives, at the pace of its caller, and no longer held whole. */
  Forward: 'forward',
  /** The stream is broken off if it waits for the end of a long event. */
  BreakOff: 'breakOff',
} as const;
export type MemoryShortage = (typeof MemoryShortage)[keyof typeof MemoryShortage];

/** What the process takes when it serves a large configuration and holds nothing. */
const PROGRAM_BYTES = 100_663_296;
/** By how much buffers grow before the runtime collects those that are no longer used. */
export const UNCOLLECTED_BYTES = 67_108_864;
/**
 * Age from which what is unfinished gives way to something new. A body within the limits takes less at the usual speeds, so that of
 * bodies that come at once, those that were there first are read to their end.
 */
export const MIN_UNFINISHED_MS = 5_000;
/** Fraction of what the program leaves of the memory that such buffers may take on a small VM. */
const MAX_UNCOLLECTED_FRACTION = 0.25;
/** Fraction of the memory of a small VM that it may hold for others. */
const MIN_HELD_FRACTION = 0.25;

interface MemoryShare {
  /** Fraction of the memory that a VM has for what it holds. */
  readonly fraction: number;
  readonly onShortage: MemoryShortage;
}

export const MEMORY_SHARES: Readonly<Record<MemoryPurpose, MemoryShare>> = {
  [MemoryPurpose.RequestHeads]: { fraction: 0.25, onShortage: MemoryShortage.RejectOldest },
  [MemoryPurpose.RequestBodies]: { fraction: 0.35, onShortage: MemoryShortage.Reject },
  [MemoryPurpose.Answers]: { fraction: 0.2, onShortage: MemoryShortage.Forward },
  [MemoryPurpose.Streams]: { fraction: 0.2, onShortage: MemoryShortage.BreakOff },
};

/** The part of one holder in the memory. */
export interface HeldMemory {
  /** Takes memory for bytes, if need be that of what has been unfinished for longest. Returns false, and takes none, if there is not enough. */
  readonly add: (bytes: number) => boolean;
  /** Returns whether there is enough memory for bytes, if need be after what has been unfinished for longest has been dropped. */
  readonly makeRoom: (bytes: number) => boolean;
  /** States that the data is unfinished, so that it may be dropped for other data. The function drops it and gives its memory back. */
  readonly setUnfinished: (drop: () => void) => void;
  /** States that the data is whole, so that it is no longer dropped for other data. */
  readonly setFinished: () => void;
  /** States that no caller waits for the data, so that it is dropped for other data first. The function drops it and gives its memory back. */
  readonly setSpare: (drop: () => void) => void;
  /** Returns whether there is enough memory for bytes now. */
  readonly canAdd: (bytes: number) => boolean;
  /** Sets what is held, whether there is enough memory or not. */
  readonly resize: (bytes: number) => void;
  /** Gives back all that was taken, for good; may be called more than once. */
  readonly release: () => void;
}

/** The memory of a VM for what it holds. */
export interface VmMemory {
  readonly getMaxBytes: (purpose: MemoryPurpose) => number;
  readonly getUsedBytes: (purpose: MemoryPurpose) => number;
  readonly getTotalUsedBytes: () => number;
  readonly hold: (purpose: MemoryPurpose) => HeldMemory;
}

interface Share {
  readonly maxBytes: number;
  usedBytes: number;
  /** Holders of unfinished data, the one that has been unfinished for longest first. */
  readonly unfinished: Map<HeldMemory, { readonly sinceMs: number; readonly drop: () => void }>;
  /** Holders of data that no caller waits for, by how to drop it. */
  readonly spare: Map<HeldMemory, () => void>;
}

/** Drops the data that has been spare for longest. Returns false if there is none. */
function dropSpare({ spare }: Share): boolean {
  const [oldest] = spare;
  if (oldest === undefined) {
    return false;
  }
  const [holder, drop] = oldest;
  spare.delete(holder);
  drop();
  return true;
}

/** Drops what has been unfinished for longest, and long enough. Returns false if there is none. */
function dropOldest({ unfinished }: Share, nowMs: number): boolean {
  const [oldest] = unfinished;
  if (oldest === undefined || nowMs - oldest[1].sinceMs < MIN_UNFINISHED_MS) {
    return false;
  }
  const [holder, { drop }] = oldest;
  unfinished.delete(holder);
  drop();
  return true;
}

function holdMemory(share: Share, getNowMs: () => number): HeldMemory {
  let ownBytes = 0;
  let isReleased = false;
  const change = (bytes: number): void => {
    share.usedBytes += bytes - ownBytes;
    ownBytes = bytes;
  };
  const holder: HeldMemory = {
    canAdd: (bytes) => share.usedBytes + bytes <= share.maxBytes,
    makeRoom: (bytes) => {
      while (!holder.canAdd(bytes)) {
        if (bytes > share.maxBytes || !(dropSpare(share) || dropOldest(share, getNowMs()))) {
          return false;
        }
      }
      return true;
    },
    setUnfinished: (drop) => {
      share.unfinished.set(holder, { sinceMs: getNowMs(), drop });
    },
    setFinished: () => {
      share.unfinished.delete(holder);
    },
    setSpare: (drop) => {
      share.spare.set(holder, drop);
    },
    add: (bytes) => {
      // Making room may drop what this holder has.
      if (isReleased || !holder.makeRoom(bytes) || isReleased) {
        return false;
      }
      change(ownBytes + bytes);
      return true;
    },
    resize: (bytes) => {
      if (!isReleased) {
        change(bytes);
      }
    },
    release: () => {
      change(0);
      isReleased = true;
      share.unfinished.delete(holder);
      share.spare.delete(holder);
    },
  };
  return holder;
}

/** Returns the bytes that a VM with this much memory may hold for others. */
export function getHoldableBytes(memoryBytes: number): number {
  return Math.max(memoryBytes - PROGRAM_BYTES - UNCOLLECTED_BYTES, memoryBytes * MIN_HELD_FRACTION);
}

/** Returns up to how many bytes of buffers that are no longer held a VM with this much memory reads bodies at its usual pace. */
export function getMaxUncollectedBytes(memoryBytes: number): number {
  return Math.min(UNCOLLECTED_BYTES, (memoryBytes - PROGRAM_BYTES) * MAX_UNCOLLECTED_FRACTION);
}

/** Creates the memory of a VM that may hold this many bytes in all. */
export function createVmMemory(
  totalBytes: number,
  getNowMs: () => number = () => performance.now(),
): VmMemory {
  const createShare = (purpose: MemoryPurpose): Share => ({
    maxBytes: totalBytes * MEMORY_SHARES[purpose].fraction,
    usedBytes: 0,
    unfinished: new Map(),
    spare: new Map(),
  });
  const shares: Readonly<Record<MemoryPurpose, Share>> = {
    [MemoryPurpose.RequestHeads]: createShare(MemoryPurpose.RequestHeads),
    [MemoryPurpose.RequestBodies]: createShare(MemoryPurpose.RequestBodies),
    [MemoryPurpose.Answers]: createShare(MemoryPurpose.Answers),
    [MemoryPurpose.Streams]: createShare(MemoryPurpose.Streams),
  };
  return {
    getMaxBytes: (purpose) => shares[purpose].maxBytes,
    getUsedBytes: (purpose) => shares[purpose].usedBytes,
    getTotalUsedBytes: () =>
      Object.values(shares).reduce((sum, { usedBytes }) => sum + usedBytes, 0),
    hold: (purpose) => holdMemory(shares[purpose], getNowMs),
  };
}

/**
 * Splits the bytes of an event stream into whole events, which are passed on as they came.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_PATTERN = /^id:[ ]?(.*)$/m;

/** One whole event with the blank line that ends it. */
export interface EventFrame {
  readonly bytes: Buffer;
  /** Null if the event has none. */
  readonly id: string | null;
}

/** Takes chunks in order. */
export interface EventFrameReader {
  /** Returns the events that are now whole. */
  readonly take: (chunk: Buffer) => EventFrame[];
  /** Bytes of an event that is not whole yet. */
  readonly getRestLength: () => number;
}

/** Returns the index after the first blank line, or -1. */
function findFrameEnd(bytes: Buffer): number {
  for (let at = bytes.indexOf(LINE_FEED); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) {
      return at + 2;
    }
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
      return at + 3;
    }
  }
  return -1;
}

function readId(bytes: Buffer): string | null {
  return ID_PATTERN.exec(bytes.toString('latin1'))?.[1]?.trim() ?? null;
}

/** Creates a reader. */
export function createEventFrameReader(): EventFrameReader {
  let rest: Buffer = Buffer.alloc(0);
  return {
    take: (chunk) => {
      const frames: EventFrame[] = [];
      rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      for (let end = findFrameEnd(rest); end >= 0; end = findFrameEnd(rest)) {
        const bytes = rest.subarray(0, end);
        frames.push({ bytes, id: readId(bytes) });
        rest = rest.subarray(end);
      }
      return frames;
    },
    getRestLength: () => rest.length,
  };
}

/** Tells whether an event comes after another in the same stream. */
export function isLaterEvent(id: string, lastId: string): boolean {
  const number = Number(id);
  const lastNumber = Number(lastId);
  return Number.isNaN(number) || Number.isNaN(lastNumber) ? id !== lastId : number > lastNumber;
}

/**
 * Splits the bytes of a stream of server-sent events into complete events, so that they can be forwarded unchanged.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_PATTERN = /^id:[ ]?(.*)$/m;
const DATA_PATTERN = /^data(?::|$)/m;

/** One complete event with the blank line that ends it. */
export interface EventFrame {
  readonly bytes: Buffer;
  /** The id of the event; null if it has none. */
  readonly id: string | null;
  /** False for comments, which servers send to keep a connection open. */
  readonly hasData: boolean;
}

/** Collects the chunks of one stream in order. */
export interface EventFrameReader {
  /** Adds a chunk and returns the events that it completes. */
  readonly addChunk: (chunk: Buffer) => EventFrame[];
  /** Returns the number of bytes received of an event that is not complete yet. */
  readonly getIncompleteLength: () => number;
}

/** Returns the index after the first blank line that ends at or after an index, or -1 if there is none. */
function findFrameEnd(bytes: Buffer, fromIndex: number): number {
  for (
    let lineEnd = bytes.indexOf(LINE_FEED, fromIndex);
    lineEnd >= 0;
    lineEnd = bytes.indexOf(LINE_FEED, lineEnd + 1)
  ) {
    const next = bytes[lineEnd + 1];
    if (next === LINE_FEED) {
      return lineEnd + 2;
    }
    if (next === CARRIAGE_RETURN && bytes[lineEnd + 2] === LINE_FEED) {
      return lineEnd + 3;
    }
  }
  return -1;
}

function decodeId(text: string): string | null {
  return ID_PATTERN.exec(text)?.[1]?.trim() ?? null;
}

/** Length of the longest blank line and the line end before it: the part of a blank line that may have been received. */
const MAX_BLANK_LINE_LENGTH = 3;

/** Creates a reader for one stream. */
export function createEventFrameReader(): EventFrameReader {
  let incomplete: Buffer = Buffer.alloc(0);
  return {
    addChunk: (chunk) => {
      const frames: EventFrame[] = [];
      // The bytes received before hold no blank line, so a long event is not searched again with each chunk.
      let fromIndex = Math.max(0, incomplete.length - MAX_BLANK_LINE_LENGTH);
      incomplete = incomplete.length === 0 ? chunk : Buffer.concat([incomplete, chunk]);
      for (
        let end = findFrameEnd(incomplete, fromIndex);
        end >= 0;
        end = findFrameEnd(incomplete, fromIndex)
      ) {
        const bytes = incomplete.subarray(0, end);
        const text = bytes.toString('latin1');
        frames.push({ bytes, id: decodeId(text), hasData: DATA_PATTERN.test(text) });
        incomplete = incomplete.subarray(end);
        fromIndex = 0;
      }
      return frames;
    },
    getIncompleteLength: () => incomplete.length,
  };
}

const NUMBER_PATTERN = /^\d+$/;

/** Returns whether the id of an event gives its place in the stream: ids are increasing numbers. */
export function isEventNumber(id: string | null): id is string {
  return id !== null && NUMBER_PATTERN.test(id);
}

/** Returns whether an event comes after another in the same stream. Numbers may be larger than the safe integers. */
export function isLaterEvent(id: string, lastId: string): boolean {
  return BigInt(id) > BigInt(lastId);
}

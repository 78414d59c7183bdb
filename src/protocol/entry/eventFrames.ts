/**
 * Splits the bytes of a stream of server-sent events into complete events, so that they can be forwarded unchanged.
 */

/** A line end and the blank lines after it. A line ends with LF, CR LF or CR. */
const BLANK_LINE_PATTERN = /(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)[\r\n]*/g;
/** Length of the longest blank line with the line end before it, without its last byte: what may have been received of it. */
const MAX_PARTIAL_BLANK_LINE_LENGTH = 3;
const LINE_ENDS_PATTERN = /^[\r\n]*$/;
const ID_PATTERN = /^id(?::[ ]?(.*))?$/gm;
const DATA_PATTERN = /^data(?::|$)/m;
/** A line that is neither a comment, nor a field of an event without a value, nor a name and a value. */
const FOREIGN_LINE_PATTERN = /^(?!:|(?:data|event|id|retry)$|[A-Za-z][\w.-]*:)[^\r\n]/m;
/** The longest number that is compared. */
const MAX_NUMBER_DIGITS = 40;
/** The mark with which a text in UTF-8 may begin, as Latin-1. */
const BYTE_ORDER_MARK = '\u00ef\u00bb\u00bf';

/** One complete event with the blank line that ends it, or several together that have neither data nor an id. */
export interface EventFrame {
  readonly bytes: Buffer;
  /** The id of the event, the last one of several; null if it has none. */
  readonly id: string | null;
  /** False for comments, which servers send to keep a connection open. */
  readonly hasData: boolean;
  /** True if some line is not one of an event stream. */
  readonly isForeign: boolean;
}

/** Collects the chunks of one stream in order. */
export interface EventFrameReader {
  /** Adds a chunk and returns the events that it completes. */
  readonly addChunk: (chunk: Buffer) => EventFrame[];
  /** Returns the number of bytes received of an event that is not complete yet. */
  readonly getIncompleteLength: () => number;
}

/** Returns the index after the first blank lines that end after an index, or -1 if there are none. */
function findFrameEnd(text: string, fromIndex: number): number {
  const pattern = BLANK_LINE_PATTERN;
  pattern.lastIndex = fromIndex;
  const [blankLine] = pattern.exec(text) ?? [];
  if (blankLine === undefined) {
    return -1;
  }
  const end = pattern.lastIndex;
  // A stream whose lines end with CR LF is cut between the two.
  const isCut = end === text.length && blankLine.includes('\n') && blankLine.endsWith('\r');
  return isCut ? -1 : end;
}

/** Returns the last id. Runs for each event, so it makes no list of all ids. */
function decodeId(text: string): string | null {
  let id: string | null = null;
  for (let match = ID_PATTERN.exec(text); match !== null; match = ID_PATTERN.exec(text)) {
    id = match[1] ?? '';
  }
  return id?.trim() ?? null;
}

interface FrameRange {
  readonly start: number;
  end: number;
  readonly id: string | null;
  readonly hasData: boolean;
  readonly isForeign: boolean;
}

/** Adds a frame to those of the same chunk. Frames without data and id are put together, since a chunk may have thousands. */
function addFrame(frames: FrameRange[], frame: FrameRange): void {
  const last = frames.at(-1);
  const isEmpty = ({ hasData, id, isForeign }: FrameRange): boolean =>
    !hasData && id === null && !isForeign;
  if (last !== undefined && isEmpty(last) && isEmpty(frame)) {
    last.end = frame.end;
  } else {
    frames.push(frame);
  }
}

/**
 * Creates a reader for one run of a stream.
 *
 * @param isLaterRun True if the caller has received a part of the stream, into the middle of which no byte order mark belongs.
 */
export function createEventFrameReader(isLaterRun = false): EventFrameReader {
  let incomplete: Buffer = Buffer.alloc(0);
  /** Chunks after `incomplete` that complete no event. */
  let laterChunks: Buffer[] = [];
  let laterBytes = 0;
  let isFirst = true;

  /** Returns whether a chunk completes no event, by what may be part of a blank line before it. */
  const completesNone = (chunk: Buffer): boolean => {
    const last = laterChunks.at(-1) ?? incomplete;
    const canJudge = last.length >= MAX_PARTIAL_BLANK_LINE_LENGTH;
    const end = last.subarray(-MAX_PARTIAL_BLANK_LINE_LENGTH).toString('latin1');
    return canJudge && findFrameEnd(end + chunk.toString('latin1'), 0) < 0;
  };

  const decodeFrame = (text: string, start: number, end: number): FrameRange => {
    const hasMark = isFirst && text.startsWith(BYTE_ORDER_MARK);
    isFirst = false;
    const textStart = hasMark ? BYTE_ORDER_MARK.length : start;
    const frameText = text.slice(textStart, end);
    return {
      start: isLaterRun ? textStart : start,
      end,
      id: decodeId(frameText),
      hasData: DATA_PATTERN.test(frameText),
      isForeign: FOREIGN_LINE_PATTERN.test(frameText),
    };
  };

  return {
    addChunk: (chunk) => {
      // A long event is joined once, not with each of its chunks.
      if (completesNone(chunk)) {
        laterChunks.push(chunk);
        laterBytes += chunk.length;
        return [];
      }
      if (laterBytes > 0) {
        incomplete = Buffer.concat([incomplete, ...laterChunks]);
        laterChunks = [];
        laterBytes = 0;
      }
      // The bytes received before hold no blank line, so a long event is not searched again with each chunk.
      let fromIndex = Math.max(0, incomplete.length - MAX_PARTIAL_BLANK_LINE_LENGTH);
      const bytes = incomplete.length === 0 ? chunk : Buffer.concat([incomplete, chunk]);
      const text = bytes.toString('latin1');
      const frames: FrameRange[] = [];
      let start = 0;
      for (let end = findFrameEnd(text, fromIndex); end >= 0; end = findFrameEnd(text, fromIndex)) {
        addFrame(frames, decodeFrame(text, start, end));
        start = end;
        fromIndex = end;
      }
      incomplete = bytes.subarray(start);
      return frames.map(({ start: from, end: to, ...fields }) => ({
        bytes: bytes.subarray(from, to),
        ...fields,
      }));
    },
    // What is left of a blank line belongs to the event before it.
    getIncompleteLength: () =>
      laterBytes === 0 &&
      incomplete.length <= MAX_PARTIAL_BLANK_LINE_LENGTH &&
      LINE_ENDS_PATTERN.test(incomplete.toString('latin1'))
        ? 0
        : incomplete.length + laterBytes,
  };
}

const NUMBER_PATTERN = new RegExp(`^\\d{1,${MAX_NUMBER_DIGITS}}$`);

/** Returns whether the id of an event gives its place in the stream: ids are increasing numbers. */
export function isEventNumber(id: string | null): id is string {
  return id !== null && NUMBER_PATTERN.test(id);
}

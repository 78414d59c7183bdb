/**
 * Splits the bytes of a stream of server-sent events into complete blocks. Of a block only the lines of an event are forwarded: an
 * optional annotation, then fields. Comments, reconnection times and further blank lines are dropped; a caller that splits a stream at its
 * blank lines would take them for events. Any other line is not one of an event stream.
 */

import { createByteCollector } from '../byteCollector.js';

/** The end of a line and the blank line after it, then further blank lines. A line ends with LF, CR LF or CR. */
const BLANK_LINE_PATTERN = /((?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r))[\r\n]*/g;
/** Length of the longest blank line with the line end before it, without its last byte: what may have been received of it. */
const MAX_PARTIAL_BLANK_LINE_LENGTH = 3;
const LINE_ENDS_PATTERN = /^[\r\n]*$/;
const LINE_END_PATTERN = /\r\n|\n|\r/g;
const FIRST_LINE_END_PATTERN = /\r\n|\n|\r/;
const ID_PATTERN = /^id(?::[ ]?(.*))?$/gm;
const DATA_PATTERN = /^data(?::|$)/m;
/** A line that is not a field of an event. */
const OTHER_LINE_PATTERN = /^(?!(?:data|event|id)(?::|$))[^\r\n]/m;
/** A comment, or a time for reconnections, with its line end. */
const IDLE_LINES_PATTERN = /^(?::|retry(?::|$))[^\r\n]*(?:\r\n|\n|\r|$)/gm;
const LEADING_LINE_ENDS_PATTERN = /^[\r\n]+/;
/** The longest number that is compared. */
const MAX_NUMBER_DIGITS = 40;
/** The mark with which a text in UTF-8 may begin, as Latin-1. It is dropped: many callers take it for a part of the first line. */
const BYTE_ORDER_MARK = '\u00ef\u00bb\u00bf';

/** One complete block with the blank line that ends it, or several together without fields. */
export interface EventFrame {
  /** The lines of the event and the blank line that ends it; empty if the block has none. */
  readonly bytes: Buffer;
  /** Number of bytes received, with those that are not forwarded. */
  readonly receivedBytes: number;
  /** The id of the event, the last one of several; null if it has none. */
  readonly id: string | null;
  readonly idCount: number;
  readonly hasData: boolean;
  /** What ends its first line; empty if it has no line of an event. */
  readonly lineEnd: string;
  /** True if it has no field of an event: only comments, which servers send to keep a connection open, and the like. */
  readonly isIdle: boolean;
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

interface BlockEnd {
  /** Index after the blank line that ends the block. */
  readonly contentEnd: number;
  /** Index after all blank lines. */
  readonly end: number;
}

/** Finds the first blank lines that end after an index; null if there are none. */
function findBlockEnd(text: string, fromIndex: number): BlockEnd | null {
  const pattern = BLANK_LINE_PATTERN;
  pattern.lastIndex = fromIndex;
  const [blankLines, first] = pattern.exec(text) ?? [];
  if (blankLines === undefined || first === undefined) {
    return null;
  }
  const end = pattern.lastIndex;
  const contentEnd = end - blankLines.length + first.length;
  // A stream whose lines end with CR LF is cut between the two.
  const isCut = end === text.length && blankLines.includes('\n') && blankLines.endsWith('\r');
  if (isCut) {
    return contentEnd === end ? null : { contentEnd, end: contentEnd };
  }
  return { contentEnd, end };
}

/** Returns the last id and the number of ids. Runs for each event, so it makes no list of all ids. */
function decodeId(text: string): Pick<EventFrame, 'id' | 'idCount'> {
  let id: string | null = null;
  let idCount = 0;
  for (let match = ID_PATTERN.exec(text); match !== null; match = ID_PATTERN.exec(text)) {
    id = match[1] ?? '';
    idCount += 1;
  }
  return { id, idCount };
}

/** The lines of a block that are forwarded, as Latin-1, and whether there are others that no event stream has. */
interface BlockLines {
  readonly text: string;
  readonly isForeign: boolean;
}

/** Returns whether the lines of a text end alike. A caller that knows only one kind of line ends would miss the others. */
function hasOneLineEnd(text: string): boolean {
  return !text.includes('\r') || new Set(text.match(LINE_END_PATTERN)).size <= 1;
}

/** Returns what ends the first line of a text; empty if it has none. */
function findLineEnd(text: string): string {
  return FIRST_LINE_END_PATTERN.exec(text)?.[0] ?? '';
}

/** Selects the lines of an event from a block. Most blocks have no others. */
function selectLines(block: string, annotationPattern: RegExp): BlockLines {
  if (!OTHER_LINE_PATTERN.test(block)) {
    return { text: block, isForeign: !LINE_ENDS_PATTERN.test(block) && !hasOneLineEnd(block) };
  }
  const text = block.replace(IDLE_LINES_PATTERN, '');
  const isIdle = LINE_ENDS_PATTERN.test(text);
  const hasOthers = OTHER_LINE_PATTERN.test(text.replace(annotationPattern, ''));
  return { text, isForeign: !isIdle && (hasOthers || !hasOneLineEnd(text)) };
}

type MutableFrame = { -readonly [Field in keyof EventFrame]: EventFrame[Field] };

/** Adds a frame to those of the same chunk. Frames without fields are put together, since a chunk may have thousands. */
function addFrame(frames: MutableFrame[], frame: EventFrame): void {
  const last = frames.at(-1);
  if (last?.isIdle === true && frame.isIdle) {
    last.receivedBytes += frame.receivedBytes;
  } else {
    frames.push(frame);
  }
}

/**
 * Creates a reader for one run of a stream.
 *
 * @param annotationPattern Matches a line that may stand before the fields of an event, at the start of a text.
 */
export function createEventFrameReader(annotationPattern: RegExp): EventFrameReader {
  /** What was received of a block that is not complete. */
  const incomplete = createByteCollector();
  /** The end of it, with which a blank line may begin. */
  let tail = '';
  let isFirst = true;

  const keepIncomplete = (bytes: Buffer): void => {
    incomplete.add(bytes);
    const end = bytes.subarray(-MAX_PARTIAL_BLANK_LINE_LENGTH).toString('latin1');
    tail = (tail + end).slice(-MAX_PARTIAL_BLANK_LINE_LENGTH);
  };

  /** Returns whether a chunk completes no block, by what may be part of a blank line before it. */
  const completesNone = (chunk: Buffer): boolean =>
    tail.length === MAX_PARTIAL_BLANK_LINE_LENGTH &&
    findBlockEnd(tail + chunk.toString('latin1'), 0) === null;

  const decodeFrame = (received: string, receivedBytes: Buffer): EventFrame => {
    const hasMark = isFirst && received.startsWith(BYTE_ORDER_MARK);
    isFirst = false;
    const block = received
      .slice(hasMark ? BYTE_ORDER_MARK.length : 0)
      .replace(LEADING_LINE_ENDS_PATTERN, '');
    const { isForeign, text } = selectLines(block, annotationPattern);
    const isIdle = !isForeign && LINE_ENDS_PATTERN.test(text);
    const forwarded = isIdle ? '' : text;
    return {
      bytes: forwarded === received ? receivedBytes : Buffer.from(forwarded, 'latin1'),
      receivedBytes: received.length,
      ...decodeId(text),
      hasData: DATA_PATTERN.test(text),
      lineEnd: findLineEnd(forwarded),
      isIdle,
      isForeign,
    };
  };

  return {
    addChunk: (chunk) => {
      // A long event is joined once, not with each of its chunks.
      if (completesNone(chunk)) {
        keepIncomplete(chunk);
        return [];
      }
      const received = incomplete.take();
      // The bytes received before hold no blank line, so a long event is not searched again with each chunk.
      let fromIndex = Math.max(0, received.length - MAX_PARTIAL_BLANK_LINE_LENGTH);
      const bytes = received.length === 0 ? chunk : Buffer.concat([received, chunk]);
      const text = bytes.toString('latin1');
      const frames: MutableFrame[] = [];
      let start = 0;
      for (
        let found = findBlockEnd(text, fromIndex);
        found !== null;
        found = findBlockEnd(text, fromIndex)
      ) {
        const { contentEnd, end } = found;
        const block = bytes.subarray(start, contentEnd);
        const frame = decodeFrame(text.slice(start, contentEnd), block);
        addFrame(frames, { ...frame, receivedBytes: end - start });
        start = end;
        fromIndex = end;
      }
      tail = '';
      keepIncomplete(bytes.subarray(start));
      return frames;
    },
    // What is left of a blank line belongs to the event before it.
    getIncompleteLength: () => {
      const length = incomplete.getLength();
      return length <= MAX_PARTIAL_BLANK_LINE_LENGTH && LINE_ENDS_PATTERN.test(tail) ? 0 : length;
    },
  };
}

const NUMBER_PATTERN = new RegExp(`^\\d{1,${MAX_NUMBER_DIGITS}}$`);

/** Returns whether the id of an event gives its place in the stream: ids are increasing numbers. */
export function isEventNumber(id: string | null): id is string {
  return id !== null && NUMBER_PATTERN.test(id);
}

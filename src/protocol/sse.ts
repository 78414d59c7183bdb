/**
 * Decodes server-sent events from the streams of engines, and encodes them for the streams to callers.
 */
import { createParser } from 'eventsource-parser';
import { Either } from 'purify-ts';

/** Data of the event that ends a complete stream. */
export const SSE_DONE = '[DONE]';
/** Longest event, in characters, before it is complete. */
const MAX_EVENT_LENGTH = 1_048_576;

/** What a stream contains, in order. */
export const SseItemKind = {
  Event: 'event',
  /** Bytes that are no UTF-8, or a line that is not one of an event stream. */
  Foreign: 'foreign',
} as const;
export type SseItemKind = (typeof SseItemKind)[keyof typeof SseItemKind];

/** A complete event, or something else. */
export type SseItem =
  | { readonly kind: typeof SseItemKind.Event; readonly data: string }
  | { readonly kind: typeof SseItemKind.Foreign };

/** Adds the bytes of a stream and returns what they complete. Nothing may be added after foreign bytes. */
export type SseReader = (bytes: Uint8Array) => readonly SseItem[];

const FOREIGN: SseItem = { kind: SseItemKind.Foreign };

/** Creates a reader for one stream. */
export function createSseReader(): SseReader {
  let completed: SseItem[] = [];
  const decoder = new TextDecoder('utf-8', { fatal: true });
  const parser = createParser({
    maxBufferSize: MAX_EVENT_LENGTH,
    onEvent: ({ data }) => completed.push({ kind: SseItemKind.Event, data }),
    onError: () => completed.push(FOREIGN),
  });
  return (bytes) => {
    completed = [];
    return Either.encase(() => decoder.decode(bytes, { stream: true })).caseOf({
      Left: () => [FOREIGN],
      Right: (text) => {
        parser.feed(text);
        return completed;
      },
    });
  };
}

/** Encodes one event with the given data. */
export function encodeSse(data: string): string {
  return `data: ${data}\n\n`;
}

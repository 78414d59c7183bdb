/**
 * Decodes server-sent events from the streams of engines, and encodes them for the streams to callers.
 */
import { createParser } from 'eventsource-parser';

/** Data of the event that ends a complete stream. */
export const SSE_DONE = '[DONE]';

/** Adds a chunk of a stream and returns the data of each event that this chunk completes. */
export type SseReader = (chunk: string) => readonly string[];

/** Creates a reader for one stream. */
export function createSseReader(): SseReader {
  let completed: string[] = [];
  const parser = createParser({ onEvent: (event) => completed.push(event.data) });
  return (chunk) => {
    completed = [];
    parser.feed(chunk);
    return completed;
  };
}

/** Encodes one event with the given data. */
export function encodeSse(data: string): string {
  return `data: ${data}\n\n`;
}

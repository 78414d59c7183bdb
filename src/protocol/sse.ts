/**
 * Server-sent events: a reader for engines' streams and a writer for callers'.
 */
import { createParser } from 'eventsource-parser';

/** Marks the end of a whole answer. */
export const SSE_DONE = '[DONE]';

/** Takes chunks of a stream and returns the data of each event that is now whole. */
export type SseReader = (chunk: string) => readonly string[];

/** Creates a reader. */
export function createSseReader(): SseReader {
  let ready: string[] = [];
  const parser = createParser({ onEvent: (event) => ready.push(event.data) });
  return (chunk) => {
    ready = [];
    parser.feed(chunk);
    return ready;
  };
}

/** Writes the data of one event. */
export function encodeSse(data: string): string {
  return `data: ${data}\n\n`;
}

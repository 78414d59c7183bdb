/**
 * Forms messages in chunks of one byte.
 */

/** Length of the whole bodies in small chunks. */
export const SOUND_BYTES = 150_000;
const EVENTS = 2_000;

/** Frames each byte of a Latin-1 text as a chunk of its own. */
export function toSmallChunks(text: string): string {
  return Array.from(text, (byte) => `1\r\n${byte}\r\n`).join('');
}

/** Formats a whole stream of events. */
export function formatEvents(): string {
  return Array.from({ length: EVENTS }, (_, i) => `id: ${i + 1}\ndata: token-${i}\n\n`).join('');
}

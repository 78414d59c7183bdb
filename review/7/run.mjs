/* eslint-disable import-x/extensions -- scripts of a review run as they are, without a build */
/**
 * A crowd of callers sends chunked bodies that stop just short of their end, with heads inside the limit of the configuration.
 */
import { createHead, MAX_HEADER_BYTES, playCrowd } from '../lib-2/crowd.mjs';

const CHUNK = '5\r\nhello\r\n';
const LINES = 940;

function createLines(index) {
  const suffix = (index % 97).toString(36);
  return Array.from({ length: LINES }, (_, i) => `${(i + 1000).toString(36)}x${suffix}: vvvvv`);
}

await playCrowd(import.meta.url, {
  callers: 2300,
  // The last chunk is missing.
  createParts: (index) => {
    const head = createHead(index, createLines(index));
    if (head.length > MAX_HEADER_BYTES) {
      throw new Error('the head is too long');
    }
    return { head, repeated: CHUNK, times: 1, end: '' };
  },
  // As many callers, with ordinary heads and bodies that end.
  createProperParts: (index) => ({
    head: createHead(index),
    repeated: CHUNK,
    times: 1,
    end: '0\r\n\r\n',
  }),
});

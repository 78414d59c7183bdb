/**
 * Checks texts that are sent as parts of an HTTP message. The parser of Node.js accepts some that its own client and server
 * refuse to send.
 */

const HEADER_NAME_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const HEADER_VALUE_PATTERN = /^[\t\x20-\x7e\x80-\xff]*$/;
const TARGET_PATTERN = /^[\x21-\xff]+$/;
const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Returns whether a text can be the name of a header. */
export function isHeaderName(text: string): boolean {
  return HEADER_NAME_PATTERN.test(text);
}

/** Returns whether a text can be the value of a header. */
export function isHeaderValue(text: string): boolean {
  return HEADER_VALUE_PATTERN.test(text);
}

/** Returns whether a text can be the target of a request. */
export function isRequestTarget(text: string): boolean {
  return TARGET_PATTERN.test(text);
}

/** Returns whether all names in a list of header names and values in alternation can be sent. */
export function hasHeaderNames(rawHeaders: readonly string[]): boolean {
  return rawHeaders.every((text, i) => i % 2 === 1 || isHeaderName(text));
}

/** Returns whether a status can be that of a response: its first digit is one of the classes of HTTP. */
export function isAnswerStatus(status: number): boolean {
  return status >= MIN_STATUS && status <= MAX_STATUS;
}

/** Returns whether the head of a response can be sent on, given its header names and values in alternation. */
export function isAnswerHead(status: number, rawHeaders: readonly string[]): boolean {
  return isAnswerStatus(status) && hasHeaderNames(rawHeaders);
}

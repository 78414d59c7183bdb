/**
 * Describes what was thrown. Libraries may throw any value, also one that throws when it is read; a description never does, so
 * that the handler of an error does not fail itself.
 */
import { inspect } from 'node:util';

const INDESCRIBABLE_TEXT = 'a value that cannot be described';

/** Returns the stack of an error, or the value itself as text. */
export function describeThrown(thrown: unknown): string {
  try {
    if (thrown instanceof Error) {
      return String(thrown.stack ?? thrown.message);
    }
    return typeof thrown === 'string' ? thrown : inspect(thrown);
  } catch {
    return INDESCRIBABLE_TEXT;
  }
}

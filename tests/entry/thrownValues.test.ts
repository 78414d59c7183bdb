/**
 * Tests that whatever was thrown can be described.
 */
import { describe, expect, it } from 'vitest';
import { describeThrown } from '../../src/transport/thrownValues.js';

const UNREADABLE = new Proxy(
  {},
  {
    get() {
      throw new Error('unreadable');
    },
    getPrototypeOf() {
      throw new Error('unreadable');
    },
  },
);

describe('a value that was thrown', () => {
  it.each<{ name: string; thrown: unknown; expected: string }>([
    { name: 'an error', thrown: new RangeError('x'), expected: 'RangeError: x' },
    {
      name: 'an error without a stack',
      thrown: Object.assign(new Error('x'), { stack: undefined }),
      expected: 'x',
    },
    { name: 'a text', thrown: 'x', expected: 'x' },
    { name: 'nothing', thrown: undefined, expected: 'undefined' },
    { name: 'a symbol', thrown: Symbol('x'), expected: 'Symbol(x)' },
    { name: 'an object', thrown: { code: 'x' }, expected: "{ code: 'x' }" },
    {
      name: 'an object without a prototype',
      thrown: Object.create(null),
      expected: 'null prototype',
    },
    { name: 'an object that cannot be read', thrown: UNREADABLE, expected: 'cannot be described' },
  ])('is described: $name', ({ expected, thrown }) => {
    expect(describeThrown(thrown)).toContain(expected);
  });
});

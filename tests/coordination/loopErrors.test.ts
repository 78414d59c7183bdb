/**
 * Tests that an event whose handler throws, or a command whose executor throws, does not end the event loop.
 */
import { Effect, Fiber } from 'effect';
import { TestClock } from 'effect/testing';
import { describe, expect, it } from 'vitest';
import { createEventLoop } from '../../src/coordination/loop.js';

interface TestEvent {
  readonly name: string;
}

const CASES = [
  { name: 'the handler', failsInHandler: true, executed: ['after'] },
  { name: 'the executor of a command', failsInHandler: false, executed: ['bad second', 'after'] },
];

describe('an error in an event loop', () => {
  it.each(CASES)(
    'is reported once, and the loop goes on: in $name',
    async ({ executed, failsInHandler }) => {
      const done: string[] = [];
      const errors: string[] = [];
      const loop = createEventLoop<null, TestEvent, string>({
        state: null,
        step: (_state, { name }) => {
          if (name === 'bad' && failsInHandler) {
            throw new TypeError('handler');
          }
          return name === 'bad' ? ['bad first', 'bad second'] : [name];
        },
        execute: (command) => {
          if (command === 'bad first') {
            throw new TypeError('executor');
          }
          done.push(command);
        },
        onError: ({ name }) => errors.push(name),
      });
      const program = Effect.gen(function* run() {
        const fiber = yield* Effect.forkChild(loop.run);
        loop.post({ name: 'bad' });
        loop.post({ name: 'after' });
        yield* TestClock.adjust(0);
        yield* Fiber.interrupt(fiber);
      });
      await Effect.runPromise(Effect.scoped(Effect.provide(program, TestClock.layer())));
      expect(errors).toEqual(['bad']);
      expect(done).toEqual(executed);
    },
  );
});

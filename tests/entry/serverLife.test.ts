/**
 * Tests that an answer without a length counts as whole only if the process that sent it has outlived it, whatever listens at its address
 * afterwards.
 */
import net, { type AddressInfo, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { EntryEventKind } from '../../src/coordination/entry/events.js';
import {
  type AnswerHealth,
  closeAll,
  closers,
  EVENTS,
  formatHealth,
  forward,
  HEAD,
  HEALTH_PATH,
  HEALTHY,
  OTHER_ID,
  SERVER_ID,
  type ServerProcess,
  SILENT,
  startServer,
  startSuccessor,
  STREAM_HEAD,
} from './lifeFixtures.js';

/** Longest time for which a caller may wait for the end of an answer. */
const MAX_HELD_MS = 600;

afterEach(closeAll);

interface EndCase {
  readonly name: string;
  readonly answerHealth: AnswerHealth;
  readonly end: (server: ServerProcess, answering: Socket) => void;
  readonly isWhole: boolean;
  readonly evidence: readonly string[];
}

const END_CASES: readonly EndCase[] = [
  {
    name: 'its server was killed',
    answerHealth: HEALTHY,
    end: (server) => {
      server.closeListener();
      server.endConnections();
    },
    isWhole: false,
    evidence: ['closed', 'refused'],
  },
  {
    name: 'its server was killed, and stops listening some ms later',
    answerHealth: SILENT,
    end: (server) => {
      server.endConnections();
      setTimeout(server.closeListener, 15);
    },
    isWhole: false,
    evidence: ['closed', 'refused'],
  },
  {
    name: 'its server was killed, and its connections end one by one',
    answerHealth: SILENT,
    end: (server, answering) => {
      answering.end();
      setTimeout(() => {
        server.closeListener();
        server.endConnections();
      }, 15);
    },
    isWhole: false,
    evidence: ['closed', 'refused'],
  },
  {
    name: 'its server was killed, and the connection of the answer ends last',
    answerHealth: SILENT,
    end: (server, answering) => {
      server.closeListener();
      server.endConnections(answering);
      setTimeout(() => answering.end(), 15);
    },
    isWhole: false,
    evidence: ['closed', 'refused'],
  },
  {
    name: 'its server was killed, and another one listens at its address at once',
    answerHealth: HEALTHY,
    end: (server) => {
      server.closeListener();
      server.endConnections();
      startSuccessor(server.port, OTHER_ID);
    },
    isWhole: false,
    evidence: ['closed'],
  },
  {
    name: 'its server was killed and started again with the same id',
    answerHealth: HEALTHY,
    end: (server) => {
      server.closeListener();
      server.endConnections();
      startSuccessor(server.port, SERVER_ID);
    },
    isWhole: false,
    evidence: ['closed'],
  },
  {
    name: 'its server lives',
    answerHealth: HEALTHY,
    end: (_server, answering) => answering.end(),
    isWhole: true,
    evidence: ['answered'],
  },
  {
    name: 'its server lives, and is full',
    answerHealth: (socket) => socket.write(formatHealth('503 Full', SERVER_ID)),
    end: (_server, answering) => answering.end(),
    isWhole: true,
    evidence: ['answered'],
  },
  {
    name: 'its server lives, and is slow to answer',
    answerHealth: (socket) => {
      setTimeout(() => HEALTHY(socket), 100);
    },
    end: (_server, answering) => answering.end(),
    isWhole: true,
    evidence: ['answered'],
  },
  {
    name: 'its server lives, and does not answer in time',
    answerHealth: SILENT,
    end: (_server, answering) => answering.end(),
    isWhole: true,
    evidence: ['still_open'],
  },
];

const FORMS = [
  { form: 'a stream', answer: STREAM_HEAD + EVENTS, whole: EntryEventKind.AnswerCompleted },
  { form: 'a body', answer: `${HEAD}\r\nwhole`, whole: EntryEventKind.AnswerReady },
  {
    form: 'a large body',
    answer: `${HEAD}\r\n${'x'.repeat(1_100_000)}`,
    whole: EntryEventKind.AnswerCompleted,
  },
];

const LIFE_CASES = FORMS.flatMap((form) => END_CASES.map((end) => ({ ...form, ...end })));

describe('an answer without a length', () => {
  it.each(LIFE_CASES)(
    'is whole only if its process outlives it: $form, $name',
    async ({ answer, answerHealth, end, evidence, isWhole, whole }) => {
      const server = await startServer(answerHealth, answer, end);
      const { events, heldMs, seen } = await forward(server.port, {
        isStream: answer.includes('text/event-stream'),
      });
      expect(events.at(-1)?.kind).toBe(isWhole ? whole : EntryEventKind.AttemptFailed);
      expect(heldMs).toBeLessThan(MAX_HELD_MS);
      const ends = events.flatMap((event) =>
        event.kind === EntryEventKind.UnframedAnswerEnded ? [event] : [],
      );
      expect(ends).toHaveLength(1);
      expect(evidence).toContain(ends[0]?.evidence);
      expect(server.healthChecks).toBeLessThanOrEqual(1);
      if (whole === EntryEventKind.AnswerCompleted) {
        const result = await seen;
        expect(result).toMatchObject({ isFramed: true, hasEndMark: isWhole });
      }
    },
  );
});

/** Ends an answer in the same packet as its head, so that no connection to its server is open yet. */
const SHORT_CASES: readonly (Omit<EndCase, 'end'> & { readonly id: string | null })[] = [
  {
    name: 'it lives',
    id: SERVER_ID,
    answerHealth: HEALTHY,
    isWhole: true,
    evidence: ['answered_later'],
  },
  {
    name: 'another one is at the address',
    id: OTHER_ID,
    answerHealth: (socket) => socket.write(formatHealth('200 OK', OTHER_ID)),
    isWhole: false,
    evidence: ['other_server'],
  },
  {
    name: 'another one is at the address and says so',
    id: OTHER_ID,
    answerHealth: (socket) => socket.write('HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n'),
    isWhole: false,
    evidence: ['other_server'],
  },
  {
    name: 'what listens there closes the connection',
    id: null,
    answerHealth: (socket) => socket.end(),
    isWhole: false,
    evidence: ['no_answer'],
  },
  {
    name: 'what listens there does not answer',
    id: null,
    answerHealth: SILENT,
    isWhole: false,
    evidence: ['no_answer'],
  },
];

describe('a short answer without a length', () => {
  it.each(SHORT_CASES)(
    'is whole only if its server is found at its address: $name',
    async ({ answerHealth, evidence, isWhole }) => {
      const sockets: Socket[] = [];
      const server = net.createServer((socket) => {
        sockets.push(socket);
        socket.on('error', () => {});
        socket.once('data', (data) => {
          if (data.toString().startsWith(`GET ${HEALTH_PATH} `)) {
            answerHealth(socket);
          } else {
            socket.end(`${HEAD}\r\nwhole`);
          }
        });
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      closers.push(() => {
        server.close();
        sockets.forEach((socket) => socket.destroy());
      });
      const { events, heldMs } = await forward((server.address() as AddressInfo).port, {
        isStream: false,
      });
      expect(events.at(-1)?.kind).toBe(
        isWhole ? EntryEventKind.AnswerReady : EntryEventKind.AttemptFailed,
      );
      expect(heldMs).toBeLessThan(MAX_HELD_MS);
      const ends = events.flatMap((event) =>
        event.kind === EntryEventKind.UnframedAnswerEnded ? [event] : [],
      );
      expect(ends).toHaveLength(1);
      expect(evidence).toContain(ends[0]?.evidence);
    },
  );
});

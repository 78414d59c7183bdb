/**
 * The callers of a soak of entry VMs. They keep using their open connections until the process at the other end is gone; some
 * read slowly, some leave, and some go on with a broken stream at another VM.
 */
import http from 'node:http';
import { nextRandom, nextRandomInt, type RandomState } from '../../src/state/random.js';
import { wait } from '../stand-ins/entryVms.js';
import {
  FOREIGN_HEADS,
  listIdleForms,
  listSpoiledForms,
  SpoiledTail,
} from '../stand-ins/streamForms.js';
import type { EntryFleet, SoakVm, VmLife } from './entryFleet.js';
import { EVENT_COUNT, parseEvents } from './numberedEvents.js';

const PAUSE_MS = 30;
/** Longest time without any data after which a caller gives up. */
const SILENCE_MS = 12_000;
/** A caller that reads slowly pauses for this time after each piece of data. */
const SLOW_READ_MS = 10;
const SLOW_FRACTION = 0.25;
const LEAVING_FRACTION = 0.1;
const MAX_RESUMPTIONS = 3;
const EVENT_BYTES = [200, 20_000] as const;
/** Share of the streams that their servers spoil while a disruption has them do so, and share of these that are spoiled twice. */
const SPOILED_FRACTION = 0.5;
const TWICE_SPOILED_FRACTION = 0.3;
/** Share of the streams with a head that is not a stream's, of those that their servers spoil. */
const FOREIGN_HEAD_FRACTION = 0.2;
/** Number of forms without data that servers send in such a stream. */
const IDLE_FORM_COUNT = 3;
const TAILS = Object.values(SpoiledTail);
const MODELS = ['m0', 'm0', 'm0/a1', 'm0/a2', 'm0/a3', 'm1', 'm1/a1', 'm1/a2', 'm2', 'm2/a1'];

/** The kinds of requests. */
export const ENTRY_KINDS = {
  lookup: {
    prefix: '/look/',
    isStream: false,
    mayRunTwice: true,
    hasModel: false,
    deadlineMs: 2_500,
  },
  booking: {
    prefix: '/book/',
    isStream: false,
    mayRunTwice: false,
    hasModel: false,
    deadlineMs: 2_500,
  },
  once: {
    prefix: '/once/',
    isStream: true,
    mayRunTwice: false,
    hasModel: false,
    deadlineMs: 5_000,
  },
  again: {
    prefix: '/again/',
    isStream: true,
    mayRunTwice: true,
    hasModel: false,
    deadlineMs: 5_000,
  },
  letter: {
    prefix: '/letter/',
    isStream: true,
    mayRunTwice: false,
    hasModel: true,
    deadlineMs: 2_500,
  },
  draft: {
    prefix: '/draft/',
    isStream: true,
    mayRunTwice: true,
    hasModel: true,
    deadlineMs: 2_500,
  },
} as const;
export type EntryKind = keyof typeof ENTRY_KINDS;

/** What a caller got for one attempt. */
export interface EntryOutcome {
  readonly id: string;
  readonly kind: EntryKind;
  readonly vm: SoakVm;
  /** The life of the VM that was the newest when the request was sent. */
  readonly life: VmLife;
  readonly isFramed: boolean;
  readonly isSlow: boolean;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Id of the last event that the caller had before. */
  readonly lastEventId: number;
  /** Id of the attempt that brought the first event of the stream; its own unless it takes a stream up. */
  readonly firstId: string;
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  readonly answeredId: string;
  readonly body: string;
  /** True if the answer looks whole to its caller. */
  readonly isComplete: boolean;
  readonly hasLeft: boolean;
  /** Code of the error of its connection, or an empty text. */
  readonly errorCode: string;
}

interface Attempt {
  readonly id: string;
  readonly kind: EntryKind;
  readonly vm: SoakVm;
  readonly agent: http.Agent;
  readonly isFramed: boolean;
  readonly isSlow: boolean;
  readonly eventBytes: number;
  readonly model: string;
  readonly lastEventId: number;
  /** Id of the attempt that brought the first event of the stream; null for one from the beginning. */
  readonly resumedId: string | null;
  /** Parts of the query with which servers spoil the stream, or send more than its events. */
  readonly spoils: readonly string[];
  /** The caller closes its connection after this time. */
  readonly leavesAfterMs: number;
}

function createHeaders({
  id,
  kind,
  lastEventId,
  model,
  resumedId,
}: Attempt): http.OutgoingHttpHeaders {
  const { deadlineMs, hasModel } = ENTRY_KINDS[kind];
  return {
    ...{ host: 'h', 'x-attempt-id': id, 'x-api-key': 'key-1', 'x-token-count': '10,10' },
    'x-deadline-ms': String(deadlineMs),
    ...(hasModel ? { 'x-model': model } : {}),
    ...(lastEventId > 0 ? { 'last-event-id': String(lastEventId) } : {}),
    ...(resumedId === null ? {} : { resumes: resumedId }),
  };
}

function createPath({ eventBytes, isFramed, kind, spoils }: Attempt): string {
  const { isStream, prefix } = ENTRY_KINDS[kind];
  const query = [
    `framing=${isFramed ? 'chunks' : 'none'}`,
    ...(isStream ? [`events=${eventBytes}`, ...spoils] : []),
  ];
  return `${prefix}x?${query.join('&')}`;
}

function callVm(attempt: Attempt): Promise<EntryOutcome> {
  const { agent, id, isFramed, isSlow, kind, lastEventId, leavesAfterMs, vm } = attempt;
  const [host = '', port = ''] = vm.address.split(':');
  const path = createPath(attempt);
  const firstId = attempt.resumedId ?? id;
  const sentAtMs = performance.now();
  const life = vm.lives.at(-1)!;
  return new Promise((resolve) => {
    let hasLeft = false;
    let hasBegun = false;
    let errorCode = '';
    const finish = (status: number, answeredId = '', body = '', isComplete = false): void =>
      resolve({
        ...{ id, firstId, kind, vm, life, isFramed, isSlow, sentAtMs, lastEventId },
        ...{ hasLeft, errorCode },
        ...{ status, answeredId, body, isComplete, endedAtMs: performance.now() },
      });
    const headers = createHeaders(attempt);
    const request = http.request({ host, port, path, method: 'POST', agent, headers });
    const leave = setTimeout(() => {
      hasLeft = true;
      request.destroy();
    }, leavesAfterMs);
    request.setTimeout(SILENCE_MS, () => request.destroy());
    request.on('response', (response) => {
      hasBegun = true;
      const chunks: string[] = [];
      // A response gives its socket back when it is whole and the connection stays open.
      const { socket } = response;
      let isReset = false;
      // For a reset that finds unread data, libuv reports an end in order; a connection that was reset has no peer then.
      const recordReset = (): void => {
        isReset = socket.remoteAddress === undefined;
      };
      if (!isFramed) {
        socket.prependOnceListener('end', recordReset);
      }
      response.on('data', (chunk: Buffer) => {
        chunks.push(chunk.toString('latin1'));
        if (isSlow) {
          response.pause();
          setTimeout(() => response.resume(), SLOW_READ_MS);
        }
      });
      response.on('error', () => {});
      response.on('close', () => {
        clearTimeout(leave);
        socket.off('end', recordReset);
        const { complete, headers: answered, statusCode = 0 } = response;
        finish(
          statusCode,
          String(answered['x-attempt-id']),
          chunks.join(''),
          complete && errorCode === '' && !hasLeft && !isReset,
        );
      });
    });
    request.on('error', ({ code = 'unknown' }: NodeJS.ErrnoException) => {
      errorCode = code;
      if (!hasBegun) {
        clearTimeout(leave);
        finish(0);
      }
    });
    request.end('body');
  });
}

/** Runs callers until `isOver`, and returns what they got. */
export async function runEntryCallers(
  { spoilSpans, vms }: EntryFleet,
  random: RandomState,
  count: number,
  isOver: () => boolean,
): Promise<EntryOutcome[]> {
  const outcomes: EntryOutcome[] = [];
  const kinds = Object.keys(ENTRY_KINDS) as EntryKind[];
  const pick = <T>(from: readonly T[]): T => from[nextRandomInt(random, from.length)]!;
  const formCount = listSpoiledForms(1).length;
  const idleFormCount = listIdleForms(1).length;
  let sent = 0;

  /** Draws where and how servers spoil a stream, in the order of the events. */
  const drawSpoils = (): string[] => {
    const places = nextRandom(random) < TWICE_SPOILED_FRACTION ? 2 : 1;
    const eventIds = Array.from(
      { length: places },
      () => 2 + nextRandomInt(random, EVENT_COUNT - 1),
    );
    const idle = Array.from(
      { length: IDLE_FORM_COUNT },
      () =>
        `idle=${1 + nextRandomInt(random, EVENT_COUNT)}.${nextRandomInt(random, idleFormCount)}`,
    );
    if (nextRandom(random) < FOREIGN_HEAD_FRACTION) {
      return [...idle, `head=${nextRandomInt(random, FOREIGN_HEADS.length)}`];
    }
    const spoils = eventIds
      .sort((left, right) => left - right)
      .map((eventId) => `spoil=${eventId}.${nextRandomInt(random, formCount)}.${pick(TAILS)}`);
    return [...idle, ...spoils];
  };
  const areSpoiled = (): boolean =>
    nextRandom(random) < SPOILED_FRACTION &&
    spoilSpans.some(({ untilMs }) => untilMs === Number.POSITIVE_INFINITY);
  const call = async (attempt: Omit<Attempt, 'id'>): Promise<EntryOutcome> => {
    sent += 1;
    const outcome = await callVm({ ...attempt, id: `request-${sent}` });
    outcomes.push(outcome);
    return outcome;
  };
  /** Goes on with a resumable stream that broke off, at another VM each time, until it is whole. */
  const resume = async (
    attempt: Omit<Attempt, 'id'>,
    broken: EntryOutcome,
    remaining = MAX_RESUMPTIONS,
  ): Promise<void> => {
    const lastEventId = parseEvents(broken.body).events.at(-1)?.eventId ?? broken.lastEventId;
    const canGoOn = broken.status === 200 && lastEventId > 0 && lastEventId < EVENT_COUNT;
    if (broken.isComplete || !canGoOn || remaining === 0) {
      return;
    }
    const vm = pick(vms.filter((other) => other !== broken.vm));
    const resumedId = broken.firstId;
    const next = await call({ ...attempt, vm, lastEventId, resumedId, leavesAfterMs: SILENCE_MS });
    await resume(attempt, next, remaining - 1);
  };
  const run = async (): Promise<void> => {
    const agent = new http.Agent({ keepAlive: true });
    while (!isOver()) {
      const isLeaving = nextRandom(random) < LEAVING_FRACTION;
      const attempt = {
        ...{ agent, kind: pick(kinds), vm: pick(vms), model: pick(MODELS), lastEventId: 0 },
        ...{ isFramed: nextRandom(random) < 0.6, isSlow: nextRandom(random) < SLOW_FRACTION },
        resumedId: null,
        eventBytes: pick(EVENT_BYTES),
        leavesAfterMs: isLeaving ? 20 + nextRandom(random) * 900 : SILENCE_MS,
        spoils: areSpoiled() ? drawSpoils() : [],
      };
      const outcome = await call(attempt);
      if (ENTRY_KINDS[attempt.kind].isStream && ENTRY_KINDS[attempt.kind].mayRunTwice) {
        await resume(attempt, outcome);
      }
      await wait(PAUSE_MS);
    }
    agent.destroy();
  };
  await Promise.all(Array.from({ length: count }, run));
  return outcomes;
}

/**
 * Judges the events of a run of a stream before they go to the caller. Events of a stream have increasing numbers, over all runs of the
 * request, so an event belongs to it only at the place that its number gives.
 */
import { SpoilReason } from '../../state/entry/spoiledStreams.js';
import { type EventFrame, isEventNumber } from './eventFrames.js';

/** What becomes of an event. */
export const EventVerdict = {
  /** The next event for the caller. */
  Sound: 'sound',
  /** Comments and the like, which callers do not need. */
  Idle: 'idle',
  /** The caller has it already. */
  Repeated: 'repeated',
  /** It does not belong to the stream, and nothing after it is trusted. */
  Spoiled: 'spoiled',
} as const;
export type EventVerdict = (typeof EventVerdict)[keyof typeof EventVerdict];

/** The verdict on an event; the reason is null unless it is spoiled. */
export interface Judgement {
  readonly verdict: EventVerdict;
  readonly reason: SpoilReason | null;
  /** Whether the run has gone on by it: false for an event that the run itself has sent before. */
  readonly isAdvance: boolean;
}

/** Up to where a caller has a stream, over all runs. Updated by the judge of the run in progress. */
export interface StreamPlace {
  /** Number of the last event that the caller has from this VM; null if it has none. */
  lastId: string | null;
  /** Whether the numbers rise by one; null until two are known. Those of a stream that its caller takes up do. */
  isConsecutive: boolean | null;
  /** What ends the lines of the events that the caller has from this VM; null if it has none. */
  lineEnd: string | null;
  /** Number of the last event that the caller had before, after which it takes the stream up; null if it begins anew. */
  readonly startsAfterId: string | null;
}

/** Judges one run of a stream. */
export interface StreamJudge {
  /** Judges the next event of the run, and moves the caller's place if it is sound. */
  readonly judge: (event: EventFrame) => Judgement;
  /** Returns why the run is spoiled although it has ended in order; null if it is not. */
  readonly judgeEnd: () => SpoilReason | null;
}

/**
 * Creates the place of a caller that has no event from this VM yet.
 *
 * @param isConsecutive What the VM that has passed the request knows of the caller's numbers; undefined if the caller is this VM's.
 */
export function createStreamPlace(
  startsAfterId: string | null,
  isConsecutive?: boolean | null,
): StreamPlace {
  const isTakenUp = isEventNumber(startsAfterId);
  return {
    lastId: null,
    isConsecutive: isConsecutive === undefined ? isTakenUp || null : isConsecutive,
    lineEnd: null,
    startsAfterId: isTakenUp ? startsAfterId : null,
  };
}

const SOUND: Judgement = { verdict: EventVerdict.Sound, reason: null, isAdvance: true };
const IDLE: Judgement = { verdict: EventVerdict.Idle, reason: null, isAdvance: false };
const REPEATED: Judgement = { verdict: EventVerdict.Repeated, reason: null, isAdvance: true };
const REPEATED_BY_RUN: Judgement = { ...REPEATED, isAdvance: false };

function spoiled(reason: SpoilReason): Judgement {
  return { verdict: EventVerdict.Spoiled, reason, isAdvance: false };
}

function toNumber(id: string | null): bigint | null {
  return id === null ? null : BigInt(id);
}

/** Creates the judge of a run that is to go on at the place of the caller, or to begin anew. */
export function createStreamJudge(place: StreamPlace): StreamJudge {
  let lastOfRun: bigint | null = null;
  let last = IDLE;

  const getLastOfCaller = (): bigint | null => toNumber(place.lastId ?? place.startsAfterId);

  /** Returns whether the numbers rise by one, as far as a number and the one before it show. */
  const learnStep = (number: bigint): boolean | null => {
    if (place.isConsecutive !== null) {
      return place.isConsecutive;
    }
    if (lastOfRun !== null) {
      return number === lastOfRun + 1n;
    }
    // Most streams begin with 1. Others show their step with the second event.
    const before = getLastOfCaller() ?? 0n;
    return number === before + 1n ? true : null;
  };

  const judgeNumber = (id: string, lineEnd: string): Judgement => {
    const number = BigInt(id);
    const before = lastOfRun;
    if (before !== null && number <= before) {
      return number === before || place.isConsecutive === true
        ? REPEATED_BY_RUN
        : spoiled(SpoilReason.FellBack);
    }
    const lastOfCaller = getLastOfCaller();
    const isRepeated = lastOfCaller !== null && number <= lastOfCaller;
    // A run that begins anew is compared with itself, one that goes on with what the caller has.
    const due = before ?? (isRepeated ? null : lastOfCaller) ?? null;
    if (place.isConsecutive === true && due !== null && number !== due + 1n) {
      return spoiled(SpoilReason.Skipped);
    }
    place.isConsecutive = learnStep(number);
    lastOfRun = number;
    if (isRepeated) {
      return REPEATED;
    }
    place.lastId = id;
    place.lineEnd = lineEnd;
    return SOUND;
  };

  const judgeEvent = (event: EventFrame): Judgement => {
    const { hasData, id, idCount, isForeign, isIdle, lineEnd } = event;
    if (isIdle) {
      return IDLE;
    }
    // A caller that looks for one kind of blank line would join events that end in two.
    if (isForeign || lineEnd !== (place.lineEnd ?? lineEnd)) {
      return spoiled(SpoilReason.ForeignText);
    }
    if (!hasData) {
      return spoiled(SpoilReason.NoData);
    }
    if (!isEventNumber(id)) {
      return spoiled(SpoilReason.NoNumber);
    }
    return idCount > 1 ? spoiled(SpoilReason.TwoNumbers) : judgeNumber(id, lineEnd);
  };

  return {
    judge: (event) => {
      if (last.verdict !== EventVerdict.Spoiled) {
        last = judgeEvent(event);
      }
      return last;
    },
    judgeEnd: () => {
      const lastOfCaller = getLastOfCaller();
      const isShort = lastOfRun !== null && lastOfCaller !== null && lastOfRun < lastOfCaller;
      return isShort ? SpoilReason.EndedEarly : null;
    },
  };
}

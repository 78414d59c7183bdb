/**
 * Judges what an engine sends in a stream of a completion before any of it goes to the caller. A token belongs to the
 * answer only with the id of the dispatch and the index that is due. The end is believed only if two things tell it: the
 * mark of the end, and before it a reason to finish or the last token that the request allows.
 */
import { AnswerSpoilReason } from '../state/spoiledAnswers.js';
import { type CompletionChunk, decodeChunk } from './openai.js';
import { SSE_DONE, type SseItem, SseItemKind } from './sse.js';

/** What becomes of an item. */
export const ItemVerdict = {
  /** A token, or a chunk without text, for the caller. */
  Sound: 'sound',
  /** Of the end: for the caller when the whole stream has been seen. */
  Held: 'held',
  /** The mark of the end. Nothing may come after it. */
  End: 'end',
  /** Does not belong to the answer, and nothing after it is trusted. */
  Spoiled: 'spoiled',
} as const;
export type ItemVerdict = (typeof ItemVerdict)[keyof typeof ItemVerdict];

/** The verdict on an item. */
export type ItemJudgement =
  | {
      readonly verdict: typeof ItemVerdict.Sound | typeof ItemVerdict.Held;
      readonly chunk: CompletionChunk;
    }
  | { readonly verdict: typeof ItemVerdict.End }
  | { readonly verdict: typeof ItemVerdict.Spoiled; readonly reason: AnswerSpoilReason };

/** The dispatch that a stream answers. */
export interface JudgedDispatch {
  readonly dispatchId: string;
  /** Index of the first token that is due. */
  readonly resumeFromToken: number;
  readonly maxTokens: number;
}

/** How far a stream has come. */
const Phase = { Open: 'open', Finished: 'finished', Ended: 'ended' } as const;
type Phase = (typeof Phase)[keyof typeof Phase];

function spoiled(reason: AnswerSpoilReason): ItemJudgement {
  return { verdict: ItemVerdict.Spoiled, reason };
}

/** Returns why a chunk with an index is not the token that is due; null if it is. */
function findTokenFault(
  { choiceCount, texts, tokenIndex }: CompletionChunk,
  dueIndex: number,
): AnswerSpoilReason | null {
  if (tokenIndex !== dueIndex) {
    return Number(tokenIndex) < dueIndex ? AnswerSpoilReason.FellBack : AnswerSpoilReason.Skipped;
  }
  return texts.length !== 1 || choiceCount !== 1 ? AnswerSpoilReason.NoText : null;
}

/** Creates the judge of one dispatch. It is not asked again after a spoiled item. */
export function createCompletionJudge({
  dispatchId,
  maxTokens,
  resumeFromToken,
}: JudgedDispatch): (item: SseItem) => ItemJudgement {
  let phase: Phase = Phase.Open;
  let dueIndex = resumeFromToken;

  const findFault = (chunk: CompletionChunk): AnswerSpoilReason | null => {
    const hasText = chunk.texts.some((text) => text !== '');
    if (chunk.id !== dispatchId) {
      return AnswerSpoilReason.OtherRequest;
    }
    if (phase === Phase.Finished && (chunk.tokenIndex !== null || chunk.finishReason !== null)) {
      return AnswerSpoilReason.AfterEnd;
    }
    if (chunk.tokenIndex !== null) {
      return findTokenFault(chunk, dueIndex);
    }
    return hasText ? AnswerSpoilReason.NoIndex : null;
  };

  const judgeChunk = (chunk: CompletionChunk): ItemJudgement => {
    const fault = findFault(chunk);
    if (fault !== null) {
      return spoiled(fault);
    }
    dueIndex += chunk.tokenIndex === null ? 0 : 1;
    if (phase === Phase.Open && chunk.finishReason === null) {
      return { verdict: ItemVerdict.Sound, chunk };
    }
    phase = Phase.Finished;
    return { verdict: ItemVerdict.Held, chunk };
  };

  const judgeEnd = (): ItemJudgement => {
    const isFinished = phase === Phase.Finished || dueIndex >= maxTokens;
    phase = Phase.Ended;
    return isFinished ? { verdict: ItemVerdict.End } : spoiled(AnswerSpoilReason.EndedEarly);
  };

  return (item) => {
    if (item.kind === SseItemKind.Foreign) {
      return spoiled(AnswerSpoilReason.ForeignText);
    }
    if (phase === Phase.Ended) {
      return spoiled(AnswerSpoilReason.AfterEnd);
    }
    if (item.data === SSE_DONE) {
      return judgeEnd();
    }
    return decodeChunk(item.data).caseOf({
      Left: () => spoiled(AnswerSpoilReason.Malformed),
      Right: judgeChunk,
    });
  };
}

/**
 * Why an answer of a backend server is not the answer to the request, in whole or from some point on.
 */

/** The reasons, as log lines and metrics have them. */
export const AnswerSpoilReason = {
  /** Bytes that are no UTF-8, or a line that is not one of an event stream. */
  ForeignText: 'foreign_text',
  /** Data that is neither a chunk of a completion nor the mark of the end. */
  Malformed: 'malformed',
  /** The id is that of another dispatch. */
  OtherRequest: 'other_request',
  /** Text without an index, which has no place in the order. */
  NoIndex: 'no_index',
  /** An index without the text of exactly one choice. */
  NoText: 'index_without_text',
  /** The index is beyond the one that is due. */
  Skipped: 'index_skipped',
  /** The index is below the one that is due. */
  FellBack: 'index_fell_back',
  /** The mark of the end came before the reason to finish and before the last token that the request allows. */
  EndedEarly: 'ended_early',
  /** Something came after the reason to finish or the mark of the end. */
  AfterEnd: 'after_end',
  /** Neither a length nor chunks: the end looks like a broken connection. */
  NoFraming: 'no_framing',
  /** A status or a header that no answer in HTTP has. */
  InvalidHead: 'invalid_head',
} as const;
export type AnswerSpoilReason = (typeof AnswerSpoilReason)[keyof typeof AnswerSpoilReason];

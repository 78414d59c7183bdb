/**
 * Why an event does not belong to the stream in which its server sent it.
 */

/** The reasons, as log lines and metrics have them. */
export const SpoilReason = {
  /** A line is neither a field of an event nor a comment. */
  ForeignText: 'foreign_text',
  /** Data without a number. */
  NoNumber: 'no_number',
  /** Data with more than one number. */
  TwoNumbers: 'two_numbers',
  /** Fields of an event without data. */
  NoData: 'number_without_data',
  /** Numbers that rise by one skip some. */
  Skipped: 'number_skipped',
  /** The number is lower than one before it, in a run whose numbers do not rise by one. */
  FellBack: 'number_fell_back',
  /** The run ended before the event that the caller has as its last one. */
  EndedEarly: 'ended_early',
} as const;
export type SpoilReason = (typeof SpoilReason)[keyof typeof SpoilReason];

/** The reasons that put events in doubt that the caller has already. */
export const DOUBTS: ReadonlySet<SpoilReason> = new Set([SpoilReason.FellBack]);

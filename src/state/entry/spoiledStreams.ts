/**
 * Why an event does not belong to the stream in which its server sent it.
 */

/** The reasons, as log lines and metrics have them. */
export const SpoilReason = {
  /** A line is not one of an event stream. */
  ForeignText: 'foreign_text',
  /** Data without a number. */
  NoNumber: 'no_number',
  /** A number without data, other than that of the event before. */
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

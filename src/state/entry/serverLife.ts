/**
 * What shows whether a backend server has outlived an answer without a length. The kernel ends the connections of a process that was
 * killed in the same way as the process itself, so the end of such an answer says nothing by itself.
 */

export const LifeEvidence = {
  /** The server has answered on a connection that it had accepted before the answer ended. */
  Answered: 'answered',
  /** Such a connection stays open, without an answer in time. */
  StillOpen: 'still_open',
  /** Such a connection has ended together with the answer. */
  Closed: 'closed',
  /** The same server has answered, on a connection that was opened after the end. */
  AnsweredLater: 'answered_later',
  /** A process listens at the address, and the service has nothing that it could be asked for. */
  Listening: 'listening',
  /** No process listens at the address. */
  Refused: 'refused',
  /** Another server is at the address. */
  OtherServer: 'other_server',
  /** There is no answer in time. */
  NoAnswer: 'no_answer',
} as const;
export type LifeEvidence = (typeof LifeEvidence)[keyof typeof LifeEvidence];

/**
 * What makes an answer count as whole. Without any of it the caller sees a broken answer: it can repeat a request, but cannot notice that
 * a part is missing.
 */
export const SIGNS_OF_LIFE: ReadonlySet<LifeEvidence> = new Set([
  LifeEvidence.Answered,
  LifeEvidence.StillOpen,
  LifeEvidence.AnsweredLater,
  LifeEvidence.Listening,
]);

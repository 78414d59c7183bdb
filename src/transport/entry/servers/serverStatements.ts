/**
 * Passes on to the event loop what backend servers say of themselves in the heads of their answers.
 */
import { type EntryEvent, EntryEventKind } from '../../../coordination/entry/events.js';
import { LeavingStatement, type ServerStatement } from '../wire.js';

/** The incarnation of a server that has answered, and the request that it has answered. */
export interface StatementSource {
  readonly backendId: string;
  readonly bornAtWallMs: number;
  /** The caller's id of the request; what was asked, if no caller did. */
  readonly requestName: string;
}

/** Posts what an answer states; most answers state nothing. */
export function postStatement(
  post: (event: EntryEvent) => void,
  { coldMs = 0, isPauseMalformed, leaving, pauseMs }: ServerStatement,
  source: StatementSource,
): void {
  const isLeavingStated = leaving !== LeavingStatement.None;
  if (isLeavingStated || pauseMs !== null || isPauseMalformed || coldMs > 0) {
    post({
      kind: EntryEventKind.ServerStated,
      ...source,
      isLeaving: leaving === LeavingStatement.Leaving,
      pauseMs,
      coldMs,
      isMalformed: leaving === LeavingStatement.Malformed || isPauseMalformed,
    });
  }
}

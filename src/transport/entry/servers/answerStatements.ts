/**
 * Reports what the heads of answers state of their servers: their state, a request limit, and the rejections that they bear.
 */
import type { IncomingMessage } from 'node:http';
import { EntryCommandKind } from '../../../coordination/entry/commands.js';
import { EntryEventKind } from '../../../coordination/entry/events.js';
import { readAnswerSource } from '../../../protocol/entry/passedRequests.js';
import type { Attempt } from './attemptState.js';
import { postStatement } from './serverStatements.js';
import type { AnswerHead } from '../wire.js';

/** Reports the request limit that the head of a response states, or that a limit has ended. */
function reportLimit({ command, context, startedAtMs }: Attempt, { limit }: AnswerHead): void {
  const { isStated, requestsPerSecond } = limit;
  if (command.kind !== EntryCommandKind.Dispatch || !isStated) {
    return;
  }
  if (requestsPerSecond !== null || command.isServerLimited) {
    const kind = EntryEventKind.LimitReported;
    const { backendId } = command;
    context.post({ kind, backendId, requestsPerSecond, dispatchedAtMs: startedAtMs });
  }
}

/** Reports the rejections that a brittle server bears, or that a server is no longer brittle. */
function reportBrittleness(
  { command, context, startedAtMs }: Attempt,
  { brittleness }: AnswerHead,
): void {
  const { isStated, maxRejectionsPerSecond } = brittleness;
  if (command.kind !== EntryCommandKind.Dispatch || !isStated) {
    return;
  }
  if (maxRejectionsPerSecond !== null || command.isServerBrittle) {
    const { backendId, bornAtWallMs } = command;
    context.post({
      kind: EntryEventKind.BrittlenessReported,
      backendId,
      bornAtWallMs,
      maxRejectionsPerSecond,
      dispatchedAtMs: startedAtMs,
    });
  }
}

/** Reports what the head of a response states of its server, also one that another VM passes. */
export function reportStatements(
  attempt: Attempt,
  response: IncomingMessage,
  head: AnswerHead,
): void {
  const { command, context, exchange } = attempt;
  attempt.source =
    command.kind === EntryCommandKind.Pass ? readAnswerSource(response.headers) : null;
  const server = command.kind === EntryCommandKind.Dispatch ? command : attempt.source;
  if (server !== null) {
    const { backendId, bornAtWallMs } = server;
    const requestName = exchange.callerRequestId;
    postStatement(context.post, head.statement, { backendId, bornAtWallMs, requestName });
  }
  if (!attempt.isSettled) {
    reportLimit(attempt, head);
    reportBrittleness(attempt, head);
  }
}

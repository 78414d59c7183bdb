/**
 * Creates the requests of attempts: those to backend servers, and those to other VMs.
 */
import http, { type ClientRequest } from 'node:http';
import { EntryCommandKind } from '../../../coordination/entry/commands.js';
import { encodePassedRequest, removePassHeaders } from '../../../protocol/entry/passedRequests.js';
import { readAllHeaderLines } from '../../headerLines.js';
import { splitAddress } from '../../httpCall.js';
import type { DispatchCommand, PassCommand } from './attemptCommands.js';
import type { Attempt } from './attemptState.js';

/** Longest head of a response. */
export const MAX_ANSWER_HEAD_BYTES = 16_384;

/** Encodes the headers of a request for a backend server. */
function encodeForServer(attempt: Attempt, command: DispatchCommand): string[] {
  const { context, exchange } = attempt;
  return context.wire.encodeForwardHead(removePassHeaders(exchange.request.rawHeaders), {
    workspace: command.workspace,
    expectedServer: command.backendId,
    remainingMs: command.remainingMs,
    urgency: command.urgency,
    resumeAfter: exchange.place.lastId,
  });
}

/** Encodes the headers of a request for another VM, which adds those that servers need. */
function encodeForVm(attempt: Attempt, command: PassCommand): string[] {
  const { context, exchange } = attempt;
  const headers = context.wire.encodeForwardHead(removePassHeaders(exchange.request.rawHeaders), {
    workspace: null,
    expectedServer: null,
    remainingMs: command.remainingMs,
    urgency: null,
    resumeAfter: exchange.place.lastId,
  });
  const { isConsecutive } = exchange.place;
  return [...headers, ...encodePassedRequest({ ...command.pass, isConsecutive })];
}

/** Creates the request of an attempt. Throws if Node.js does not accept its address or its head. */
export function createRequest(attempt: Attempt): ClientRequest {
  const { command, context, exchange } = attempt;
  const { body, request: incoming } = exchange;
  const headers =
    command.kind === EntryCommandKind.Dispatch
      ? encodeForServer(attempt, command)
      : encodeForVm(attempt, command);
  const hasBody = body.length > 0 || incoming.headers['content-length'] !== undefined;
  const framing = hasBody ? ['Content-Length', String(body.length)] : [];
  const request = http.request({
    ...splitAddress(command.address),
    method: incoming.method ?? 'GET',
    path: incoming.url ?? '/',
    headers: [...headers, ...framing] as unknown as http.OutgoingHttpHeaders,
    setHost: false,
    maxHeaderSize: MAX_ANSWER_HEAD_BYTES,
    // On a kept connection, the rejection of this dispatch could not be told from that of the earlier one.
    agent:
      !exchange.rejectedAddresses.has(command.address) &&
      context.agents.getAgent(command.address, command.maxConnections),
  });
  return readAllHeaderLines(request);
}

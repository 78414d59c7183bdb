/**
 * Receives the requests that other VMs pass to this one, on the address for peers. Callers do not reach that address, and what they
 * send there is no passed request unless it names a process of a listed VM.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { CloseCause } from '../../../coordination/entry/closeCause.js';
import { type EntryEvent, EntryEventKind } from '../../../coordination/entry/events.js';
import type { PassedRequest } from '../../../coordination/entry/passedRequest.js';
import { createRefusal } from '../../../coordination/requestCompletion.js';
import { createContentDigest } from '../../../protocol/entry/contentDigest.js';
import {
  decodePassedRequest,
  PassHeader,
  removePassHeaders,
} from '../../../protocol/entry/passedRequests.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import type { CallerLimits } from '../../../state/entry/deployment.js';
import { RunStatus } from '../../../state/types.js';
import { readBody } from '../../requestBody.js';
import { MemoryPurpose, type VmMemory } from '../../vmMemory.js';
import {
  createForwardExchange,
  type ForwardExchange,
  sendForwardRefusal,
} from '../callers/exchange.js';
import { getParsedHeadBytes } from '../callers/callerPieces.js';
import { type LoopDelayMonitor, runAfterUnreadData } from '../monitoring/loopDelay.js';
import { type BodyMemory, createBodyMemory } from '../../bodyMemory.js';
import { leaveTurnOfBody, type TurnPacer } from '../../turnPacer.js';
import type { EntryWire, RequestHead } from '../wire.js';

/** Dependencies of the receiver of passed requests. */
export interface PassServerContext {
  readonly post: (event: EntryEvent) => void;
  readonly wire: EntryWire;
  readonly exchanges: Map<string, ForwardExchange>;
  readonly createRequestId: () => string;
  /** Returns null until a configuration is in force. */
  readonly getLimits: () => CallerLimits | null;
  readonly vmMemory: VmMemory;
  readonly turnPacer: TurnPacer;
  readonly loopDelay: Pick<LoopDelayMonitor, 'getDelayMs' | 'isBehind'>;
}

/** A passed request whose head has been decoded. */
interface Arrival {
  readonly head: RequestHead;
  readonly pass: PassedRequest;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

function createExchange(
  { createRequestId }: PassServerContext,
  { request, response }: Pick<Arrival, 'request' | 'response'>,
  callerRequestId: string,
  body: Buffer,
  pass: Pick<PassedRequest, 'isConsecutive'>,
  bodyMemory?: BodyMemory,
): ForwardExchange {
  const requestId = createRequestId();
  const fields = { requestId, callerRequestId, request, response, body };
  return createForwardExchange(fields, pass, bodyMemory);
}

/** Rejects a passed request that the event loop does not hear of. */
function reject(
  context: PassServerContext,
  arrival: Pick<Arrival, 'request' | 'response'>,
  callerRequestId: string,
  diagnostic: Diagnostic,
): void {
  const exchange = createExchange(context, arrival, callerRequestId, Buffer.alloc(0), {});
  // The rest of a rejected body is not read.
  arrival.response.shouldKeepAlive &&= arrival.request.complete;
  sendForwardRefusal(exchange, createRefusal(diagnostic, RunStatus.NotRun, null), context.wire);
}

/** Hands a request that was read whole to the event loop, and tells it if the connection closes before the answer. */
function startExchange(
  context: PassServerContext,
  arrival: Arrival,
  body: Buffer,
  bodyMemory: BodyMemory,
): void {
  const { exchanges, loopDelay, post } = context;
  const { head, pass, request, response } = arrival;
  const exchange = createExchange(context, arrival, head.callerRequestId, body, pass, bodyMemory);
  const { requestId } = exchange;
  const contentDigest = createContentDigest(request.method ?? '', request.url ?? '', body);
  let isAdmitted = false;
  exchanges.set(requestId, exchange);
  const leave = (): void => {
    if (exchange.isEnded) {
      return;
    }
    exchange.isEnded = true;
    if (isAdmitted) {
      post({ kind: EntryEventKind.CallerDisconnected, requestId, closedBy: CloseCause.Peer });
    } else {
      exchanges.delete(requestId);
    }
  };
  // The end of the connection is read several turns of the loop before the connection is closed.
  request.socket.once('end', leave);
  response.once('close', () => {
    request.socket.off('end', leave);
    leave();
  });
  const delayMs = loopDelay.getDelayMs();
  runAfterUnreadData(loopDelay.isBehind(), () => {
    if (!exchange.isEnded) {
      isAdmitted = true;
      const kind = EntryEventKind.PassedRequestArrived;
      post({ kind, request: { ...head, requestId, contentDigest }, pass, delayMs });
    }
  });
}

/** Reads the body of a passed request within the limits of the configuration and of this VM's memory. */
function readArrival(
  context: PassServerContext,
  arrival: Arrival,
  { maxBodyBytes }: CallerLimits,
): void {
  const { turnPacer, vmMemory } = context;
  const { head, request, response } = arrival;
  const held = vmMemory.hold(MemoryPurpose.RequestBodies);
  const bodyMemory = createBodyMemory(held);
  response.once('close', bodyMemory.endResponse);
  const maxHeldBytes = vmMemory.getMaxBytes(MemoryPurpose.RequestBodies);
  const body = readBody(request, maxBodyBytes, held, maxHeldBytes, (paced, sizeBytes) =>
    leaveTurnOfBody(turnPacer, paced, sizeBytes),
  );
  void body.then((result) =>
    result.caseOf({
      Left: (diagnostic) => reject(context, arrival, head.callerRequestId, diagnostic),
      Right: (bytes) => {
        if (response.destroyed) {
          return;
        }
        if (held.add(getParsedHeadBytes(request))) {
          startExchange(context, arrival, bytes, bodyMemory);
        } else {
          const diagnostic = createDiagnostic(Diagnostics.MemoryExhausted, maxHeldBytes);
          reject(context, arrival, head.callerRequestId, diagnostic);
        }
      },
    }),
  );
}

/** Handles a request that another VM passes to this one. */
export function handlePassedRequest(
  context: PassServerContext,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const limits = context.getLimits();
  const text = request.headers[PassHeader.Request]?.toString() ?? '';
  const arrival = decodePassedRequest(text).chain((pass) =>
    context.wire
      .decodeRequestHead(request.url ?? '/', removePassHeaders(request.rawHeaders))
      .map((head) => ({ head, pass, request, response })),
  );
  arrival.caseOf({
    Left: (diagnostic) => reject(context, { request, response }, '', diagnostic),
    Right: (decoded) => {
      if (limits === null) {
        const diagnostic = createDiagnostic(Diagnostics.NotConfigured);
        reject(context, decoded, decoded.head.callerRequestId, diagnostic);
      } else {
        readArrival(context, decoded, limits);
      }
    },
  });
}

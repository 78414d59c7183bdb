/**
 * Implements the protocol between entry VMs over Connect RPC: the server that receives calls of other VMs, and the
 * client that calls them.
 */
import http, { type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import { compressionGzip, connectNodeAdapter } from '@connectrpc/connect-node';
import { Effect } from 'effect';
import {
  type EntryEvent,
  EntryEventKind,
  LimitKind,
  type LimitName,
} from '../../../coordination/entry/events.js';
import type { PeerMessage } from '../../../coordination/entry/peerMessage.js';
import {
  areTokens,
  decodePeerMessage,
  decodeStoreReply,
  encodePeerMessage,
  encodePeerRequest,
  hasFiniteNumbers,
  type PeerReply,
} from '../../../protocol/entry/peerMessages.js';
import { isPassedRequest } from '../../../protocol/entry/passedRequests.js';
import {
  EnsureAdapterResponseSchema,
  EntryPeerService,
  LendRateResponseSchema,
} from '../../../protocol/gen/entry_pb.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';
import { readStoreMirror, type StoreMirror } from '../../../state/entry/storeMirror.js';
import type { StoreUpdate } from '../../../state/storedItems.js';
import type { AdapterNeed } from '../../../state/entry/reports.js';
import { createPeerCalls, MAX_PEER_MESSAGE_BYTES, MIN_COMPRESSED_BYTES } from '../../peerCalls.js';
import { readAllHeaderLines } from '../../headerLines.js';

/** A peer that does not reply within this time is partitioned or suspended. */
const PEER_TIMEOUT_MS = 700;
/** The controller replies when the engine has accepted the orders for the adapter, or when no engine can load it. */
const ADAPTER_TIMEOUT_MS = 2_000;
/** Peers reply within a few milliseconds; the request that needs the tokens cannot wait for a peer that does not. */
const LOAN_TIMEOUT_MS = 150;
/** Longest head of a call, which for a passed request includes that of the caller. */
const MAX_HEAD_BYTES = 262_144;
/** The reply of a VM that lends no tokens. */
export const NO_LOAN: RateLoan = { lentTokens: 0, spareTokens: 0 };

/** Tokens that a VM lends to another VM, and tokens that it could lend in addition. */
export interface RateLoan {
  readonly lentTokens: number;
  readonly spareTokens: number;
}

/** Callbacks of the calls from peers that wait for a reply of the event loop, by reply id. */
export interface EntryReplies {
  readonly exchanges: Map<string, (message: PeerMessage | null) => void>;
  readonly adapters: Map<string, (backendId: string | null) => void>;
  readonly loans: Map<string, (loan: RateLoan) => void>;
}

/** Returns the kind of the limit that a call names by its two marks. */
function getLimitKind(isServer: boolean, isPlace: boolean): LimitKind {
  if (isPlace) {
    return LimitKind.Place;
  }
  return isServer ? LimitKind.Server : LimitKind.Workspace;
}

/** Dependencies of the server for peers. */
export interface EntryPeerContext {
  readonly post: (event: EntryEvent) => void;
  readonly replies: EntryReplies;
  readonly createReplyId: () => string;
  readonly mirror: StoreMirror;
  readonly configurationKey: string;
  /** Handles a request that another VM passes to this one. */
  readonly handlePassedRequest: (request: IncomingMessage, response: ServerResponse) => void;
  /** Returns the version of the configuration in force; 0 before the first one. */
  readonly getConfigurationVersion: () => number;
  /** Returns how long ago the store has confirmed the contents of the mirror; null if they are not current. */
  readonly getStoreAgeMs: () => number | null;
  /** Returns the time since a moment until which the mirror has all that the store had; undefined if none is known. */
  readonly getKnownAgeMs: () => number | undefined;
}

/** Waits for a reply of the event loop. Resolves with the fallback after the timeout. */
export function waitForReply<T>(
  pending: Map<string, (value: T) => void>,
  replyId: string,
  timeoutMs: number,
  fallback: T,
): Promise<T> {
  return new Promise((resolve) => {
    const finish = (value: T): void => {
      pending.delete(replyId);
      resolve(value);
    };
    const timer = setTimeout(() => finish(fallback), timeoutMs);
    pending.set(replyId, (value) => {
      clearTimeout(timer);
      finish(value);
    });
  });
}

/**
 * Returns the changes of the store after a revision. They include the configuration if the VM that asks has an earlier one,
 * which may be all that a restored store has until it is written again.
 */
function readChanges(
  { configurationKey, getConfigurationVersion, mirror }: EntryPeerContext,
  afterRevision: number,
  knownConfigurationVersion: number,
): StoreUpdate | null {
  const changes = readStoreMirror(mirror, afterRevision);
  const configuration = mirror.items.get(configurationKey);
  const isKnown =
    configuration === undefined ||
    getConfigurationVersion() <= knownConfigurationVersion ||
    changes?.items.some(({ key }) => key === configurationKey);
  return changes === null || isKnown
    ? changes
    : { ...changes, items: [...changes.items, configuration] };
}

/** Creates the server for peers. The caller starts it with `listen`. */
export function createEntryPeerServer(context: EntryPeerContext): Server {
  const { createReplyId, post, replies } = context;
  const handler = connectNodeAdapter({
    routes: (router) => {
      router.service(EntryPeerService, {
        exchange: async (request) => {
          if (!hasFiniteNumbers(request)) {
            throw new ConnectError(
              'the message has a number that is not finite',
              Code.InvalidArgument,
            );
          }
          const replyId = createReplyId();
          const reply = waitForReply(replies.exchanges, replyId, PEER_TIMEOUT_MS, null);
          const message = decodePeerMessage(request);
          post({ kind: EntryEventKind.PeerMessage, message, replyId });
          const answer = await reply;
          if (answer === null) {
            throw new ConnectError('the event loop did not answer in time', Code.Unavailable);
          }
          const { configurationVersion, storeAfter } = request;
          const changes =
            storeAfter === undefined
              ? null
              : readChanges(context, storeAfter, configurationVersion);
          const ageMs = context.getStoreAgeMs();
          return encodePeerMessage(answer, {
            changes,
            isCurrent: ageMs !== null,
            ageMs: ageMs ?? 0,
            knownAgeMs: context.getKnownAgeMs(),
          });
        },
        ensureAdapter: async ({
          adapter,
          failureDomain,
          model,
          service,
          softwareVersion = null,
        }) => {
          const replyId = createReplyId();
          const reply = waitForReply(replies.adapters, replyId, ADAPTER_TIMEOUT_MS, null);
          const kind = EntryEventKind.AdapterRequested;
          const need = { service, model, adapter, failureDomain, softwareVersion };
          post({ kind, need, replyId });
          const backendId = (await reply) ?? undefined;
          return create(EnsureAdapterResponseSchema, { backendId });
        },
        lendRate: async ({ isPlace, isServer, name, tokens }) => {
          if (!areTokens(tokens)) {
            throw new ConnectError('no VM lends this number of tokens', Code.InvalidArgument);
          }
          const replyId = createReplyId();
          const reply = waitForReply(replies.loans, replyId, LOAN_TIMEOUT_MS, NO_LOAN);
          const limit = { kind: getLimitKind(isServer, isPlace), name };
          post({ kind: EntryEventKind.LoanRequested, limit, tokens, replyId });
          return create(LendRateResponseSchema, await reply);
        },
      });
    },
    readMaxBytes: MAX_PEER_MESSAGE_BYTES,
    acceptCompression: [compressionGzip],
    // A small link would take longer for a large configuration than a call may.
    compressMinBytes: MIN_COMPRESSED_BYTES,
  });
  const server = http.createServer({ maxHeaderSize: MAX_HEAD_BYTES }, (request, response) => {
    if (isPassedRequest(request.headers)) {
      context.handlePassedRequest(request, response);
    } else {
      handler(request, response);
    }
  });
  return readAllHeaderLines(server);
}

/** Calls peers. Every call has a timeout. */
export interface EntryPeerClient {
  /** Sends a message, and requests the changes of the store after a revision unless that is null. */
  readonly exchange: (
    address: string,
    message: PeerMessage,
    storeAfter: number | null,
  ) => Effect.Effect<PeerReply, Diagnostic>;
  readonly ensureAdapter: (
    address: string,
    need: AdapterNeed,
  ) => Effect.Effect<string | null, Diagnostic>;
  readonly requestLoan: (
    address: string,
    limit: LimitName,
    tokens: number,
  ) => Effect.Effect<RateLoan, Diagnostic>;
  readonly close: () => void;
}

/** Creates a client that keeps connections open for each address. */
export function createEntryPeerClient(): EntryPeerClient {
  const { call, close } = createPeerCalls(EntryPeerService);
  const timeoutMs = PEER_TIMEOUT_MS;
  return {
    exchange: (address, message, storeAfter) =>
      call(address, (client) =>
        client.exchange(encodePeerRequest(message, storeAfter), { timeoutMs }),
      ).pipe(
        Effect.filterOrFail(hasFiniteNumbers, () =>
          createDiagnostic(Diagnostics.PeerUnavailable, address),
        ),
        Effect.map((reply) => ({
          message: decodePeerMessage(reply),
          store: decodeStoreReply(reply),
        })),
      ),
    ensureAdapter: (address, { softwareVersion, ...need }) =>
      call(address, (client) =>
        client.ensureAdapter(
          { ...need, softwareVersion: softwareVersion ?? undefined },
          { timeoutMs: ADAPTER_TIMEOUT_MS },
        ),
      ).pipe(Effect.map(({ backendId }) => backendId ?? null)),
    requestLoan: (address, { kind, name }, tokens) =>
      call(address, (client) =>
        client.lendRate(
          {
            name,
            tokens,
            isServer: kind === LimitKind.Server,
            isPlace: kind === LimitKind.Place,
          },
          { timeoutMs: LOAN_TIMEOUT_MS },
        ),
      ).pipe(
        Effect.filterOrFail(
          ({ lentTokens, spareTokens }) => areTokens(lentTokens, spareTokens),
          () => createDiagnostic(Diagnostics.PeerUnavailable, address),
        ),
        Effect.map(({ lentTokens, spareTokens }) => ({ lentTokens, spareTokens })),
      ),
    close,
  };
}

/**
 * The protocol between entry VMs over connect: what this VM serves to others and asks of them.
 */
import http, { type Server } from 'node:http';
import { create } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { Effect } from 'effect';
import { type EntryEvent, EntryEventKind } from '../../coordination/entry/events.js';
import {
  decodePeerNews,
  encodePeerNews,
  type PeerNews,
} from '../../protocol/entry/peerMessages.js';
import {
  EnsureAdapterResponseSchema,
  EntryPeerService,
  type FetchStateResponse,
  FetchStateResponseSchema,
  LendRateResponseSchema,
} from '../../protocol/gen/entry_pb.js';
import type { Diagnostic } from '../../state/diagnostics.js';
import { createPeerCalls, MAX_PEER_MESSAGE_BYTES } from '../peerCalls.js';
import type { StoreView } from './storeWatches.js';

/** A peer that does not answer within this time is cut off or stands still. */
const PEER_TIMEOUT_MS = 700;
/** The controller answers after the orders for an adapter, or says that there is none. */
const ADAPTER_TIMEOUT_MS = 2_000;
/** Peers answer within some milliseconds; the request that lacks the tokens cannot wait for one that does not. */
const LOAN_TIMEOUT_MS = 150;
/** The answer of a VM that lends nothing. */
export const NO_LOAN: RateLoan = { lentTokens: 0, spareTokens: 0 };
const EMPTY_NEWS: PeerNews = { reports: [], board: null };

/** Tokens that a VM lends another, and those that it could still lend. */
export interface RateLoan {
  readonly lentTokens: number;
  readonly spareTokens: number;
}

/** Replies that the loop owes to peers, by reply id. */
export interface EntryReplies {
  readonly news: Map<string, (news: PeerNews) => void>;
  readonly adapters: Map<string, (backendId: string | null) => void>;
  readonly loans: Map<string, (loan: RateLoan) => void>;
}

/** What the server works with. */
export interface EntryPeerContext {
  readonly post: (event: EntryEvent) => void;
  readonly replies: EntryReplies;
  readonly createReplyId: () => string;
  readonly view: StoreView;
}

/** Waits for a reply of the loop, up to a time. */
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

function encodeView({ backends, backendsRevision, configuration }: StoreView): FetchStateResponse {
  return create(FetchStateResponseSchema, {
    configuration: configuration ?? undefined,
    backends: [...backends.values()].map(({ key, value, version }) => ({
      key,
      value: value ?? '',
      version,
    })),
    backendsRevision,
  });
}

/** Creates the server for peers. It does not listen yet. */
export function createEntryPeerServer(context: EntryPeerContext): Server {
  const { createReplyId, post, replies, view } = context;
  const handler = connectNodeAdapter({
    routes: (router) => {
      router.service(EntryPeerService, {
        exchange: async (request) => {
          const replyId = createReplyId();
          const reply = waitForReply(replies.news, replyId, PEER_TIMEOUT_MS, EMPTY_NEWS);
          post({ kind: EntryEventKind.PeerMessage, ...decodePeerNews(request), replyId });
          return encodePeerNews(await reply);
        },
        ensureAdapter: async ({ adapter, failureDomain, model, service }) => {
          const replyId = createReplyId();
          const reply = waitForReply(replies.adapters, replyId, ADAPTER_TIMEOUT_MS, null);
          const kind = EntryEventKind.AdapterRequested;
          post({ kind, service, model, adapter, failureDomain, replyId });
          const backendId = (await reply) ?? undefined;
          return create(EnsureAdapterResponseSchema, { backendId });
        },
        fetchState: () => encodeView(view),
        lendRate: async ({ tokens, workspace }) => {
          const replyId = createReplyId();
          const reply = waitForReply(replies.loans, replyId, LOAN_TIMEOUT_MS, NO_LOAN);
          post({ kind: EntryEventKind.LoanRequested, workspace, tokens, replyId });
          return create(LendRateResponseSchema, await reply);
        },
      });
    },
    readMaxBytes: MAX_PEER_MESSAGE_BYTES,
  });
  return http.createServer(handler);
}

/** What an adapter is asked for. */
export interface AdapterQuestion {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  readonly failureDomain: string;
}

/** Calls to peers, each within a time limit. */
export interface EntryPeerClient {
  readonly exchange: (address: string, news: PeerNews) => Effect.Effect<PeerNews, Diagnostic>;
  readonly ensureAdapter: (
    address: string,
    question: AdapterQuestion,
  ) => Effect.Effect<string | null, Diagnostic>;
  readonly fetchState: (address: string) => Effect.Effect<FetchStateResponse, Diagnostic>;
  readonly borrowRate: (
    address: string,
    workspace: string,
    tokens: number,
  ) => Effect.Effect<RateLoan, Diagnostic>;
  readonly close: () => void;
}

/** Creates the client. Connections are kept by address. */
export function createEntryPeerClient(): EntryPeerClient {
  const { call, close } = createPeerCalls(EntryPeerService);
  const timeoutMs = PEER_TIMEOUT_MS;
  return {
    exchange: (address, news) =>
      call(address, (client) => client.exchange(encodePeerNews(news), { timeoutMs })).pipe(
        Effect.map(decodePeerNews),
      ),
    ensureAdapter: (address, question) =>
      call(address, (client) =>
        client.ensureAdapter(question, { timeoutMs: ADAPTER_TIMEOUT_MS }),
      ).pipe(Effect.map(({ backendId }) => backendId ?? null)),
    fetchState: (address) => call(address, (client) => client.fetchState({}, { timeoutMs })),
    borrowRate: (address, workspace, tokens) =>
      call(address, (client) =>
        client.lendRate({ workspace, tokens }, { timeoutMs: LOAN_TIMEOUT_MS }),
      ).pipe(Effect.map(({ lentTokens, spareTokens }) => ({ lentTokens, spareTokens }))),
    close,
  };
}

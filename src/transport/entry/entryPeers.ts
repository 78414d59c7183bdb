/**
 * Implements the protocol between entry VMs over Connect RPC: the server that receives calls of other VMs, and the
 * client that calls them.
 */
import http, { type Server } from 'node:http';
import { create } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { Effect } from 'effect';
import {
  type EntryEvent,
  EntryEventKind,
  LimitKind,
  type LimitName,
} from '../../coordination/entry/events.js';
import {
  decodeEntryGossip,
  encodeEntryGossip,
  type EntryGossip,
  NO_EVIDENCE,
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

/** A peer that does not reply within this time is partitioned or suspended. */
const PEER_TIMEOUT_MS = 700;
/** The controller replies when the engine has accepted the orders for the adapter, or when no engine can load it. */
const ADAPTER_TIMEOUT_MS = 2_000;
/** Peers reply within a few milliseconds; the request that needs the tokens cannot wait for a peer that does not. */
const LOAN_TIMEOUT_MS = 150;
/** The reply of a VM that lends no tokens. */
export const NO_LOAN: RateLoan = { lentTokens: 0, spareTokens: 0 };
const EMPTY_GOSSIP: EntryGossip = { reports: [], board: null, evidence: NO_EVIDENCE };

/** Tokens that a VM lends to another VM, and tokens that it could lend in addition. */
export interface RateLoan {
  readonly lentTokens: number;
  readonly spareTokens: number;
}

/** Callbacks of the calls from peers that wait for a reply of the event loop, by reply id. */
export interface EntryReplies {
  readonly gossip: Map<string, (gossip: EntryGossip) => void>;
  readonly adapters: Map<string, (backendId: string | null) => void>;
  readonly loans: Map<string, (loan: RateLoan) => void>;
}

/** Dependencies of the server for peers. */
export interface EntryPeerContext {
  readonly post: (event: EntryEvent) => void;
  readonly replies: EntryReplies;
  readonly createReplyId: () => string;
  readonly view: StoreView;
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

function encodeStoreView({
  backends,
  backendsRevision,
  configuration,
}: StoreView): FetchStateResponse {
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

/** Creates the server for peers. The caller starts it with `listen`. */
export function createEntryPeerServer(context: EntryPeerContext): Server {
  const { createReplyId, post, replies, view } = context;
  const handler = connectNodeAdapter({
    routes: (router) => {
      router.service(EntryPeerService, {
        exchange: async (request) => {
          const replyId = createReplyId();
          const reply = waitForReply(replies.gossip, replyId, PEER_TIMEOUT_MS, EMPTY_GOSSIP);
          post({ kind: EntryEventKind.PeerMessage, ...decodeEntryGossip(request), replyId });
          return encodeEntryGossip(await reply);
        },
        ensureAdapter: async ({ adapter, failureDomain, model, service }) => {
          const replyId = createReplyId();
          const reply = waitForReply(replies.adapters, replyId, ADAPTER_TIMEOUT_MS, null);
          const kind = EntryEventKind.AdapterRequested;
          post({ kind, service, model, adapter, failureDomain, replyId });
          const backendId = (await reply) ?? undefined;
          return create(EnsureAdapterResponseSchema, { backendId });
        },
        fetchState: () => encodeStoreView(view),
        lendRate: async ({ isServer, name, tokens }) => {
          const replyId = createReplyId();
          const reply = waitForReply(replies.loans, replyId, LOAN_TIMEOUT_MS, NO_LOAN);
          const limit = { kind: isServer ? LimitKind.Server : LimitKind.Workspace, name };
          post({ kind: EntryEventKind.LoanRequested, limit, tokens, replyId });
          return create(LendRateResponseSchema, await reply);
        },
      });
    },
    readMaxBytes: MAX_PEER_MESSAGE_BYTES,
  });
  return http.createServer(handler);
}

/** The adapter to load, and the failure domain in which a request needs it. */
export interface AdapterRequest {
  readonly service: string;
  readonly model: string;
  readonly adapter: string;
  readonly failureDomain: string;
}

/** Calls peers. Every call has a timeout. */
export interface EntryPeerClient {
  readonly exchange: (
    address: string,
    gossip: EntryGossip,
  ) => Effect.Effect<EntryGossip, Diagnostic>;
  readonly ensureAdapter: (
    address: string,
    request: AdapterRequest,
  ) => Effect.Effect<string | null, Diagnostic>;
  readonly fetchState: (address: string) => Effect.Effect<FetchStateResponse, Diagnostic>;
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
    exchange: (address, gossip) =>
      call(address, (client) => client.exchange(encodeEntryGossip(gossip), { timeoutMs })).pipe(
        Effect.map(decodeEntryGossip),
      ),
    ensureAdapter: (address, request) =>
      call(address, (client) =>
        client.ensureAdapter(request, { timeoutMs: ADAPTER_TIMEOUT_MS }),
      ).pipe(Effect.map(({ backendId }) => backendId ?? null)),
    fetchState: (address) => call(address, (client) => client.fetchState({}, { timeoutMs })),
    requestLoan: (address, { kind, name }, tokens) =>
      call(address, (client) =>
        client.lendRate(
          { name, tokens, isServer: kind === LimitKind.Server },
          { timeoutMs: LOAN_TIMEOUT_MS },
        ),
      ).pipe(Effect.map(({ lentTokens, spareTokens }) => ({ lentTokens, spareTokens }))),
    close,
  };
}

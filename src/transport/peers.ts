/**
 * Implements the peer protocol over Connect: the server that answers the calls of other VMs, and the client that calls
 * them.
 */
import http, { type Server } from 'node:http';
import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { Effect } from 'effect';
import {
  type CommandKind,
  type CommandOf,
  EventKind,
  type VmEvent,
} from '../coordination/events.js';
import { decodeMeasures, type Measures } from '../protocol/burnMessages.js';
import { decodeHead, encodeHead } from '../protocol/documentText.js';
import {
  BorrowResponseSchema,
  FetchConfigurationResponseSchema,
  FetchMeasuresResponseSchema,
  FetchOutcomeResponseSchema,
  type FetchOutcomeResponse,
  PeerService,
} from '../protocol/gen/peer_pb.js';
import { decodeGossip, encodeGossip } from '../protocol/peerMessages.js';
import type { Diagnostic } from '../state/diagnostics.js';
import { ALL_SECTIONS, type GossipMessage, type Head } from '../state/types.js';
import type { ClaimState } from './claims.js';
import { createPeerCalls, MAX_PEER_MESSAGE_BYTES, MIN_COMPRESSED_BYTES } from './peerCalls.js';
import type { TextsByHash, RevisionWithTexts } from './configurationSource.js';

const PEER_TIMEOUT_MS = 1_000;
/** Time limit for the loop to produce a reply; after it the peer receives an empty reply. */
const REPLY_TIMEOUT_MS = 1_000;

/** The reply to a token loan request. */
export interface LoanReply {
  readonly grantedTokens: number;
  /** Tokens that the lender has left after the loan. */
  readonly leftTokens: number;
}

/** Callbacks that send the pending replies to peers, by reply id. */
export interface PendingReplies {
  readonly gossip: Map<string, (message: GossipMessage) => void>;
  readonly loans: Map<string, (reply: LoanReply) => void>;
}

/** Dependencies of the peer server. */
export interface PeerServerContext {
  /** Posts an event to the loop. */
  readonly post: (event: VmEvent) => void;
  readonly replies: PendingReplies;
  readonly createReplyId: () => string;
  /** Returns the latest configuration revision, or null before the first one. */
  readonly getRevision: () => RevisionWithTexts | null;
  /** Returns the state of a claim that this VM holds, or null. */
  readonly findClaim: (claimId: string) => ClaimState | null;
  readonly getMeasures: () => Measures;
}

/** Waits for the loop's reply, and resolves with the fallback if none arrives in time. */
function waitForReply<T>(
  pending: Map<string, (value: T) => void>,
  replyId: string,
  fallback: () => T,
): Promise<T> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      pending.delete(replyId);
      resolve(fallback());
    }, REPLY_TIMEOUT_MS);
    pending.set(replyId, (value) => {
      clearTimeout(timer);
      pending.delete(replyId);
      resolve(value);
    });
  });
}

const EMPTY_GOSSIP: GossipMessage = {
  fromVmId: '',
  revision: 0,
  members: [],
  leavingServers: [],
  shareVersion: 0,
};

function encodeRevision({ head, texts }: RevisionWithTexts) {
  return create(FetchConfigurationResponseSchema, {
    headJson: encodeHead(head),
    blobs: ALL_SECTIONS.map((name) => ({ name, hash: head.sections[name], text: texts[name] })),
  });
}

function encodeClaim(claim: ClaimState | null): FetchOutcomeResponse {
  const answer = claim?.answer ?? null;
  const contentType = answer?.headers['content-type'];
  return create(FetchOutcomeResponseSchema, {
    isKnown: claim !== null,
    isEnded: claim?.isEnded ?? false,
    hasAnswer: answer !== null,
    status: answer?.status ?? 0,
    contentType: typeof contentType === 'string' ? contentType : '',
    body: answer?.body ?? new Uint8Array(),
  });
}

function addPeerRoutes(router: ConnectRouter, context: PeerServerContext): void {
  const { post, replies } = context;
  router.service(PeerService, {
    gossip: async (request) => {
      const replyId = context.createReplyId();
      const reply = waitForReply(replies.gossip, replyId, () => EMPTY_GOSSIP);
      post({ kind: EventKind.GossipReceived, message: decodeGossip(request), replyId });
      return encodeGossip(await reply);
    },
    borrowTokens: async (request) => {
      const loanId = context.createReplyId();
      const reply = waitForReply(replies.loans, loanId, () => ({
        grantedTokens: 0,
        leftTokens: 0,
      }));
      const { spendWithinMs, workspace } = request;
      const tokens = Number(request.tokens);
      post({ kind: EventKind.LoanRequested, loanId, workspace, tokens, spendWithinMs });
      const { grantedTokens, leftTokens } = await reply;
      return create(BorrowResponseSchema, {
        granted: BigInt(grantedTokens),
        left: BigInt(leftTokens),
      });
    },
    fetchConfiguration: (request) => {
      const revision = context.getRevision();
      const isNewer = revision !== null && revision.head.revision > Number(request.aboveRevision);
      return isNewer ? encodeRevision(revision) : create(FetchConfigurationResponseSchema);
    },
    fetchOutcome: (request) => encodeClaim(context.findClaim(request.claimId)),
    fetchMeasures: () =>
      create(FetchMeasuresResponseSchema, {
        measuresJson: JSON.stringify(context.getMeasures()),
      }),
  });
}

/** Creates the peer server without starting to listen. */
export function createPeerServer(context: PeerServerContext): Server {
  const handler = connectNodeAdapter({
    routes: (router) => addPeerRoutes(router, context),
    readMaxBytes: MAX_PEER_MESSAGE_BYTES,
    compressMinBytes: MIN_COMPRESSED_BYTES,
  });
  return http.createServer(handler);
}

/** Calls peers, each call with a timeout. */
export interface PeerClient {
  readonly gossip: (
    address: string,
    message: GossipMessage,
  ) => Effect.Effect<GossipMessage, Diagnostic>;
  /** Requests a token loan; the time for spending the tokens is also the timeout. */
  readonly requestLoan: (
    command: CommandOf<typeof CommandKind.RequestLoan>,
    fromVmId: string,
  ) => Effect.Effect<LoanReply, Diagnostic>;
  /** Succeeds with null if the peer has no later revision or its head cannot be decoded. */
  readonly fetchConfiguration: (
    address: string,
    aboveRevision: number,
  ) => Effect.Effect<{ readonly head: Head; readonly blobs: TextsByHash } | null, Diagnostic>;
  /** Succeeds with null if the peer does not have the claim. */
  readonly fetchOutcome: (
    address: string,
    claimId: string,
  ) => Effect.Effect<ClaimState | null, Diagnostic>;
  readonly fetchMeasures: (address: string) => Effect.Effect<Measures, Diagnostic>;
}

function decodeClaim(response: FetchOutcomeResponse): ClaimState | null {
  if (!response.isKnown) {
    return null;
  }
  const headers = response.contentType === '' ? {} : { 'content-type': response.contentType };
  const { isEnded, status } = response;
  const answer = response.hasAnswer ? { status, headers, body: Buffer.from(response.body) } : null;
  return { isEnded, answer };
}

/** Creates the client that calls peers. Connections to each address are reused. */
export function createPeerClient(): PeerClient {
  const { call } = createPeerCalls(PeerService);
  const timeoutMs = PEER_TIMEOUT_MS;
  return {
    gossip: (address, message) =>
      call(address, (client) => client.gossip(encodeGossip(message), { timeoutMs })).pipe(
        Effect.map(decodeGossip),
      ),
    requestLoan: ({ peerAddress, spendWithinMs, tokens, workspace }, fromVmId) =>
      call(peerAddress, (client) =>
        client.borrowTokens(
          { fromVmId, workspace, tokens: BigInt(tokens), spendWithinMs },
          { timeoutMs: spendWithinMs },
        ),
      ).pipe(
        Effect.map((response) => ({
          grantedTokens: Number(response.granted),
          leftTokens: Number(response.left),
        })),
      ),
    fetchConfiguration: (address, aboveRevision) =>
      call(address, (client) =>
        client.fetchConfiguration({ aboveRevision: BigInt(aboveRevision) }, { timeoutMs }),
      ).pipe(
        Effect.map((response) =>
          decodeHead(response.headJson).caseOf({
            Left: () => null,
            Right: (head) => ({
              head,
              blobs: new Map(response.blobs.map((blob) => [blob.hash, blob.text])),
            }),
          }),
        ),
      ),
    fetchOutcome: (address, claimId) =>
      call(address, (client) => client.fetchOutcome({ claimId }, { timeoutMs })).pipe(
        Effect.map(decodeClaim),
      ),
    fetchMeasures: (address) =>
      call(address, (client) => client.fetchMeasures({}, { timeoutMs })).pipe(
        Effect.flatMap(({ measuresJson }) =>
          decodeMeasures(measuresJson).caseOf<Effect.Effect<Measures, Diagnostic>>({
            Left: (diagnostic) => Effect.fail(diagnostic),
            Right: (measures) => Effect.succeed(measures),
          }),
        ),
      ),
  };
}

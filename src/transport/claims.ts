/**
 * Claims of idempotency keys. The VM whose compare-and-swap creates the claim's key in the store may
 * run the request. It keeps the answer in memory and returns it to any VM that requests it.
 */
import { Effect, Schema } from 'effect';
import { ClaimOutcome } from '../coordination/events.js';
import { decodeJson } from '../protocol/json.js';
import { Diagnostics, hasDiagnosticCode } from '../state/diagnostics.js';
import { RunStatus } from '../state/types.js';
import type { BufferedAnswer } from './exchange.js';
import type { EtcdStore } from './etcdStore.js';

const CLAIM_PREFIX = 'claims/';
const MAX_KEPT_CLAIMS = 2_000;
const MAX_KEPT_BYTES = 33_554_432;
/** New claims reuse one store lease for this long, so that few leases are granted. */
const LEASE_REUSE_MS = 600_000;
/** TTL of the lease. A claim expires with the lease that it was created under. */
const CLAIM_TTL_SECONDS = 86_400;

const ClaimSchema = Schema.Struct({
  vmId: Schema.String,
  incarnation: Schema.String,
  peerAddress: Schema.String,
});

/** The VM process that holds a claim, as stored under the claim's key. */
export type ClaimHolder = typeof ClaimSchema.Type;

/** State of a claim in its holder's memory. */
export interface ClaimState {
  readonly isEnded: boolean;
  /** Null if there is no answer, or if it was too large to keep. */
  readonly answer: BufferedAnswer | null;
}

interface OwnClaim extends ClaimState {
  readonly version: number;
}

/** Result of an attempt to claim a key. */
export interface ClaimResult {
  readonly outcome: ClaimOutcome;
  readonly answer: BufferedAnswer | null;
}

/** Claims keys for the requests of this VM and stores the answers of the claims that it holds. */
export interface Claims {
  readonly claim: (claimId: string) => Effect.Effect<ClaimResult>;
  /** Ends a claim of this VM: stores its answer, or releases the claim if the request did not run. */
  readonly end: (
    claimId: string,
    run: RunStatus,
    answer: BufferedAnswer | null,
  ) => Effect.Effect<void>;
  /** Returns the state of a claim that this VM holds, for a peer; null if it holds none. */
  readonly getOwnClaim: (claimId: string) => ClaimState | null;
}

/** Dependencies of the claims. */
export interface ClaimContext {
  readonly store: EtcdStore;
  readonly self: ClaimHolder;
  readonly getNowMs: () => number;
  /**
   * Requests a claim's state from its holder; null if the holder does not respond or has no record of
   * the claim.
   */
  readonly fetchClaimState: (
    holder: ClaimHolder,
    claimId: string,
  ) => Effect.Effect<ClaimState | null>;
}

function createResult(outcome: ClaimOutcome, answer: BufferedAnswer | null = null): ClaimResult {
  return { outcome, answer };
}

function createResultFromState(state: ClaimState | null): ClaimResult {
  if (state === null) {
    return createResult(ClaimOutcome.HeldElsewhere);
  }
  if (!state.isEnded) {
    return createResult(ClaimOutcome.InProgress);
  }
  return state.answer === null
    ? createResult(ClaimOutcome.HeldElsewhere)
    : createResult(ClaimOutcome.Answered, state.answer);
}

/**
 * Evicts the oldest ended claims above the limits on count and bytes. The store still holds evicted
 * claims, so that a later request with such a key gets an error with run status "unknown" and does not
 * run again.
 */
function evictOldClaims(claims: Map<string, OwnClaim>): void {
  let keptBytes = 0;
  let keptClaims = 0;
  [...claims.entries()].toReversed().forEach(([claimId, claim]) => {
    keptBytes += claim.answer?.body.length ?? 0;
    keptClaims += 1;
    if (claim.isEnded && (keptBytes > MAX_KEPT_BYTES || keptClaims > MAX_KEPT_CLAIMS)) {
      claims.delete(claimId);
    }
  });
}

const PENDING_VERSION = 0;

/** Creates the claims of this VM. */
export function createClaims({ fetchClaimState, getNowMs, self, store }: ClaimContext): Claims {
  const ownClaims = new Map<string, OwnClaim>();
  // Ids of claims that the store may hold for this process although it never ran their requests.
  const unrunClaimIds = new Set<string>();
  const ownText = JSON.stringify(self);
  let lease: { readonly id: string; readonly grantedAtMs: number } | null = null;

  const getLease = Effect.suspend(() => {
    if (lease !== null && getNowMs() - lease.grantedAtMs < LEASE_REUSE_MS) {
      return Effect.succeed(lease.id);
    }
    return Effect.map(store.grantLease(CLAIM_TTL_SECONDS), (id) => {
      lease = { id, grantedAtMs: getNowMs() };
      return id;
    });
  });

  const recordWonClaim = (claimId: string, version: number): ClaimResult => {
    unrunClaimIds.delete(claimId);
    ownClaims.set(claimId, { version, isEnded: false, answer: null });
    evictOldClaims(ownClaims);
    return createResult(ClaimOutcome.Won);
  };

  const discardPendingClaim = (claimId: string, result: ClaimResult): ClaimResult => {
    ownClaims.delete(claimId);
    return result;
  };

  const fetchFromHolder = (claimId: string, text: string): Effect.Effect<ClaimResult> =>
    decodeJson(ClaimSchema, text).caseOf<Effect.Effect<ClaimResult>>({
      Left: () => Effect.succeed(createResult(ClaimOutcome.Unavailable)),
      Right: (holder) => Effect.map(fetchClaimState(holder, claimId), createResultFromState),
    });

  /** Reads the holder from the store after a swap that failed or whose result is unknown. */
  const lookUpHolder = (claimId: string): Effect.Effect<ClaimResult> =>
    store.get(CLAIM_PREFIX + claimId).pipe(
      Effect.matchEffect({
        onFailure: () => Effect.succeed(createResult(ClaimOutcome.Unavailable)),
        onSuccess: (stored) => {
          if (stored === null) {
            return Effect.succeed(createResult(ClaimOutcome.Unavailable));
          }
          if (stored.value !== ownText) {
            return fetchFromHolder(claimId, stored.value);
          }
          return Effect.succeed(
            unrunClaimIds.has(claimId)
              ? recordWonClaim(claimId, stored.version)
              : createResult(ClaimOutcome.HeldElsewhere),
          );
        },
      }),
    );

  const claimInStore = (claimId: string): Effect.Effect<ClaimResult> =>
    getLease.pipe(
      Effect.flatMap((leaseId) => {
        const key = CLAIM_PREFIX + claimId;
        return store.compareAndSwap({ key, expectedVersion: 0, value: ownText, leaseId });
      }),
      Effect.matchEffect({
        onSuccess: (version) =>
          version === null
            ? lookUpHolder(claimId)
            : Effect.succeed(recordWonClaim(claimId, version)),
        onFailure: (diagnostic) => {
          if (!hasDiagnosticCode(diagnostic, Diagnostics.StoreUnknown)) {
            return Effect.succeed(createResult(ClaimOutcome.Unavailable));
          }
          // The swap may have succeeded. No request has run, so a stored claim of this process counts
          // as won.
          unrunClaimIds.add(claimId);
          return lookUpHolder(claimId);
        },
      }),
      Effect.map((result) =>
        result.outcome === ClaimOutcome.Won ? result : discardPendingClaim(claimId, result),
      ),
    );

  const releaseClaim = (claimId: string, version: number): Effect.Effect<void> => {
    ownClaims.delete(claimId);
    unrunClaimIds.add(claimId);
    const key = CLAIM_PREFIX + claimId;
    return store.compareAndSwap({ key, expectedVersion: version, value: null, leaseId: null }).pipe(
      Effect.match({
        onSuccess: () => {
          unrunClaimIds.delete(claimId);
        },
        onFailure: () => {},
      }),
    );
  };

  return {
    claim: (claimId) =>
      Effect.suspend(() => {
        const existing = ownClaims.get(claimId);
        if (existing !== undefined) {
          return Effect.succeed(createResultFromState(existing));
        }
        // Until the store replies, a second request with the key is reported as in progress.
        ownClaims.set(claimId, { version: PENDING_VERSION, isEnded: false, answer: null });
        return claimInStore(claimId);
      }),
    end: (claimId, run, answer) =>
      Effect.suspend(() => {
        const claim = ownClaims.get(claimId);
        if (claim === undefined) {
          return Effect.void;
        }
        if (run === RunStatus.NotRun) {
          return releaseClaim(claimId, claim.version);
        }
        ownClaims.set(claimId, { ...claim, isEnded: true, answer });
        return Effect.void;
      }),
    getOwnClaim: (claimId) => ownClaims.get(claimId) ?? null,
  };
}

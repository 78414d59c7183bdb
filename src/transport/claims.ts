/**
 * Claims of idempotency keys. The store decides which VM may run the request of a key, by a swap on
 * the key's absence; that VM keeps the answer in memory and gives it to any VM that asks.
 */
import { Effect, Schema } from 'effect';
import { ClaimOutcome } from '../coordination/events.js';
import { decodeJson } from '../protocol/json.js';
import { Diagnostics, isDiagnostic } from '../state/diagnostics.js';
import { RunClaim } from '../state/types.js';
import type { HeldAnswer } from './exchange.js';
import type { Store } from './store.js';

const CLAIM_PREFIX = 'claims/';
const MAX_KEPT_ANSWERS = 2_000;
const MAX_KEPT_BYTES = 33_554_432;
/** Claims share a lease for this time, so that the store is asked for few of them. */
const LEASE_SHARE_MS = 600_000;
/** How long a claim outlives the lease's last use. */
const CLAIM_TTL_SECONDS = 86_400;

const ClaimSchema = Schema.Struct({
  vmId: Schema.String,
  incarnation: Schema.String,
  peerAddress: Schema.String,
});

/** The VM that holds a claim. */
export type ClaimHolder = typeof ClaimSchema.Type;

/** What a holder knows of a claim. */
export interface ClaimState {
  readonly isEnded: boolean;
  /** Null if the answer was too large to keep, or there is none. */
  readonly answer: HeldAnswer | null;
}

interface OwnClaim extends ClaimState {
  readonly version: number;
}

/** What a claim led to. */
export interface ClaimResult {
  readonly outcome: ClaimOutcome;
  readonly answer: HeldAnswer | null;
}

/** The claims that this VM has a part in. */
export interface Claims {
  readonly claim: (claimId: string) => Effect.Effect<ClaimResult>;
  /** Ends an own claim: kept with its answer, or freed if the request did not run. */
  readonly end: (claimId: string, run: RunClaim, answer: HeldAnswer | null) => Effect.Effect<void>;
  /** Finds an own claim for a peer. */
  readonly find: (claimId: string) => ClaimState | null;
}

/** What claims work with. */
export interface ClaimContext {
  readonly store: Store;
  readonly self: ClaimHolder;
  readonly getNowMs: () => number;
  /** Asks the holder of a claim; null if it does not answer or knows nothing of it. */
  readonly askHolder: (holder: ClaimHolder, claimId: string) => Effect.Effect<ClaimState | null>;
}

function createResult(outcome: ClaimOutcome, answer: HeldAnswer | null = null): ClaimResult {
  return { outcome, answer };
}

function fromState(state: ClaimState | null): ClaimResult {
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
 * Bounds what is kept: the oldest ended claims are forgotten first. The store goes on holding them, so
 * a later request with such a key is answered "unknown", never run again.
 */
function trimClaims(claims: Map<string, OwnClaim>): void {
  let keptBytes = 0;
  let keptAnswers = 0;
  [...claims.entries()].toReversed().forEach(([claimId, claim]) => {
    keptBytes += claim.answer?.body.length ?? 0;
    keptAnswers += 1;
    if (claim.isEnded && (keptBytes > MAX_KEPT_BYTES || keptAnswers > MAX_KEPT_ANSWERS)) {
      claims.delete(claimId);
    }
  });
}

const PENDING_VERSION = 0;

/** Creates the claims of a VM. */
export function createClaims({ askHolder, getNowMs, self, store }: ClaimContext): Claims {
  const own = new Map<string, OwnClaim>();
  // Claims that the store may hold for this process although it never ran their requests.
  const unrun = new Set<string>();
  const ownText = JSON.stringify(self);
  let lease: { readonly id: string; readonly atMs: number } | null = null;

  const getLease = Effect.suspend(() => {
    if (lease !== null && getNowMs() - lease.atMs < LEASE_SHARE_MS) {
      return Effect.succeed(lease.id);
    }
    return Effect.map(store.grantLease(CLAIM_TTL_SECONDS), (id) => {
      lease = { id, atMs: getNowMs() };
      return id;
    });
  });

  const win = (claimId: string, version: number): ClaimResult => {
    unrun.delete(claimId);
    own.set(claimId, { version, isEnded: false, answer: null });
    trimClaims(own);
    return createResult(ClaimOutcome.Won);
  };

  const giveUp = (claimId: string, result: ClaimResult): ClaimResult => {
    own.delete(claimId);
    return result;
  };

  const askOther = (claimId: string, text: string): Effect.Effect<ClaimResult> =>
    decodeJson(ClaimSchema, text).caseOf<Effect.Effect<ClaimResult>>({
      Left: () => Effect.succeed(createResult(ClaimOutcome.Unavailable)),
      Right: (holder) => Effect.map(askHolder(holder, claimId), fromState),
    });

  /** Looks up who holds a claim that was not won by a plain swap. */
  const lookUp = (claimId: string): Effect.Effect<ClaimResult> =>
    store.get(CLAIM_PREFIX + claimId).pipe(
      Effect.matchEffect({
        onFailure: () => Effect.succeed(createResult(ClaimOutcome.Unavailable)),
        onSuccess: (stored) => {
          if (stored === null) {
            return Effect.succeed(createResult(ClaimOutcome.Unavailable));
          }
          if (stored.value !== ownText) {
            return askOther(claimId, stored.value);
          }
          return Effect.succeed(
            unrun.has(claimId)
              ? win(claimId, stored.version)
              : createResult(ClaimOutcome.HeldElsewhere),
          );
        },
      }),
    );

  const swapIn = (claimId: string): Effect.Effect<ClaimResult> =>
    getLease.pipe(
      Effect.flatMap((leaseId) => {
        const key = CLAIM_PREFIX + claimId;
        return store.swap({ key, expectedVersion: 0, value: ownText, leaseId });
      }),
      Effect.matchEffect({
        onSuccess: (version) =>
          version === null ? lookUp(claimId) : Effect.succeed(win(claimId, version)),
        onFailure: (diagnostic) => {
          if (!isDiagnostic(diagnostic, Diagnostics.StoreUnknown)) {
            return Effect.succeed(createResult(ClaimOutcome.Unavailable));
          }
          // Without a run so far, a claim found to be this process's own is as good as won.
          unrun.add(claimId);
          return lookUp(claimId);
        },
      }),
      Effect.map((result) =>
        result.outcome === ClaimOutcome.Won ? result : giveUp(claimId, result),
      ),
    );

  const free = (claimId: string, version: number): Effect.Effect<void> => {
    own.delete(claimId);
    unrun.add(claimId);
    const key = CLAIM_PREFIX + claimId;
    return store.swap({ key, expectedVersion: version, value: null, leaseId: null }).pipe(
      Effect.match({
        onSuccess: () => {
          unrun.delete(claimId);
        },
        onFailure: () => {},
      }),
    );
  };

  return {
    claim: (claimId) =>
      Effect.suspend(() => {
        const known = own.get(claimId);
        if (known !== undefined) {
          return Effect.succeed(fromState(known));
        }
        // A second request with the key finds this one in progress while the store is asked.
        own.set(claimId, { version: PENDING_VERSION, isEnded: false, answer: null });
        return swapIn(claimId);
      }),
    end: (claimId, run, answer) =>
      Effect.suspend(() => {
        const claim = own.get(claimId);
        if (claim === undefined) {
          return Effect.void;
        }
        if (run === RunClaim.NotRun) {
          return free(claimId, claim.version);
        }
        own.set(claimId, { ...claim, isEnded: true, answer });
        return Effect.void;
      }),
    find: (claimId) => own.get(claimId) ?? null,
  };
}

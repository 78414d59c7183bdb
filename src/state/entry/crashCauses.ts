/**
 * Names what crashes of backend servers are attributed to: prompt parts, which requests share, and requests by their
 * content, which callers send again.
 *
 * A cause is a text. That of a request has a prefix with a colon, which the id of a prompt part cannot contain.
 */
import { hashText } from '../random.js';

/** The kinds of causes. */
export const CauseKind = { PromptPart: 'promptPart', Request: 'request' } as const;
export type CauseKind = (typeof CauseKind)[keyof typeof CauseKind];

const REQUEST_PREFIX = 'request:';
const HEX_RADIX = 16;

/**
 * Names a request by the digest of its content and the workspace that sent it.
 *
 * @param workspace Null if the route needs no key.
 */
export function createRequestCause(contentDigest: string, workspace: string | null): string {
  return `${REQUEST_PREFIX}${contentDigest}-${hashText(workspace ?? '').toString(HEX_RADIX)}`;
}

/** Returns the kind of a cause. */
export function getCauseKind(cause: string): CauseKind {
  return cause.startsWith(REQUEST_PREFIX) ? CauseKind.Request : CauseKind.PromptPart;
}

/** What crashes must show before one of their suspects is quarantined. */
export interface CauseRule {
  /** A cause that was healthy within this time before a crash is no suspect of it. */
  readonly healthMemoryMs: number;
  /** Number of waves of crashes since a cause was healthy, from which on its health before them does not count. */
  readonly wavesAgainstHealth: number;
  /**
   * Number of crashes, by the number of different addresses, the last entry for all higher numbers. A server that crashes
   * by itself has one address.
   */
  readonly requiredCrashesByAddresses: readonly number[];
  /** Whether crashes at the same moment count as one: sound requests with a part are at several servers at a time. */
  readonly countsMoments: boolean;
  /** Weight of a crash in which no request with the cause was being answered. */
  readonly unansweredCrashWeight: number;
  readonly requiredCrashWeight: number;
  /**
   * The square of the cause's crashes must be at least this multiple of all crashes from its first to its last. A cause
   * that is present by chance is a suspect of few of them.
   */
  readonly requiredSignificance: number;
  /** Number of different requests among the suspects. */
  readonly requiredRequests: number;
  /** Whether all other causes that may explain the same crashes must be ruled out. */
  readonly requiresNoRival: boolean;
}

/**
 * A part stands for all requests that have it, so the evidence against it must exclude chance; one that was healthy just now
 * has come with something else. A quarantined request holds back only its own repeats, and a server may have changed under it.
 */
export const CAUSE_RULES: Readonly<Record<CauseKind, CauseRule>> = {
  [CauseKind.PromptPart]: {
    healthMemoryMs: 60_000,
    wavesAgainstHealth: Number.POSITIVE_INFINITY,
    requiredCrashesByAddresses: [Number.POSITIVE_INFINITY, 5, 4, 3],
    countsMoments: true,
    unansweredCrashWeight: 0.5,
    requiredCrashWeight: 2.5,
    requiredSignificance: 2,
    requiredRequests: 3,
    requiresNoRival: true,
  },
  [CauseKind.Request]: {
    healthMemoryMs: 0,
    wavesAgainstHealth: 3,
    requiredCrashesByAddresses: [Number.POSITIVE_INFINITY, 3],
    countsMoments: false,
    unansweredCrashWeight: 1,
    requiredCrashWeight: 3,
    requiredSignificance: 0,
    requiredRequests: 1,
    requiresNoRival: false,
  },
};

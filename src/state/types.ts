/**
 * Core types: the operators' document, the fleet as one VM sees it, and requests on their way.
 * Durations end in `Ms`, counts of language model tokens in `Tokens`, sizes in `Bytes` or `Mb`.
 */
import type { Diagnostic } from './diagnostics.js';

/** The sections of the operators' document; each is edited on its own. */
export const Section = {
  Operators: 'operators',
  Vms: 'vms',
  Models: 'models',
  Workspaces: 'workspaces',
} as const;
export type Section = (typeof Section)[keyof typeof Section];

export const ALL_SECTIONS: readonly Section[] = Object.values(Section);

/** What a backend server offers. */
export const BackendKind = { Engine: 'engine', Service: 'service' } as const;
export type BackendKind = (typeof BackendKind)[keyof typeof BackendKind];

/** A team of operators; `tokenSha256` is the hex digest of its token. */
export interface OperatorTeam {
  readonly name: string;
  readonly tokenSha256: string;
  readonly sections: readonly Section[];
}

/** A failure domain; `share` weighs its part of every workspace's rate and burst. */
export interface FailureDomain {
  readonly name: string;
  readonly share: number;
}

export interface BackendServer {
  readonly name: string;
  readonly kind: BackendKind;
  readonly failureDomain: string;
  /** `host:port`. */
  readonly address: string;
  readonly memoryMb: number;
  readonly maxConcurrentRequests: number;
  readonly checksFencing: boolean;
  readonly leaving: boolean;
}

/** What the weight store allows over the fleet. */
export interface WeightStore {
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
}

export interface VmsSection {
  readonly failureDomains: readonly FailureDomain[];
  readonly backendServers: readonly BackendServer[];
  readonly weightStore?: WeightStore;
}

/** A model or, with `baseModel`, an adapter on one. */
export interface Model {
  readonly name: string;
  readonly version: string;
  readonly memoryMb: number;
  readonly baseModel?: string;
}

/** A path prefix that is passed to plain services. */
export interface Route {
  readonly name: string;
  readonly pathPrefix: string;
  readonly methods: readonly string[];
  readonly backendServers: readonly string[];
  readonly idempotent: boolean;
  readonly open: boolean;
  /** Tokens that one call counts against the workspace. */
  readonly costTokens: number;
}

export interface ModelsSection {
  readonly models: readonly Model[];
  readonly routes: readonly Route[];
}

/** What a workspace's requests are to meet; `goodPart` of them, in (0, 1). */
export interface Objective {
  readonly firstTokenMs: number;
  /** Mean time between two tokens of an answer. */
  readonly tokenGapMs: number;
  readonly goodPart: number;
}

/** An issued key; only its hex digest is kept. */
export interface WorkspaceKey {
  readonly id: string;
  readonly sha256: string;
}

export interface Workspace {
  readonly name: string;
  readonly rateTokensPerSecond: number;
  readonly burstTokens: number;
  readonly weight: number;
  /** Model names, or `*` for all. */
  readonly models: readonly string[];
  /** Route names, or `*` for all. */
  readonly routes: readonly string[];
  readonly keys: readonly WorkspaceKey[];
  readonly objective?: Objective;
}

export interface WorkspacesSection {
  readonly workspaces: readonly Workspace[];
}

/** The whole document of the operators. */
export interface Document {
  readonly operators: { readonly teams: readonly OperatorTeam[] };
  readonly vms: VmsSection;
  readonly models: ModelsSection;
  readonly workspaces: WorkspacesSection;
}

/** One accepted edit of the document. */
export interface Edit {
  readonly revision: number;
  readonly editId: string;
  readonly team: string;
  readonly sections: readonly Section[];
  readonly note: string;
}

/** Names the revision in force and the content hash of each section. Kept under one key of the store. */
export interface Head {
  readonly revision: number;
  readonly sections: Readonly<Record<Section, string>>;
  /** The latest edits, newest first; an editor whose answer was lost finds its edit here. */
  readonly recentEdits: readonly Edit[];
}

/** How far a request has come towards a backend server. */
export const RunState = {
  NotSent: 'notSent',
  MaybeSent: 'maybeSent',
  Accepted: 'accepted',
  Streaming: 'streaming',
  Done: 'done',
} as const;
export type RunState = (typeof RunState)[keyof typeof RunState];

/** What a refusal says about the request: `notRun` is only ever sent when it is proved. */
export const RunClaim = { NotRun: 'not run', Unknown: 'unknown' } as const;
export type RunClaim = (typeof RunClaim)[keyof typeof RunClaim];

/** What a request asks for. */
export const TargetKind = { Model: 'model', Route: 'route' } as const;
export type TargetKind = (typeof TargetKind)[keyof typeof TargetKind];

export type Target =
  | {
      readonly kind: typeof TargetKind.Model;
      readonly model: string;
      readonly promptTokens: number;
      readonly maxTokens: number;
      /** Hash of the head of the prompt, for prefix affinity. */
      readonly prefixHash: number;
    }
  | { readonly kind: typeof TargetKind.Route; readonly method: string; readonly path: string };

/** A request as the decisions see it: no body and no key, only the digest of the key. */
export interface RequestInfo {
  readonly requestId: string;
  readonly keyDigest: string | null;
  readonly target: Target;
  /** 0 is served first. */
  readonly priority: number;
  readonly timeoutMs: number;
  /** Digest of the caller's idempotency key, if one was sent. */
  readonly idempotencyDigest: string | null;
}

export interface Refusal {
  readonly diagnostic: Diagnostic;
  readonly run: RunClaim;
  readonly retryAfterMs: number | null;
}

/** What a backend server last reported about itself. */
export interface LoadReport {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly usedMemoryMb: number;
  /** Loaded models and adapters as `name@version`. */
  readonly loadedModels: readonly string[];
  /** Models that are being loaded; their memory is in use. */
  readonly loadingModels: readonly string[];
  readonly leaving: boolean;
}

/** Another VM as gossip describes it. */
export interface Member {
  readonly vmId: string;
  /** New at each start of the process. */
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  /** Grows while the process lives. */
  readonly heartbeat: number;
  readonly revision: number;
  readonly leaving: boolean;
  /** Its part of every workspace's rate and burst, of `TOTAL_SHARE_UNITS`. */
  readonly shareUnits: number;
  /** The grant that `shareUnits` is a pledge for; zero without a pledge. */
  readonly pledgedGrant: number;
}

/** The spread word that a backend server is leaving, which may precede the document. */
export interface LeavingServer {
  readonly name: string;
  /** Grows each time the mark is renewed. */
  readonly version: number;
}

export interface GossipMessage {
  readonly fromVmId: string;
  readonly revision: number;
  readonly members: readonly Member[];
  readonly leavingServers: readonly LeavingServer[];
  /** The latest version of the share table that the sender knows. */
  readonly shareVersion: number;
}

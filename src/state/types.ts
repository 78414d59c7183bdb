/**
 * Defines the core types: the operators' document, requests, and what backend servers and VMs report about
 * themselves. Durations end in `Ms`, counts of language model tokens in `Tokens`, sizes in `Bytes` or `Mb`.
 */
import type { Diagnostic } from './diagnostics.js';

/** The sections of the operators' document. Each section is edited separately. */
export const Section = {
  Operators: 'operators',
  Vms: 'vms',
  Models: 'models',
  Workspaces: 'workspaces',
} as const;
export type Section = (typeof Section)[keyof typeof Section];

export const ALL_SECTIONS: readonly Section[] = Object.values(Section);

/** Whether a backend server runs models (`engine`) or is an HTTP service behind routes (`service`). */
export const BackendKind = { Engine: 'engine', Service: 'service' } as const;
export type BackendKind = (typeof BackendKind)[keyof typeof BackendKind];

/** A team of operators. `tokenSha256` is the hex digest of its token, `sections` lists what it may edit. */
export interface OperatorTeam {
  readonly name: string;
  readonly tokenSha256: string;
  readonly sections: readonly Section[];
}

/** A failure domain. `share` is the weight by which it gets a fraction of every workspace's rate and burst. */
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

/** The limits on loading models from the weight store, for the whole fleet. */
export interface WeightStore {
  readonly loadsPerSecond: number;
  readonly loadsAtOnce: number;
}

export interface VmsSection {
  readonly failureDomains: readonly FailureDomain[];
  readonly backendServers: readonly BackendServer[];
  readonly weightStore?: WeightStore;
}

/** A model, or an adapter of the model `baseModel` if that is set. */
export interface Model {
  readonly name: string;
  readonly version: string;
  readonly memoryMb: number;
  readonly baseModel?: string;
}

/** A route forwards the requests under its path prefix to backend servers of the kind `service`. */
export interface Route {
  readonly name: string;
  readonly pathPrefix: string;
  readonly methods: readonly string[];
  readonly backendServers: readonly string[];
  readonly idempotent: boolean;
  /** Whether the route needs no API key. */
  readonly open: boolean;
  /** The tokens that a request costs its workspace. */
  readonly costTokens: number;
}

export interface ModelsSection {
  readonly models: readonly Model[];
  readonly routes: readonly Route[];
}

/** A service-level objective: at least the fraction `goodPart`, in (0, 1), of the requests must meet the limits. */
export interface Objective {
  readonly firstTokenMs: number;
  /** Limit on the mean time between two tokens of an answer. */
  readonly tokenGapMs: number;
  readonly goodPart: number;
}

/** An API key that was issued to a workspace. Only its hex digest is stored. */
export interface WorkspaceKey {
  readonly id: string;
  readonly sha256: string;
}

export interface Workspace {
  readonly name: string;
  readonly rateTokensPerSecond: number;
  readonly burstTokens: number;
  readonly weight: number;
  /** The names of the allowed models, or `*` for all. */
  readonly models: readonly string[];
  /** The names of the allowed routes, or `*` for all. */
  readonly routes: readonly string[];
  readonly keys: readonly WorkspaceKey[];
  readonly objective?: Objective;
}

export interface WorkspacesSection {
  readonly workspaces: readonly Workspace[];
}

/** The complete operators' document. */
export interface Document {
  readonly operators: { readonly teams: readonly OperatorTeam[] };
  readonly vms: VmsSection;
  readonly models: ModelsSection;
  readonly workspaces: WorkspacesSection;
}

/** An accepted edit of the document. */
export interface Edit {
  readonly revision: number;
  readonly editId: string;
  readonly team: string;
  readonly sections: readonly Section[];
  readonly note: string;
}

/** The revision in force and the content hash of each section. It is stored under a single key of the store. */
export interface Head {
  readonly revision: number;
  readonly sections: Readonly<Record<Section, string>>;
  /** The latest edits, newest first. An editor that got no response checks here whether its edit was applied. */
  readonly recentEdits: readonly Edit[];
}

/** How far a dispatch of a request to a backend server has progressed. */
export const RunState = {
  NotSent: 'notSent',
  MaybeSent: 'maybeSent',
  Accepted: 'accepted',
  Streaming: 'streaming',
  Done: 'done',
} as const;
export type RunState = (typeof RunState)[keyof typeof RunState];

/**
 * What is known about the execution of a request that got no complete answer. `NotRun` is reported only if it is
 * certain that no backend server has begun the request.
 */
export const RunStatus = { NotRun: 'not run', Unknown: 'unknown' } as const;
export type RunStatus = (typeof RunStatus)[keyof typeof RunStatus];

/** Whether a request is for a model or for a route. */
export const TargetKind = { Model: 'model', Route: 'route' } as const;
export type TargetKind = (typeof TargetKind)[keyof typeof TargetKind];

export type Target =
  | {
      readonly kind: typeof TargetKind.Model;
      readonly model: string;
      readonly promptTokens: number;
      readonly maxTokens: number;
      /** Hash of the beginning of the prompt, for prefix affinity. */
      readonly prefixHash: number;
    }
  | { readonly kind: typeof TargetKind.Route; readonly method: string; readonly path: string };

/** What the decisions need of a request. It holds the digest of the API key, but neither the key nor the body. */
export interface RequestInfo {
  readonly requestId: string;
  readonly keyDigest: string | null;
  readonly target: Target;
  /** 0 is the highest priority. */
  readonly priority: number;
  readonly timeoutMs: number;
  /** Digest of the caller's idempotency key, or null if the request has none. */
  readonly idempotencyDigest: string | null;
}

/** The error with which a request ends, and what the caller needs to decide whether to send it again. */
export interface Refusal {
  readonly diagnostic: Diagnostic;
  readonly run: RunStatus;
  readonly retryAfterMs: number | null;
}

/** The latest load report of a backend server. */
export interface LoadReport {
  readonly runningRequests: number;
  readonly queuedRequests: number;
  readonly usedMemoryMb: number;
  /** Tags `name@version` of the loaded models and adapters. */
  readonly loadedModels: readonly string[];
  /** Tags of the models that are being loaded. Their memory is already in use. */
  readonly loadingModels: readonly string[];
  readonly leaving: boolean;
}

/** The state of a VM that gossip spreads. */
export interface Member {
  readonly vmId: string;
  /** Identifies the process; new at each start. */
  readonly incarnation: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  /** Increases as long as the process runs. */
  readonly heartbeat: number;
  readonly revision: number;
  readonly leaving: boolean;
  /** The fraction of every workspace's rate and burst that the VM may spend, in units of 1/`TOTAL_SHARE_UNITS`. */
  readonly shareUnits: number;
  /** The number of the grant for which the VM has pledged to spend no more than `shareUnits`; 0 if it has not. */
  readonly pledgedGrant: number;
}

/** A mark, spread by gossip, that a backend server is leaving. It can arrive before the document reports it. */
export interface LeavingServer {
  readonly name: string;
  /** Increases each time the mark is renewed. */
  readonly version: number;
}

export interface GossipMessage {
  readonly fromVmId: string;
  readonly revision: number;
  readonly members: readonly Member[];
  readonly leavingServers: readonly LeavingServer[];
  /** The latest version of the share table that the sender has. */
  readonly shareVersion: number;
}

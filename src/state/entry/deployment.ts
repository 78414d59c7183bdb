/**
 * The operators' configuration of a deployment whose requests are forwarded as they came: routes,
 * services with the engines behind them, workspaces and limits. Core types of the entry VMs.
 */

/** What may be repeated on a route. */
export const RouteKind = {
  Idempotent: 'idempotent',
  AtMostOnce: 'atMostOnce',
  Stream: 'stream',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that takes a part of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

export interface ForwardRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** The longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** The answer, or the first event of a stream, is on time within this. */
  readonly objectiveMs: number;
  /** Backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Needs no key. */
  readonly isOpen: boolean;
  /** A broken stream may go on at another backend server. */
  readonly isResumable: boolean;
  /** Longest pause between two events of a stream that is on time; null if none is stated. */
  readonly maxEventGapMs: number | null;
  readonly targets: readonly RouteTarget[];
}

/** A model that the engines of a service can be ordered to load. */
export interface EngineModel {
  readonly name: string;
  readonly memoryMb: number;
  /** Loading time from the weight store, the engine's disk and its host memory. */
  readonly storeLoadMs: number;
  readonly diskLoadMs: number;
  readonly hostLoadMs: number;
  readonly adapterCount: number;
  readonly adapterMemoryMb: number;
}

/** What all engines of a service have in common. */
export interface EngineProfile {
  readonly maxConcurrentRequests: number;
  /** Tokens of running requests and cached prompts that an engine's memory holds. */
  readonly kvCapacityTokens: number;
  /** Memory for models and adapters together. */
  readonly memoryMb: number;
  readonly adapterSlots: number;
  /** Loads from the weight store that may begin in a second, over all engines. */
  readonly loadsPerSecond: number;
  readonly modelsByName: ReadonlyMap<string, EngineModel>;
}

export interface ForwardService {
  readonly name: string;
  /** Connections that one backend server accepts from all VMs together. */
  readonly maxConnections: number;
  /** Null for a plain service. */
  readonly engine: EngineProfile | null;
}

export interface ForwardWorkspace {
  readonly name: string;
  /** Goes before the route's priority; null if the workspace has none. */
  readonly priority: number | null;
  /** Zero if the workspace is not limited. */
  readonly rateTokensPerSecond: number;
  readonly burstTokens: number;
  /** Cost of a request that states no token counts. */
  readonly plainCostTokens: number;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface Deployment {
  readonly version: number;
  /** Routes of each host, the longest path prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly ForwardRoute[]>;
  readonly servicesByName: ReadonlyMap<string, ForwardService>;
  /** False if requests carry no keys at all. */
  readonly hasWorkspaces: boolean;
  /** By the digest of the key, which is kept nowhere itself. */
  readonly workspacesByKeyDigest: ReadonlyMap<string, ForwardWorkspace>;
  readonly workspacesByName: ReadonlyMap<string, ForwardWorkspace>;
  readonly limits: CallerLimits;
}

/** Groups routes by host and orders them for the search by the longest prefix. */
export function indexRoutes(
  routes: readonly ForwardRoute[],
): ReadonlyMap<string, readonly ForwardRoute[]> {
  const byHost = new Map<string, ForwardRoute[]>();
  routes.forEach((route) => {
    const list = byHost.get(route.host) ?? [];
    list.push(route);
    byHost.set(route.host, list);
  });
  byHost.forEach((list) => list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  return byHost;
}

/** Finds the route of a request by host and path without query. */
export function findForwardRoute(
  deployment: Deployment,
  host: string,
  path: string,
): ForwardRoute | undefined {
  return deployment.routesByHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));
}

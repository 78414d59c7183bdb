/**
 * The operators' configuration of a deployment that forwards requests unchanged: routes, services with their
 * engines, workspaces and limits. These are core types of the entry VMs.
 */

/** Whether and how requests of a route may be retried. */
export const RouteKind = {
  Idempotent: 'idempotent',
  AtMostOnce: 'atMostOnce',
  Stream: 'stream',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that receives a weighted share of a route's requests. */
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
  /** Upper limit of the time until the response is complete. */
  readonly timeoutMs: number;
  /** Latency objective of the response, or of the first event of a stream. */
  readonly latencyObjectiveMs: number;
  /** Number of backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** True if requests need no API key. */
  readonly isPublic: boolean;
  /** True if another backend server can continue an interrupted stream. */
  readonly isResumable: boolean;
  /** Latency objective of the gap between two events of a stream; null if none is configured. */
  readonly maxEventGapMs: number | null;
  /** Regions whose servers may run its requests; null if all may. */
  readonly allowedRegions: ReadonlySet<string> | null;
  readonly targets: readonly RouteTarget[];
}

/** A model that the engines of a service can be ordered to load. */
export interface EngineModel {
  readonly name: string;
  readonly memoryMb: number;
  /** Load time from the weight store, from the engine's disk and from its host memory. */
  readonly storeLoadMs: number;
  readonly diskLoadMs: number;
  readonly hostLoadMs: number;
  readonly adapterCount: number;
  readonly adapterMemoryMb: number;
}

/** The properties that all engines of a service share. */
export interface EngineProfile {
  readonly maxConcurrentRequests: number;
  /** Capacity of an engine's KV cache, in tokens of running requests and cached prompts. */
  readonly kvCapacityTokens: number;
  /** Memory for models and adapters combined. */
  readonly memoryMb: number;
  readonly adapterSlots: number;
  /** Rate limit of load starts from the weight store, over all engines. */
  readonly loadsPerSecond: number;
  readonly modelsByName: ReadonlyMap<string, EngineModel>;
}

export interface ForwardService {
  readonly name: string;
  /** Number of connections that one backend server accepts from all VMs combined. */
  readonly maxConnections: number;
  /** Path of the servers' own health check; null if they have none. */
  readonly healthPath: string | null;
  /** Requests per second that a server takes while it is cold; null if its servers are never cold. */
  readonly coldRequestsPerSecond: number | null;
  /** Null for a service that does not run models. */
  readonly engine: EngineProfile | null;
}

export interface ForwardWorkspace {
  readonly name: string;
  /** Overrides the route's priority; null if the workspace has none. */
  readonly priority: number | null;
  /** Regions whose servers may run its requests; null if all may. */
  readonly allowedRegions: ReadonlySet<string> | null;
  /** Zero if the workspace has no rate limit. */
  readonly rateTokensPerSecond: number;
  readonly burstTokens: number;
  /** Cost in tokens of a request that states no token counts. */
  readonly defaultCostTokens: number;
}

/** Limits on the requests and connections of callers. */
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
  /** False if the deployment uses no API keys. */
  readonly hasWorkspaces: boolean;
  /** By the digest of the API key; the key itself is not stored. */
  readonly workspacesByKeyDigest: ReadonlyMap<string, ForwardWorkspace>;
  readonly workspacesByName: ReadonlyMap<string, ForwardWorkspace>;
  readonly limits: CallerLimits;
}

/** Groups routes by host and sorts them for matching by longest prefix. */
export function indexRoutes(
  routes: readonly ForwardRoute[],
): ReadonlyMap<string, readonly ForwardRoute[]> {
  const routesByHost = new Map<string, ForwardRoute[]>();
  routes.forEach((route) => {
    const hostRoutes = routesByHost.get(route.host) ?? [];
    hostRoutes.push(route);
    routesByHost.set(route.host, hostRoutes);
  });
  routesByHost.forEach((hostRoutes) =>
    hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
  );
  return routesByHost;
}

/** Finds the route of a request by its host and its path without the query. */
export function findForwardRoute(
  deployment: Deployment,
  host: string,
  path: string,
): ForwardRoute | undefined {
  return deployment.routesByHost.get(host)?.find((route) => path.startsWith(route.pathPrefix));
}

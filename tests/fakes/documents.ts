/**
 * Creates small configuration documents and requests for tests of the coordination layer.
 */
import type {
  BackendServer,
  Document,
  FailureDomain,
  RequestInfo,
  Route,
  Workspace,
} from '../../src/state/types.js';

/** Creates an engine with capacity for any number of requests that a test sends. */
export function createTestEngine(name: string, fields: Partial<BackendServer> = {}): BackendServer {
  return {
    name,
    kind: 'engine',
    failureDomain: 'fd-a',
    address: '127.0.0.1:1',
    memoryMb: 1_000,
    maxConcurrentRequests: 1_000_000,
    checksFencing: true,
    leaving: false,
    ...fields,
  };
}

/** Creates a workspace whose key digest is its own name. */
export function createTestWorkspace(name: string, fields: Partial<Workspace> = {}): Workspace {
  return {
    name,
    rateTokensPerSecond: 1_000,
    burstTokens: 10_000,
    weight: 1,
    models: ['*'],
    routes: ['*'],
    keys: [{ id: 'key', sha256: name }],
    ...fields,
  };
}

/** Creates a route to a plain service. */
export function createTestRoute(name: string, fields: Partial<Route> = {}): Route {
  return {
    name,
    pathPrefix: `/${name}`,
    methods: ['POST'],
    backendServers: ['service'],
    idempotent: false,
    open: false,
    costTokens: 1,
    ...fields,
  };
}

export const TEST_DOMAINS: readonly FailureDomain[] = [
  { name: 'fd-a', share: 3 },
  { name: 'fd-b', share: 3 },
  { name: 'fd-c', share: 2 },
];

/** The only model in test documents. */
export const TEST_MODEL = { name: 'model', version: '1', memoryMb: 100 };
export const TEST_MODEL_TAG = 'model@1';

/** Creates a document with one model. */
export function createTestDocument(fields: {
  readonly workspaces: readonly Workspace[];
  readonly failureDomains?: readonly FailureDomain[];
  readonly backendServers?: readonly BackendServer[];
  readonly routes?: readonly Route[];
}): Document {
  const { backendServers, failureDomains, routes, workspaces } = fields;
  return {
    operators: { teams: [] },
    vms: {
      failureDomains: failureDomains ?? TEST_DOMAINS,
      backendServers: backendServers ?? [createTestEngine('engine')],
    },
    models: { models: [TEST_MODEL], routes: routes ?? [] },
    workspaces: { workspaces },
  };
}

/** Creates a request for the test model. */
export function createModelRequest(
  requestId: string,
  workspace: string,
  promptTokens: number,
  maxTokens: number,
): RequestInfo {
  return {
    requestId,
    keyDigest: workspace,
    target: { kind: 'model', model: 'model', promptTokens, maxTokens, prefixHash: 0 },
    priority: 5,
    timeoutMs: 60_000,
    idempotencyDigest: null,
  };
}

/** Creates a request for a route. */
export function createRouteRequest(
  requestId: string,
  workspace: string | null,
  path: string,
  idempotencyDigest: string | null = null,
): RequestInfo {
  return {
    requestId,
    keyDigest: workspace,
    target: { kind: 'route', method: 'POST', path },
    priority: 5,
    timeoutMs: 60_000,
    idempotencyDigest,
  };
}

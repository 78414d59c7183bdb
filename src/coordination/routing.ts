/**
 * Chooses the backend server of a request.
 *
 * A prompt's prefix has two preferred servers by rendezvous hashing; the less loaded of them is taken
 * while it has room and is near the mean of the candidates, else the less loaded of two random ones.
 */
import { Either, Left, Right } from 'purify-ts';
import type { Configuration } from '../state/configuration.js';
import { getModelTag } from '../state/configuration.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { hashText, nextRandomInt } from '../state/random.js';
import { type BackendServer, type Target, TargetKind } from '../state/types.js';

import type { NodeState, ServerRecord } from './nodeState.js';

/** A server with more work than this part of its places over them takes no more. */
const FULL_LOAD = 2;
/** Local servers are taken while one of them is under this load. */
const LOCAL_LOAD_LIMIT = 0.8;

/** What a request counts that only a report shows. */
const REPORT_WEIGHT = 0.25;
/** Servers that share the prompts of one prefix. */
const PREFERRED_SERVERS = 2;
/** A preferred server over this load is not taken for its cache. */
const AFFINITY_MAX_LOAD = 0.75;

/** What the choice goes by, besides the state. */
export interface RouteQuery {
  readonly target: Target;
  readonly targetName: string;
  readonly triedServers: readonly string[];
}

/** Returns the record of a server, created on first use. */
export function getServerRecord(state: NodeState, name: string): ServerRecord {
  const known = state.servers.get(name);
  if (known !== undefined) {
    return known;
  }
  const record: ServerRecord = {
    inFlight: 0,
    isAsked: false,
    report: null,
    reportedAtMs: 0,
    inFlightAtReport: 0,
    penaltyUntilMs: 0,
  };
  state.servers.set(name, record);
  return record;
}

/** Requests that the last report shows of other VMs. */
function getOthersRequests(record: ServerRecord): number {
  const { inFlightAtReport, report } = record;
  const reported = report === null ? 0 : report.runningRequests + report.queuedRequests;
  return Math.max(0, reported - inFlightAtReport);
}

/** Returns the load of a server in parts of its places; 1 is full without a queue. */
export function getServerLoad(state: NodeState, server: BackendServer): number {
  const record = getServerRecord(state, server.name);
  return (record.inFlight + getOthersRequests(record)) / server.maxConcurrentRequests;
}

/**
 * Returns the load that servers are compared by. Reports lag, and every VM sees the same ones, so going
 * by them sends all VMs to one server at a time. This VM's own requests are current; the others are taken
 * to send alike, and reports only correct that a little.
 */
function getComparedLoad(state: NodeState, server: BackendServer): number {
  const record = getServerRecord(state, server.name);
  const isLocal = server.failureDomain === state.self.failureDomain;
  const sharers = isLocal ? state.liveVms.inDomain : state.liveVms.all;
  const requests = record.inFlight * sharers + getOthersRequests(record) * REPORT_WEIGHT;
  return requests / server.maxConcurrentRequests;
}

/** Tells whether a server is leaving by the document, its own report, or word from a peer. */
export function isServerLeaving(state: NodeState, server: BackendServer): boolean {
  const report = state.servers.get(server.name)?.report;
  return server.leaving || report?.leaving === true || state.leavingServers.has(server.name);
}

function findServersWithTag(
  state: NodeState,
  configuration: Configuration,
  tag: string,
): BackendServer[] {
  return [...(state.serversByTag.get(tag) ?? [])].flatMap((name) => {
    const server = configuration.serversByName.get(name);
    return server === undefined ? [] : [server];
  });
}

function findServersForModel(
  state: NodeState,
  configuration: Configuration,
  modelName: string,
): BackendServer[] {
  const model = configuration.modelsByName.get(modelName);
  if (model === undefined) {
    return [];
  }
  const current = findServersWithTag(state, configuration, getModelTag(model));
  if (current.length > 0) {
    return current;
  }
  // While a new version is being loaded, the one before it goes on serving.
  const prefix = `${modelName}@`;
  const tags = [...state.serversByTag.keys()].filter((tag) => tag.startsWith(prefix));
  const names = new Map(
    tags
      .flatMap((tag) => findServersWithTag(state, configuration, tag))
      .map((server) => [server.name, server]),
  );
  return [...names.values()];
}

function findServersForRoute(configuration: Configuration, routeName: string): BackendServer[] {
  const route = configuration.routes.find((r) => r.name === routeName);
  return (route?.backendServers ?? []).flatMap((name) => {
    const server = configuration.serversByName.get(name);
    return server === undefined ? [] : [server];
  });
}

function findServers(
  state: NodeState,
  configuration: Configuration,
  query: RouteQuery,
): BackendServer[] {
  const finders: Readonly<Record<TargetKind, () => BackendServer[]>> = {
    [TargetKind.Model]: () => findServersForModel(state, configuration, query.targetName),
    [TargetKind.Route]: () => findServersForRoute(configuration, query.targetName),
  };
  return finders[query.target.kind]();
}

/** Narrows to the servers that a condition holds for, unless that leaves none. */
function preferServers(
  servers: BackendServer[],
  isPreferred: (server: BackendServer) => boolean,
): BackendServer[] {
  const preferred = servers.filter(isPreferred);
  return preferred.length > 0 ? preferred : servers;
}

function preferLocal(state: NodeState, servers: BackendServer[]): BackendServer[] {
  const local = servers.filter((s) => s.failureDomain === state.self.failureDomain);
  const hasRoom = local.some((server) => getServerLoad(state, server) < LOCAL_LOAD_LIMIT);
  return hasRoom ? local : servers;
}

function chooseLessLoaded(state: NodeState, servers: BackendServer[]): BackendServer {
  const first = servers[nextRandomInt(state.random, servers.length)]!;
  const second = servers[nextRandomInt(state.random, servers.length)]!;
  return getComparedLoad(state, second) < getComparedLoad(state, first) ? second : first;
}

/** The two servers that a prefix prefers, by rendezvous hashing. */
function findPreferred(servers: BackendServer[], prefixHash: number): BackendServer[] {
  const score = (server: BackendServer): number => hashText(`${server.name}#${prefixHash}`);
  return servers.toSorted((a, b) => score(b) - score(a)).slice(0, PREFERRED_SERVERS);
}

/**
 * Takes the less loaded of a prefix's preferred servers while it has room and is near the mean; under
 * load, a cached prefix is worth less than a free place.
 */
function chooseByPrefix(
  state: NodeState,
  servers: BackendServer[],
  prefixHash: number,
): BackendServer {
  const getLoad = (server: BackendServer): number => getComparedLoad(state, server);
  const preferred = findPreferred(servers, prefixHash).reduce((best, server) =>
    getLoad(server) < getLoad(best) ? server : best,
  );
  const meanLoad = servers.reduce((sum, server) => sum + getLoad(server), 0) / servers.length;
  const nearLimit =
    meanLoad * state.policy.affinityLoadFactor + 1 / preferred.maxConcurrentRequests;
  return getLoad(preferred) <= Math.min(nearLimit, AFFINITY_MAX_LOAD)
    ? preferred
    : chooseLessLoaded(state, servers);
}

function chooseServer(state: NodeState, servers: BackendServer[], target: Target): BackendServer {
  return target.kind === TargetKind.Model
    ? chooseByPrefix(state, servers, target.prefixHash)
    : chooseLessLoaded(state, servers);
}

/**
 * Chooses a backend server.
 *
 * @returns `NoBackendServer` if none offers the target, `Overloaded` if all that do are full.
 */
export function selectServer(
  state: NodeState,
  configuration: Configuration,
  query: RouteQuery,
  nowMs: number,
): Either<Diagnostic, BackendServer> {
  const staying = findServers(state, configuration, query).filter(
    (server) => !isServerLeaving(state, server),
  );
  const untried = staying.filter((server) => !query.triedServers.includes(server.name));
  if (untried.length === 0) {
    return Left(createDiagnostic(Diagnostics.NoBackendServer, query.targetName));
  }
  const open = untried.filter((server) => getServerLoad(state, server) < FULL_LOAD);
  if (open.length === 0) {
    return Left(createDiagnostic(Diagnostics.Overloaded, query.targetName));
  }
  const healthy = preferServers(
    open,
    (server) => getServerRecord(state, server.name).penaltyUntilMs <= nowMs,
  );
  return Right(chooseServer(state, preferLocal(state, healthy), query.target));
}

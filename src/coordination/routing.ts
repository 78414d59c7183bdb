/**
 * Chooses the backend server of a request.
 *
 * A server's load is this VM's own requests there, known at once, plus what its last report shows of
 * other VMs' requests. A prompt's prefix has a preferred server by rendezvous hashing, kept while its
 * load is near the mean of the candidates; else the less loaded of two random candidates is taken.
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

/** Returns the load of a server in parts of its places; 1 is full without a queue. */
export function getServerLoad(state: NodeState, server: BackendServer): number {
  const record = getServerRecord(state, server.name);
  const reported =
    record.report === null ? 0 : record.report.runningRequests + record.report.queuedRequests;
  const others = Math.max(0, reported - record.inFlightAtReport);
  return (record.inFlight + others) / server.maxConcurrentRequests;
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
  return getServerLoad(state, second) < getServerLoad(state, first) ? second : first;
}

function choosePreferred(servers: BackendServer[], prefixHash: number): BackendServer {
  return servers.reduce((best, server) =>
    hashText(`${server.name}#${prefixHash}`) > hashText(`${best.name}#${prefixHash}`)
      ? server
      : best,
  );
}

function chooseByPrefix(
  state: NodeState,
  servers: BackendServer[],
  prefixHash: number,
): BackendServer {
  const preferred = choosePreferred(servers, prefixHash);
  const loads = servers.map((server) => getServerLoad(state, server));
  const meanLoad = loads.reduce((sum, load) => sum + load, 0) / loads.length;
  const limit = meanLoad * state.policy.affinityLoadFactor + 1 / preferred.maxConcurrentRequests;
  return getServerLoad(state, preferred) <= limit ? preferred : chooseLessLoaded(state, servers);
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

/**
 * Selects the backend server for a request.
 *
 * Rendezvous hashing gives each prompt prefix two preferred servers. The less loaded of the two is selected if
 * its load is below a fixed limit and near the mean load of the candidates; otherwise the choice is the power
 * of two choices, the less loaded of two random servers.
 */
import { Either, Left, Right } from 'purify-ts';
import type { Configuration } from '../state/configuration.js';
import { getModelTag } from '../state/configuration.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';
import { hashText, nextRandomInt } from '../state/random.js';
import { type BackendServer, type Target, TargetKind } from '../state/types.js';

import type { VmState, ServerRecord } from './vmState.js';

/** A server at this load, a multiple of its concurrency limit, gets no further requests. */
const MAX_LOAD = 2;
/** Local servers are preferred while at least one of them is below this load. */
const LOCAL_MAX_LOAD = 0.8;

/** Weight of a request of another VM, which is known only from the server's load report. */
const REPORTED_REQUEST_WEIGHT = 0.25;
/** Number of servers that share the prompts of one prefix. */
const PREFERRED_SERVER_COUNT = 2;
/** A preferred server above this load is not selected for its cached prefix. */
const AFFINITY_MAX_LOAD = 0.75;

/** The properties of a request that the selection of a server depends on. */
export interface ServerQuery {
  readonly target: Target;
  readonly targetName: string;
  readonly triedServers: readonly string[];
}

/** Returns the record of a server and creates it on first use. */
export function getServerRecord(state: VmState, name: string): ServerRecord {
  const existing = state.servers.get(name);
  if (existing !== undefined) {
    return existing;
  }
  const record: ServerRecord = {
    inFlight: 0,
    isPolled: false,
    report: null,
    reportedAtMs: 0,
    inFlightAtReport: 0,
    penaltyUntilMs: 0,
  };
  state.servers.set(name, record);
  return record;
}

/** Returns the number of requests of other VMs according to the last load report. */
function countRequestsOfOtherVms(record: ServerRecord): number {
  const { inFlightAtReport, report } = record;
  const reported = report === null ? 0 : report.runningRequests + report.queuedRequests;
  return Math.max(0, reported - inFlightAtReport);
}

/** Returns the load of a server as a fraction of its concurrency limit; 1 means full without a queue. */
export function getServerLoad(state: VmState, server: BackendServer): number {
  const record = getServerRecord(state, server.name);
  return (record.inFlight + countRequestsOfOtherVms(record)) / server.maxConcurrentRequests;
}

/**
 * Estimates the load by which servers are compared. Reports lag, and all VMs receive the same reports, so
 * comparing by reports alone would send the requests of all VMs to one server at a time. The number of this
 * VM's own in-flight requests is current; the estimate assumes that the other VMs send as many, and reports
 * correct it only slightly.
 */
function estimateLoad(state: VmState, server: BackendServer): number {
  const record = getServerRecord(state, server.name);
  const isLocal = server.failureDomain === state.self.failureDomain;
  const vmCount = isLocal ? state.liveVms.inDomain : state.liveVms.all;
  const requests =
    record.inFlight * vmCount + countRequestsOfOtherVms(record) * REPORTED_REQUEST_WEIGHT;
  return requests / server.maxConcurrentRequests;
}

/** Returns whether a server is leaving according to the configuration, its own load report, or gossip. */
export function isServerLeaving(state: VmState, server: BackendServer): boolean {
  const report = state.servers.get(server.name)?.report;
  return server.leaving || report?.leaving === true || state.leavingServers.has(server.name);
}

function findServersWithTag(
  state: VmState,
  configuration: Configuration,
  tag: string,
): BackendServer[] {
  return [...(state.serversByTag.get(tag) ?? [])].flatMap((name) => {
    const server = configuration.serversByName.get(name);
    return server === undefined ? [] : [server];
  });
}

function findServersForModel(
  state: VmState,
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
  // While a new version is loading, servers with the previous version continue to serve the model.
  const prefix = `${modelName}@`;
  const tags = [...state.serversByTag.keys()].filter((tag) => tag.startsWith(prefix));
  const serversByName = new Map(
    tags
      .flatMap((tag) => findServersWithTag(state, configuration, tag))
      .map((server) => [server.name, server]),
  );
  return [...serversByName.values()];
}

function findServersForRoute(configuration: Configuration, routeName: string): BackendServer[] {
  const route = configuration.routes.find((r) => r.name === routeName);
  return (route?.backendServers ?? []).flatMap((name) => {
    const server = configuration.serversByName.get(name);
    return server === undefined ? [] : [server];
  });
}

function findServers(
  state: VmState,
  configuration: Configuration,
  query: ServerQuery,
): BackendServer[] {
  const finders: Readonly<Record<TargetKind, () => BackendServer[]>> = {
    [TargetKind.Model]: () => findServersForModel(state, configuration, query.targetName),
    [TargetKind.Route]: () => findServersForRoute(configuration, query.targetName),
  };
  return finders[query.target.kind]();
}

/** Returns the servers that satisfy a condition, or all servers if none does. */
function filterUnlessEmpty(
  servers: BackendServer[],
  isPreferred: (server: BackendServer) => boolean,
): BackendServer[] {
  const preferred = servers.filter(isPreferred);
  return preferred.length > 0 ? preferred : servers;
}

function preferLocalServers(state: VmState, servers: BackendServer[]): BackendServer[] {
  const local = servers.filter((s) => s.failureDomain === state.self.failureDomain);
  const hasLocalCapacity = local.some((server) => getServerLoad(state, server) < LOCAL_MAX_LOAD);
  return hasLocalCapacity ? local : servers;
}

function chooseByTwoChoices(state: VmState, servers: BackendServer[]): BackendServer {
  const first = servers[nextRandomInt(state.random, servers.length)]!;
  const second = servers[nextRandomInt(state.random, servers.length)]!;
  return estimateLoad(state, second) < estimateLoad(state, first) ? second : first;
}

/** Returns the preferred servers of a prefix by rendezvous hashing. */
function findPreferredServers(servers: BackendServer[], prefixHash: number): BackendServer[] {
  const score = (server: BackendServer): number => hashText(`${server.name}#${prefixHash}`);
  return servers.toSorted((a, b) => score(b) - score(a)).slice(0, PREFERRED_SERVER_COUNT);
}

/**
 * Selects the less loaded of the preferred servers of a prefix while its load is below the limits. Under high
 * load, a cached prefix is worth less than free capacity.
 */
function chooseByPrefixAffinity(
  state: VmState,
  servers: BackendServer[],
  prefixHash: number,
): BackendServer {
  const getLoad = (server: BackendServer): number => estimateLoad(state, server);
  const preferred = findPreferredServers(servers, prefixHash).reduce((best, server) =>
    getLoad(server) < getLoad(best) ? server : best,
  );
  const meanLoad = servers.reduce((sum, server) => sum + getLoad(server), 0) / servers.length;
  const affinityLimit =
    meanLoad * state.policy.affinityLoadFactor + 1 / preferred.maxConcurrentRequests;
  return getLoad(preferred) <= Math.min(affinityLimit, AFFINITY_MAX_LOAD)
    ? preferred
    : chooseByTwoChoices(state, servers);
}

function chooseServer(state: VmState, servers: BackendServer[], target: Target): BackendServer {
  return target.kind === TargetKind.Model
    ? chooseByPrefixAffinity(state, servers, target.prefixHash)
    : chooseByTwoChoices(state, servers);
}

/**
 * Selects the backend server for a request.
 *
 * @returns `NoBackendServer` if no untried server offers the target, `Overloaded` if all that do are full.
 */
export function selectServer(
  state: VmState,
  configuration: Configuration,
  query: ServerQuery,
  nowMs: number,
): Either<Diagnostic, BackendServer> {
  const available = findServers(state, configuration, query).filter(
    (server) => !isServerLeaving(state, server),
  );
  const untried = available.filter((server) => !query.triedServers.includes(server.name));
  if (untried.length === 0) {
    return Left(createDiagnostic(Diagnostics.NoBackendServer, query.targetName));
  }
  const belowMaxLoad = untried.filter((server) => getServerLoad(state, server) < MAX_LOAD);
  if (belowMaxLoad.length === 0) {
    return Left(createDiagnostic(Diagnostics.Overloaded, query.targetName));
  }
  const healthy = filterUnlessEmpty(
    belowMaxLoad,
    (server) => getServerRecord(state, server.name).penaltyUntilMs <= nowMs,
  );
  return Right(chooseServer(state, preferLocalServers(state, healthy), query.target));
}

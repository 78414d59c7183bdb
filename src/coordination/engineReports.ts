/**
 * Converts the load reports of engines into input for the controller's planning. Reports lag behind the
 * engine's state, so a report overrides the plan only if it arrived long enough after the change that it
 * contradicts.
 */
import type { Configuration } from '../state/configuration.js';
import { getModelTag } from '../state/configuration.js';
import type { PlacedModel, ServerPlan } from '../state/placementPlan.js';
import { BackendKind, type BackendServer } from '../state/types.js';
import type { VmState } from './vmState.js';
import type { EngineView } from './placement.js';
import { isServerLeaving } from './routing.js';

/** Returns the engines of this VM's failure domain. */
export function findLocalEngines(state: VmState, configuration: Configuration): BackendServer[] {
  return configuration.document.vms.backendServers.filter(
    (server) =>
      server.kind === BackendKind.Engine && server.failureDomain === state.self.failureDomain,
  );
}

/** Returns whether an engine has reported recently enough to be given orders. */
export function hasFreshReport(state: VmState, server: BackendServer, nowMs: number): boolean {
  const record = state.servers.get(server.name);
  return record?.report != null && nowMs - record.reportedAtMs < state.policy.reportStaleMs;
}

function getReportedTags(state: VmState, name: string): string[] {
  const report = state.servers.get(name)?.report;
  return report == null ? [] : [...report.loadedModels, ...report.loadingModels];
}

/** Creates the planning input for an engine. */
export function createEngineView(state: VmState, server: BackendServer, nowMs: number): EngineView {
  const report = state.servers.get(server.name)?.report;
  return {
    name: server.name,
    memoryMb: server.memoryMb,
    isLeaving: isServerLeaving(state, server),
    reported:
      report == null || !hasFreshReport(state, server, nowMs)
        ? null
        : {
            loadedTags: report.loadedModels,
            loadedOrLoadingTags: getReportedTags(state, server.name),
            usedMemoryMb: report.usedMemoryMb,
          },
  };
}

/** Returns the tags that engines of other failure domains currently serve. */
export function findTagsServedElsewhere(
  state: VmState,
  configuration: Configuration,
  nowMs: number,
): Set<string> {
  const remoteServers = configuration.document.vms.backendServers.filter(
    (server) =>
      server.failureDomain !== state.self.failureDomain &&
      !isServerLeaving(state, server) &&
      hasFreshReport(state, server, nowMs),
  );
  return new Set(
    remoteServers.flatMap(({ name }) => state.servers.get(name)?.report?.loadedModels ?? []),
  );
}

function getReportedAtMs(state: VmState, server: string): number {
  return state.servers.get(server)?.reportedAtMs ?? 0;
}

/** Returns whether a placed model is missing from a report that is recent enough to include it. */
function isConfirmedMissing(state: VmState, server: string, tag: string, nowMs: number): boolean {
  const key = `${server} ${tag}`;
  const { missingSinceMs } = state.controller;
  if (getReportedTags(state, server).includes(tag)) {
    missingSinceMs.delete(key);
    return false;
  }
  const firstMissingAtMs = missingSinceMs.get(key) ?? nowMs;
  missingSinceMs.set(key, firstMissingAtMs);
  return getReportedAtMs(state, server) - firstMissingAtMs > state.policy.maxReportLagMs;
}

/** Returns the memory that each configured model needs, by tag. */
export function getMemoryByTag(configuration: Configuration): Map<string, number> {
  const { models } = configuration.document.models;
  return new Map(models.map((model) => [getModelTag(model), model.memoryMb]));
}

/** Returns whether a tag was unloaded so recently that a report may still list it. */
function wasRecentlyUnloaded(state: VmState, server: string, tag: string): boolean {
  const unloadedAtMs = state.controller.unloadedAtMs.get(`${server} ${tag}`);
  return (
    unloadedAtMs !== undefined &&
    getReportedAtMs(state, server) - unloadedAtMs < state.policy.maxReportLagMs
  );
}

/**
 * Reconciles the plan of a server with its load report: removes placed models that the engine no longer has,
 * and adds models that it reports but the plan does not contain.
 */
export function reconcileWithReport(
  state: VmState,
  server: ServerPlan,
  sizes: ReadonlyMap<string, number>,
  nowMs: number,
): ServerPlan {
  const remaining = server.placed.filter(
    ({ tag }) => !isConfirmedMissing(state, server.name, tag, nowMs),
  );
  const plannedTags = new Set([...remaining, ...server.orders].map(({ tag }) => tag));
  const unplanned: PlacedModel[] = getReportedTags(state, server.name)
    .filter((tag) => !plannedTags.has(tag) && !wasRecentlyUnloaded(state, server.name, tag))
    .map((tag) => ({ tag, memoryMb: sizes.get(tag) ?? 0 }));
  return unplanned.length === 0 && remaining.length === server.placed.length
    ? server
    : { ...server, placed: [...remaining, ...unplanned] };
}

/**
 * What engines report, as the controller's planning sees it. Reports lag, so a report counts against the
 * plan only if it came long enough after what it contradicts.
 */
import type { Configuration } from '../state/configuration.js';
import { getModelTag } from '../state/configuration.js';
import type { PlacedModel, ServerPlan } from '../state/placementPlan.js';
import { BackendKind, type BackendServer } from '../state/types.js';
import type { NodeState } from './nodeState.js';
import type { EngineView } from './placement.js';
import { isServerLeaving } from './routing.js';

/** Returns the engines of the own failure domain. */
export function findOwnEngines(state: NodeState, configuration: Configuration): BackendServer[] {
  return configuration.document.vms.backendServers.filter(
    (server) =>
      server.kind === BackendKind.Engine && server.failureDomain === state.self.failureDomain,
  );
}

/** Tells whether an engine has reported lately enough to be ordered about. */
export function isFresh(state: NodeState, server: BackendServer, nowMs: number): boolean {
  const record = state.servers.get(server.name);
  return record?.report != null && nowMs - record.reportedAtMs < state.policy.reportStaleMs;
}

function getReportedTags(state: NodeState, name: string): string[] {
  const report = state.servers.get(name)?.report;
  return report == null ? [] : [...report.loadedModels, ...report.loadingModels];
}

/** Describes an engine for planning. */
export function viewEngine(state: NodeState, server: BackendServer, nowMs: number): EngineView {
  const report = state.servers.get(server.name)?.report;
  return {
    name: server.name,
    memoryMb: server.memoryMb,
    isLeaving: isServerLeaving(state, server),
    reported:
      report == null || !isFresh(state, server, nowMs)
        ? null
        : {
            loadedTags: report.loadedModels,
            tags: getReportedTags(state, server.name),
            usedMemoryMb: report.usedMemoryMb,
          },
  };
}

/** Returns the tags that engines of other failure domains answer for now. */
export function findReportedElsewhere(
  state: NodeState,
  configuration: Configuration,
  nowMs: number,
): Set<string> {
  const others = configuration.document.vms.backendServers.filter(
    (server) =>
      server.failureDomain !== state.self.failureDomain &&
      !isServerLeaving(state, server) &&
      isFresh(state, server, nowMs),
  );
  return new Set(others.flatMap(({ name }) => state.servers.get(name)?.report?.loadedModels ?? []));
}

function getReportedAtMs(state: NodeState, server: string): number {
  return state.servers.get(server)?.reportedAtMs ?? 0;
}

/** Tells whether a placed model is missing from a report that must have known of it. */
function isLongMissing(state: NodeState, server: string, tag: string, nowMs: number): boolean {
  const key = `${server} ${tag}`;
  const { missingSinceMs } = state.controller;
  if (getReportedTags(state, server).includes(tag)) {
    missingSinceMs.delete(key);
    return false;
  }
  const sinceMs = missingSinceMs.get(key) ?? nowMs;
  missingSinceMs.set(key, sinceMs);
  return getReportedAtMs(state, server) - sinceMs > state.policy.reportLagMs;
}

/** Returns the memory of each configured tag. */
export function findSizes(configuration: Configuration): Map<string, number> {
  const { models } = configuration.document.models;
  return new Map(models.map((model) => [getModelTag(model), model.memoryMb]));
}

/** A report that is older than an unload still lists the model. */
function isUnloadedLately(state: NodeState, server: string, tag: string): boolean {
  const atMs = state.controller.unloadedAtMs.get(`${server} ${tag}`);
  return atMs !== undefined && getReportedAtMs(state, server) - atMs < state.policy.reportLagMs;
}

/** Brings a server's plan in step with its reports, which lag. */
export function adoptReports(
  state: NodeState,
  server: ServerPlan,
  sizes: ReadonlyMap<string, number>,
  nowMs: number,
): ServerPlan {
  const kept = server.placed.filter(({ tag }) => !isLongMissing(state, server.name, tag, nowMs));
  const known = new Set([...kept, ...server.orders].map(({ tag }) => tag));
  const found: PlacedModel[] = getReportedTags(state, server.name)
    .filter((tag) => !known.has(tag) && !isUnloadedLately(state, server.name, tag))
    .map((tag) => ({ tag, memoryMb: sizes.get(tag) ?? 0 }));
  return found.length === 0 && kept.length === server.placed.length
    ? server
    : { ...server, placed: [...kept, ...found] };
}

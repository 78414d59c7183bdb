/**
 * Tells operators how a VM gets what it knows of the fleet: who relays for it, how old each of its views is, and how often it
 * calls other VMs. Served as text on the metrics address, and printed by `gentiandeck-entry status`.
 */
import { countCold } from '../../../coordination/entry/servers/coldServers.js';
import type { EntryState } from '../../../coordination/entry/state.js';
import { countRecentLoads } from '../../../coordination/entry/servers/loadReports.js';
import { formatStoreRevision } from '../../../state/storeRevision.js';
import type { LoopDelayMonitor } from './loopDelay.js';
import type { PeerCallCounter } from '../peers/peerCallCounter.js';
import type { StoreAccess } from '../store/storeWatches.js';

/** Stands for a fact that the VM does not have. */
const NONE = '-';

/** What the status is read from. */
export interface VmStatusSources {
  readonly state: EntryState;
  readonly storeAccess: Pick<StoreAccess, 'isCurrent' | 'getConfirmedAtMs'>;
  readonly loopDelay: Pick<LoopDelayMonitor, 'getDelayMs' | 'getMaxDelayMs'>;
  readonly peerCalls: Pick<PeerCallCounter, 'getCounts'>;
  readonly getNowMs: () => number;
}

type FactReader = (sources: VmStatusSources) => string | number | boolean;

/** Formats the age of a view in milliseconds. */
function formatAge({ getNowMs }: VmStatusSources, atMs: number | undefined): string {
  return atMs === undefined || !Number.isFinite(atMs)
    ? NONE
    : String(Math.round(getNowMs() - atMs));
}

/** The lines of the status, in their order: names with the unit of the value. */
const FACTS: Readonly<Record<string, FactReader>> = {
  vm: ({ state }) => state.self.vmId,
  incarnation: ({ state }) => state.self.incarnation,
  failure_domain: ({ state }) => state.self.failureDomain,
  lifecycle: ({ state }) => state.lifecycle,
  ready: ({ state }) => state.isReady,
  role: ({ state }) => state.relayRole ?? NONE,
  relay: ({ state }) => state.relayId || NONE,
  relays_of_failure_domain: ({ state }) =>
    state.relays
      .filter(({ failureDomain }) => failureDomain === state.self.failureDomain)
      .map(({ vmId }) => vmId)
      .join(' ') || NONE,
  relays_for_vms: ({ state }) =>
    [...state.peers.values()].filter(({ isRelayedHere }) => isRelayedHere).length,
  evacuated_failure_domains: ({ state }) => [...state.evacuations.keys()].join(' ') || NONE,
  paced_services: ({ state }) => [...state.pacedServices].join(' ') || NONE,
  recent_server_loads: ({ getNowMs, state }) => countRecentLoads(state, getNowMs()),
  cold_backends: ({ getNowMs, state }) => countCold(state, getNowMs()),
  held_requests: ({ state }) =>
    [...state.waiting.entries.values()].filter(({ item }) => item.isHeldForRoom).length,
  controller: ({ state }) => state.controller?.vmId ?? NONE,
  configuration_version: ({ state }) => state.deployment?.version ?? NONE,
  configuration_revision: ({ state }) => formatStoreRevision(state.deploymentRevision),
  backends_revision: ({ state }) => formatStoreRevision(state.backendsRevision),
  store_is_current: ({ storeAccess }) => storeAccess.isCurrent(),
  store_age_ms: (sources) => formatAge(sources, sources.storeAccess.getConfirmedAtMs()),
  fleet_demand_age_ms: (sources) => formatAge(sources, sources.state.fleetDemand?.receivedAtMs),
  oldest_report_age_ms: (sources) =>
    formatAge(
      sources,
      Math.min(
        ...[...sources.state.peers.values()].map(({ reportReceivedAtMs }) => reportReceivedAtMs),
      ),
    ),
  loop_delay_ms: ({ loopDelay }) => loopDelay.getDelayMs(),
  loop_delay_max_ms: ({ loopDelay }) => loopDelay.getMaxDelayMs(),
};

/** Returns the status of a VM, one `name value` a line; calls to other VMs are counted since the start, by purpose. */
export function formatVmStatus(sources: VmStatusSources): string {
  const { getNowMs, peerCalls, state } = sources;
  const facts = Object.entries(FACTS).map(([name, read]) => [name, read(sources)] as const);
  const calls = [...peerCalls.getCounts()].map(([key, n]) => [`calls_${key}`, n] as const);
  const upMs = ['up_ms', Math.round(getNowMs() - state.startedAtMs)] as const;
  return [...facts, upMs, ...calls].map(([name, value]) => `${name} ${value}\n`).join('');
}

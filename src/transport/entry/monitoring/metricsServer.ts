/**
 * Serves the metrics of an entry VM over HTTP in the Prometheus text format, and its status for operators.
 */
import http, { type Server } from 'node:http';
import { countMissingReplicas } from '../../../coordination/entry/placement/pacedPlacement.js';
import { countLiveVms } from '../../../coordination/entry/liveVms.js';
import { type EntryState, RelayRole } from '../../../coordination/entry/state.js';
import { EarlyRejection } from '../../../coordination/entry/requests/roomForecast.js';
import { TakeUpResult } from '../../../coordination/entry/requests/streamState.js';
import { countRecentLoads } from '../../../coordination/entry/servers/loadReports.js';
import { countCold } from '../../../coordination/entry/servers/coldServers.js';
import { isPaused } from '../../../coordination/entry/servers/serverPauses.js';
import { countHeldQuarantines } from '../../../state/entry/quarantineTable.js';
import { LoadReportResult } from '../../../state/entry/loadExchange.js';
import { PassResult } from '../../../state/entry/passTargets.js';
import { LifeEvidence } from '../../../state/entry/serverLife.js';
import { SpoilReason } from '../../../state/entry/spoiledStreams.js';
import { getRevisionInEra, getStoreEra } from '../../../state/storeRevision.js';
import type { Metrics } from '../../metrics.js';
import { MemoryPurpose, type VmMemory } from '../../vmMemory.js';
import type { CallerConnections } from '../callers/callerConnections.js';
import type { EntryLog } from './entryLog.js';
import type { LoopDelayMonitor } from './loopDelay.js';
import type { LoopWorkMeter } from './loopWork.js';
import type { MalformedEntries } from '../store/malformedEntries.js';
import type { PeerCallCounter } from '../peers/peerCallCounter.js';
import { formatVmStatus, type VmStatusSources } from './vmStatus.js';

const METRICS_PATH = '/metrics';
/** Path of the status of the VM. */
export const STATUS_PATH = '/status';
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** What the metrics are read from. */
export interface MetricsSources {
  readonly metrics: Metrics;
  readonly state: EntryState;
  readonly log: EntryLog;
  readonly loopDelay: LoopDelayMonitor;
  readonly loopWork: LoopWorkMeter;
  readonly peerCalls: PeerCallCounter;
  readonly callerConnections: CallerConnections;
  readonly malformedEntries: MalformedEntries;
  readonly vmMemory: VmMemory;
  readonly storeAccess: VmStatusSources['storeAccess'];
  readonly getNowMs: () => number;
}

/** Reads the current value of a gauge. */
type GaugeReader = (state: EntryState, sources: MetricsSources) => number;

const GAUGES: Readonly<Record<string, GaugeReader>> = {
  gentiandeck_ready: ({ isReady }) => Number(isReady),
  gentiandeck_configuration_version: ({ deployment }) => deployment?.version ?? 0,
  gentiandeck_backends: ({ backends }) => backends.size,
  gentiandeck_leaving_backends: ({ backends }) =>
    [...backends.values()].filter(({ isLeaving }) => isLeaving).length,
  gentiandeck_paused_backends: ({ backends }, { getNowMs }) =>
    [...backends.values()].filter((backend) => isPaused(backend, getNowMs())).length,
  gentiandeck_cold_backends: (state, { getNowMs }) => countCold(state, getNowMs()),
  gentiandeck_evacuated_failure_domains: ({ evacuations }) => evacuations.size,
  gentiandeck_paced_services: ({ pacedServices }) => pacedServices.size,
  gentiandeck_recent_server_loads: (state, { getNowMs }) => countRecentLoads(state, getNowMs()),
  gentiandeck_cut_off_services: ({ reach }) =>
    [...reach.values()].filter(({ cutOffSinceMs }) => cutOffSinceMs !== null).length,
  gentiandeck_brittle_backends: ({ backends }) =>
    [...backends.values()].filter(({ brittleness }) => brittleness !== null).length,
  gentiandeck_limited_backends: ({ backends }) =>
    [...backends.values()].filter(({ limit }) => limit !== null).length,
  gentiandeck_backends_revision: ({ backendsRevision }) => getRevisionInEra(backendsRevision),
  gentiandeck_store_era: ({ backendsRevision }) => getStoreEra(backendsRevision),
  gentiandeck_open_requests: ({ requests }) => requests.size,
  gentiandeck_waiting_requests: ({ waiting }) => waiting.entries.size,
  gentiandeck_held_requests: ({ waiting }) =>
    [...waiting.entries.values()].filter(({ item }) => item.isHeldForRoom).length,
  gentiandeck_live_vms: (state) => countLiveVms(state, Number.POSITIVE_INFINITY),
  gentiandeck_store_reader: ({ relayRole }) => Number(relayRole === RelayRole.Reader),
  gentiandeck_store_reachable: ({ store }) => Number(store.isReachable),
  gentiandeck_controller: ({ placement }) => Number(placement.fence !== null),
  gentiandeck_missing_replicas: countMissingReplicas,
  gentiandeck_quarantines: ({ crashEvidence }) => countHeldQuarantines(crashEvidence),
  gentiandeck_known_crashes: ({ crashEvidence }) => crashEvidence.crashes.size,
  gentiandeck_malformed_entries: (_state, { malformedEntries }) => malformedEntries.count(),
  gentiandeck_log_lines_dropped: (_state, { log }) => log.countDropped(),
  gentiandeck_loop_delay_ms: (_state, { loopDelay }) => loopDelay.getDelayMs(),
  gentiandeck_loop_delay_max_ms: (_state, { loopDelay }) => loopDelay.getMaxDelayMs(),
};

function formatGauges(sources: MetricsSources): string {
  return Object.entries(GAUGES)
    .map(([name, read]) => `# TYPE ${name} gauge\n${name} ${read(sources.state, sources)}\n`)
    .join('');
}

/** Formats what the VM holds for each purpose. */
function formatHeldBytes({ vmMemory }: MetricsSources): string {
  const lines = Object.values(MemoryPurpose).map(
    (purpose) => `gentiandeck_held_bytes{purpose="${purpose}"} ${vmMemory.getUsedBytes(purpose)}\n`,
  );
  return ['# TYPE gentiandeck_held_bytes gauge\n', ...lines].join('');
}

/** Formats the number of streams that servers have spoiled, by reason. */
function formatSpoiledStreams({ state }: MetricsSources): string {
  const name = 'gentiandeck_spoiled_streams_total';
  const lines = Object.values(SpoilReason).map(
    (reason) => `${name}{reason="${reason}"} ${state.spoiledStreams.get(reason) ?? 0}\n`,
  );
  return [`# TYPE ${name} counter\n`, ...lines].join('');
}

/** Formats the number of answers without a length that ended in order, by what was found of their servers. */
function formatUnframedEnds({ state }: MetricsSources): string {
  const name = 'gentiandeck_unframed_ends_total';
  const lines = Object.values(LifeEvidence).map(
    (evidence) => `${name}{evidence="${evidence}"} ${state.unframedEnds.get(evidence) ?? 0}\n`,
  );
  return [`# TYPE ${name} counter\n`, ...lines].join('');
}

/** Formats the number of requests that took up streams, by what became of them. */
function formatStreamTakeUps({ state }: MetricsSources): string {
  const name = 'gentiandeck_stream_take_ups_total';
  const lines = Object.values(TakeUpResult).map(
    (result) => `${name}{result="${result}"} ${state.streams.takeUps.get(result) ?? 0}\n`,
  );
  return [`# TYPE ${name} counter\n`, ...lines].join('');
}

/** Formats the number of server loads that other VMs have reported, by what became of them. */
function formatLoadReports({ state }: MetricsSources): string {
  const name = 'gentiandeck_server_load_reports_total';
  const lines = Object.values(LoadReportResult).map(
    (result) => `${name}{result="${result}"} ${state.loadExchange.results.get(result) ?? 0}\n`,
  );
  return [`# TYPE ${name} counter\n`, ...lines].join('');
}

/** Formats the number of requests that were passed to other VMs, by how that ended. */
function formatPasses({ state }: MetricsSources): string {
  const name = 'gentiandeck_passed_requests_total';
  const lines = Object.values(PassResult).map(
    (result) => `${name}{result="${result}"} ${state.passResults.get(result) ?? 0}\n`,
  );
  return [`# TYPE ${name} counter\n`, ...lines].join('');
}

/** Formats the number of requests that were rejected because there would be no room in time, by reason. */
function formatEarlyRejections({ state }: MetricsSources): string {
  const name = 'gentiandeck_early_rejections_total';
  const lines = Object.values(EarlyRejection).map(
    (reason) => `${name}{reason="${reason}"} ${state.earlyRejections.get(reason) ?? 0}\n`,
  );
  return [`# TYPE ${name} counter\n`, ...lines].join('');
}

function formatMetrics(sources: MetricsSources): string {
  const { callerConnections, loopWork, metrics, peerCalls } = sources;
  const counters = [metrics, loopWork, peerCalls, callerConnections];
  const texts = counters.map((counter) => counter.formatPrometheus());
  const formats = [
    formatGauges,
    formatHeldBytes,
    formatSpoiledStreams,
    formatUnframedEnds,
    formatStreamTakeUps,
    formatPasses,
    formatLoadReports,
    formatEarlyRejections,
  ];
  return [...texts, ...formats.map((format) => format(sources))].join('');
}

interface Page {
  readonly contentType: string;
  readonly format: (sources: MetricsSources) => string;
}

const PAGES: ReadonlyMap<string, Page> = new Map([
  [METRICS_PATH, { contentType: 'text/plain; version=0.0.4', format: formatMetrics }],
  [STATUS_PATH, { contentType: 'text/plain', format: formatVmStatus }],
]);

/** Creates the metrics server. The caller starts it with `listen`. */
export function createMetricsServer(sources: MetricsSources): Server {
  return http.createServer((request, response) => {
    const page = PAGES.get((request.url ?? '').split('?')[0]!);
    if (page === undefined) {
      response.writeHead(HTTP_NOT_FOUND);
      response.end();
      return;
    }
    response.writeHead(HTTP_OK, { 'content-type': page.contentType });
    response.end(page.format(sources));
  });
}

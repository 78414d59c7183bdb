/**
 * Serves the metrics of an entry VM over HTTP in the Prometheus text format.
 */
import http, { type Server } from 'node:http';
import { countLiveVms, type EntryState, RelayRole } from '../../coordination/entry/state.js';
import { countHeldQuarantines } from '../../state/entry/quarantineTable.js';
import type { Metrics } from '../metrics.js';
import type { EntryLog } from './entryLog.js';

const METRICS_PATH = '/metrics';
const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

/** Reads the current value of a gauge. */
type GaugeReader = (state: EntryState, log: EntryLog) => number;

const GAUGES: Readonly<Record<string, GaugeReader>> = {
  gentiandeck_ready: ({ isReady }) => Number(isReady),
  gentiandeck_configuration_version: ({ deployment }) => deployment?.version ?? 0,
  gentiandeck_backends: ({ backends }) => backends.size,
  gentiandeck_limited_backends: ({ backends }) =>
    [...backends.values()].filter(({ limit }) => limit !== null).length,
  gentiandeck_backends_revision: ({ backendsRevision }) => backendsRevision,
  gentiandeck_open_requests: ({ requests }) => requests.size,
  gentiandeck_live_vms: (state) => countLiveVms(state, Number.POSITIVE_INFINITY),
  gentiandeck_store_reader: ({ relayRole }) => Number(relayRole === RelayRole.Reader),
  gentiandeck_store_reachable: ({ store }) => Number(store.isReachable),
  gentiandeck_controller: ({ placement }) => Number(placement.fence !== null),
  gentiandeck_quarantines: ({ promptEvidence }) => countHeldQuarantines(promptEvidence),
  gentiandeck_known_crashes: ({ promptEvidence }) => promptEvidence.crashes.size,
  gentiandeck_log_lines_dropped: (_state, log) => log.countDropped(),
};

function formatGauges(state: EntryState, log: EntryLog): string {
  return Object.entries(GAUGES)
    .map(([name, read]) => `# TYPE ${name} gauge\n${name} ${read(state, log)}\n`)
    .join('');
}

/** Creates the metrics server. The caller starts it with `listen`. */
export function createMetricsServer(metrics: Metrics, state: EntryState, log: EntryLog): Server {
  return http.createServer((request, response) => {
    if ((request.url ?? '').split('?')[0] !== METRICS_PATH) {
      response.writeHead(HTTP_NOT_FOUND);
      response.end();
      return;
    }
    response.writeHead(HTTP_OK, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(metrics.formatPrometheus() + formatGauges(state, log));
  });
}

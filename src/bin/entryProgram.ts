/**
 * The commands of `gentiandeck-entry`: the daemon of an entry VM on the users' platform, and an operator's commands.
 */
import { Clock, Effect } from 'effect';
import sade from 'sade';
import { readSettings, readSettingsOnce } from '../../platform/settings.js';
import { createPlatformStore } from '../../platform/store.js';
import { PLATFORM_WIRE } from '../../platform/wire.js';
import { EntryLogPrefix, type LogFields } from '../coordination/entry/commands.js';
import { LogLevel } from '../coordination/events.js';
import {
  createDiagnostic,
  type Diagnostic,
  DiagnosticError,
  Diagnostics,
} from '../state/diagnostics.js';
import { startEntryDaemon } from '../transport/entry/entryDaemon.js';
import {
  createEntryLogWriter,
  logUnexpectedError,
} from '../transport/entry/monitoring/entryLog.js';
import { STATUS_PATH } from '../transport/entry/monitoring/metricsServer.js';
import { liftQuarantine, listQuarantines } from '../transport/entry/store/quarantineEditor.js';
import {
  createProcessEnd,
  END_STATUSES,
  EndReason,
  type ProcessEnd,
} from '../transport/entry/lifecycle/processEnd.js';
import { processSignals, SignalRequest } from '../transport/entry/lifecycle/processSignals.js';
import type { EntrySettings } from '../transport/entry/settings.js';
import { createSettingsReloader } from '../transport/entry/lifecycle/settingsReloader.js';
import {
  createStartReport,
  StartPart,
  type StartReport,
} from '../transport/entry/lifecycle/startReport.js';
import { callHttp } from '../transport/httpCall.js';
import type { PrefixStore } from '../transport/keyValueStore.js';
import { describeThrown } from '../transport/thrownValues.js';
import { VERSION } from '../transport/version.js';

const MS_PER_SECOND = 1_000;
const DEFAULT_METRICS_PORT = '9464';
const DEFAULT_LOG_LEVEL = 'info';
/** Timeout of a call to the store; a call to a slow store takes several hundred milliseconds. */
const STORE_TIMEOUT_MS = 1_000;
const STATUS_TIMEOUT_MS = 2_000;
const MAX_PORT = 65_535;
const UNEXPECTED_EVENTS = ['uncaughtException', 'unhandledRejection'] as const;

interface Options {
  readonly metricsPort: number;
  readonly logLevel: string;
}

// A line that nobody can read is no reason to end.
process.stderr.on('error', () => {});

function writeError(text: string): void {
  process.stderr.write(`gentiandeck-entry: ${text}\n`);
}

function getUptimeMs(): number {
  return process.uptime() * MS_PER_SECOND;
}

type ErrorHandler = (error: unknown) => void;

/** One failed socket or promise is not allowed to end the process and all other requests. The last handler applies. */
const unexpectedErrors: { handle: ErrorHandler } = {
  handle: (error) => writeError(`An unexpected error was caught: ${describeThrown(error)}`),
};

async function run(
  settings: EntrySettings,
  { logLevel, metricsPort }: Options,
  startReport: StartReport,
  processEnd: ProcessEnd,
): Promise<void> {
  const { bounds, regionsByDomain, vmId, ...others } = settings;
  const log = createEntryLogWriter(logLevel, vmId);
  const store = createPlatformStore(settings.storeAddress, STORE_TIMEOUT_MS);
  const wire = PLATFORM_WIRE;
  const writeInfo = (text: string, fields: LogFields): void =>
    log.write(LogLevel.Info, EntryLogPrefix.Lifecycle, text, fields);
  unexpectedErrors.handle = (error) => logUnexpectedError(log.write, error);
  writeInfo('The daemon is starting.', {
    version: VERSION,
    nodeVersion: process.version,
    metricsPort,
    regions: [...regionsByDomain].map(([domain, region]) => `${domain}=${region}`).join(' '),
    ...others,
    ...bounds,
  });
  startReport.logTo((level, text, fields) =>
    log.write(level, EntryLogPrefix.Lifecycle, text, fields),
  );
  const daemon = await startEntryDaemon({ settings, metricsPort, store, wire, log, startReport });
  const stop: { signal: string; requestedAtMs: number } = { signal: '', requestedAtMs: 0 };
  processSignals.handle({
    [SignalRequest.Stop]: (signal) => {
      writeInfo('A stop was requested.', { signal });
      startReport.close();
      if (stop.signal === '') {
        Object.assign(stop, { signal, requestedAtMs: getUptimeMs() });
      }
      daemon.stop();
    },
    [SignalRequest.Reload]: createSettingsReloader({
      read: () => readSettingsOnce(process.env),
      apply: daemon.reload,
      writeLog: log.write,
    }),
  });
  const reason = await daemon.ended;
  const stopMs = stop.signal === '' ? 0 : Math.round(getUptimeMs() - stop.requestedAtMs);
  const status = END_STATUSES[reason];
  writeInfo('The process ends.', { reason, status, signal: stop.signal, stopMs });
  await log.close(daemon.getEndLeftMs());
  processEnd.end(reason, status === 0 ? '' : `The process ends with status ${status}: ${reason}.`);
}

function describeError(error: unknown): string {
  return error instanceof DiagnosticError ? error.diagnostic.message : describeThrown(error);
}

async function start(options: Options): Promise<void> {
  const startReport = createStartReport(getUptimeMs);
  startReport.finish(StartPart.Program);
  const processEnd = createProcessEnd({
    onExit: (listener) => process.on('exit', listener),
    exit: (status) => process.exit(status),
    writeError,
  });
  // The settings and the ports may be waited for.
  UNEXPECTED_EVENTS.forEach((event) =>
    process.on(event, (error: unknown) => unexpectedErrors.handle(error)),
  );
  // Nothing has been accepted yet, so a stop needs no shutdown.
  processSignals.handle({
    [SignalRequest.Stop]: (signal) => {
      const { uptimeMs, waitsFor } = startReport.getWait();
      const text = `It ends, since ${signal} requested a stop before the daemon had started.`;
      const detail = `It had run for ${uptimeMs} ms and waited for: ${waitsFor}.`;
      processEnd.end(EndReason.StoppedInStart, `${text} ${detail}`);
    },
  });
  const read = await readSettings(process.env, ({ message }) =>
    writeError(`${message} It is read again for some seconds.`),
  );
  startReport.finish(StartPart.Settings);
  await read.caseOf<Promise<void>>({
    Left: ({ message }) => processEnd.end(EndReason.InvalidSettings, message),
    Right: (settings) =>
      run(settings, options, startReport, processEnd).catch((error: unknown) =>
        processEnd.end(EndReason.StartFailed, describeError(error)),
      ),
  });
}

function fail(error: unknown): void {
  writeError(describeError(error));
  process.exit(END_STATUSES[EndReason.StartFailed]);
}

function parseOptions(flags: Record<string, unknown>): Options | null {
  const portText = String(flags['metrics-port']);
  const metricsPort = Number(portText);
  if (!Number.isInteger(metricsPort) || metricsPort < 1 || metricsPort > MAX_PORT) {
    writeError(`--metrics-port has the value "${portText}"; expected an integer from 1 to 65535`);
    return null;
  }
  return { metricsPort, logLevel: String(flags['log-level']) };
}

/** @throws DiagnosticError if the settings cannot be read or decoded. */
async function requireSettings(): Promise<EntrySettings> {
  const settings = await readSettings(process.env);
  return settings.caseOf<EntrySettings>({
    Left: (diagnostic) => {
      throw new DiagnosticError(diagnostic);
    },
    Right: (decoded) => decoded,
  });
}

/** Runs an operator's command on the store that the settings name. */
async function runOnStore(
  command: (store: PrefixStore) => Effect.Effect<readonly string[], Diagnostic>,
): Promise<void> {
  processSignals.release();
  const { storeAddress } = await requireSettings();
  const store = createPlatformStore(storeAddress, STORE_TIMEOUT_MS);
  const lines = await Effect.runPromise(
    Effect.match(command(store), {
      onFailure: (diagnostic) => {
        throw new DiagnosticError(diagnostic);
      },
      onSuccess: (result) => result,
    }),
  );
  lines.forEach((line) => process.stdout.write(`${line}\n`));
  process.exit();
}

/** Prints the status of the daemon that runs with the same settings file. */
async function printStatus({ metricsPort }: Options): Promise<void> {
  processSignals.release();
  const { host } = await requireSettings();
  const address = `${host}:${metricsPort}`;
  const call = callHttp({
    address,
    method: 'GET',
    path: STATUS_PATH,
    body: null,
    timeoutMs: STATUS_TIMEOUT_MS,
  });
  const text = await Effect.runPromise(
    Effect.match(call, {
      onFailure: () => {
        throw new DiagnosticError(createDiagnostic(Diagnostics.PeerUnavailable, address));
      },
      onSuccess: (response) => response.text,
    }),
  );
  process.stdout.write(text);
  process.exit();
}

function readWallMs(): number {
  return Effect.runSync(Clock.clockWith((clock) => clock.currentTimeMillis));
}

sade('gentiandeck-entry')
  .version(VERSION)
  .describe(
    'The daemon of an entry VM. It reads its settings from a file that the platform supplies.',
  )
  .command('run', 'Run the daemon', { default: true })
  .option('--metrics-port', 'Port of the metrics server', DEFAULT_METRICS_PORT)
  .option('--log-level', 'Minimum log level', DEFAULT_LOG_LEVEL)
  .action((flags: Record<string, unknown>) => {
    const options = parseOptions(flags);
    if (options === null) {
      process.exitCode = END_STATUSES[EndReason.InvalidSettings];
      return;
    }
    start(options).catch(fail);
  })
  .command('status', 'Print how the daemon of this VM gets what it knows of the fleet')
  .option('--metrics-port', 'Port of the metrics server', DEFAULT_METRICS_PORT)
  .action((flags: Record<string, unknown>) => {
    const options = parseOptions(flags);
    if (options === null) {
      process.exitCode = END_STATUSES[EndReason.InvalidSettings];
      return;
    }
    printStatus(options).catch(fail);
  })
  .command('quarantine list', 'List the quarantined prompt parts and requests')
  .action(() => {
    runOnStore((store) => listQuarantines(store, readWallMs())).catch(fail);
  })
  .command(
    'quarantine lift <service> <parts>',
    'Lift the quarantine of prompt parts joined by +, or of a request',
  )
  .action((service: string, parts: string) => {
    runOnStore((store) =>
      Effect.as(liftQuarantine(store, service, parts.split('+'), readWallMs()), []),
    ).catch(fail);
  })
  .parse(process.argv);

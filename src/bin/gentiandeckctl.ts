/**
 * Runs `gentiandeckctl`, the operators' command-line tool. It calls the administration API of any daemon.
 */
import { Effect } from 'effect';
import sade from 'sade';
import { Diagnostics } from '../state/diagnostics.js';
import { createAdminClient, type CtlErrors } from '../transport/ctl/adminClient.js';
import {
  apply,
  checkFile,
  type CtlContext,
  diff,
  issueKey,
  showBurnReport,
  showHistory,
  show,
  showServers,
  showVms,
  validate,
  WHOLE_DOCUMENT,
  withdrawKey,
} from '../transport/ctl/commands.js';
import { VERSION } from '../transport/version.js';

const TOKEN_VARIABLE = 'GENTIANDECK_TOKEN';
const ADMIN_VARIABLE = 'GENTIANDECK_ADMIN';
const DEFAULT_ADMIN = '127.0.0.1:8082';
const DEFAULT_WAIT_MS = 12_000;

/** Exit codes, which scripts evaluate. */
const ExitCode = { Refused: 1, Unreachable: 3, NotInForce: 4, Unknown: 5 } as const;

const EXIT_CODES: ReadonlyMap<number, number> = new Map<number, number>([
  [Diagnostics.PeerUnavailable.code, ExitCode.Unreachable],
  [Diagnostics.StoreUnavailable.code, ExitCode.Unreachable],
  [Diagnostics.NotInForce.code, ExitCode.NotInForce],
  [Diagnostics.StoreUnknown.code, ExitCode.Unknown],
]);

type Options = Readonly<Record<string, unknown>>;

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function reportFailure(errors: CtlErrors): void {
  errors.forEach(({ code, message, path }) => {
    const location = path === undefined ? '' : `${path}: `;
    process.stderr.write(`GD${code}: ${location}${message}\n`);
  });
  process.exitCode = EXIT_CODES.get(errors[0]?.code ?? 0) ?? ExitCode.Refused;
}

function run(effect: Effect.Effect<void, CtlErrors>): Promise<void> {
  return Effect.runPromise(Effect.match(effect, { onFailure: reportFailure, onSuccess: () => {} }));
}

function createContext(options: Options): CtlContext {
  const address = String(options.admin ?? process.env[ADMIN_VARIABLE] ?? DEFAULT_ADMIN);
  return { client: createAdminClient(address, process.env[TOKEN_VARIABLE] ?? ''), print };
}

function getWaitMs(options: Options): number {
  const waitMs = Number(options['wait-ms']);
  return Number.isFinite(waitMs) && waitMs >= 0 ? waitMs : DEFAULT_WAIT_MS;
}

const program = sade('gentiandeckctl')
  .version(VERSION)
  .option('--admin', `Address of a daemon's administration API [${ADMIN_VARIABLE}]`);

program
  .command('check <file>')
  .describe('Check a whole document without a connection to a daemon.')
  .action((file: string) => run(checkFile({ print }, file)));

program
  .command('validate <section> <file>')
  .describe(`Check a section, or "${WHOLE_DOCUMENT}", against the configuration in force.`)
  .action((section: string, file: string, options: Options) =>
    run(validate(createContext(options), section, file)),
  );

program
  .command('diff <section> <file>')
  .describe(`Show how a section, or "${WHOLE_DOCUMENT}", differs from the configuration in force.`)
  .action((section: string, file: string, options: Options) =>
    run(diff(createContext(options), section, file)),
  );

program
  .command('apply <section> <file>')
  .describe(`Apply a section, or "${WHOLE_DOCUMENT}", and wait until it is in force on every VM.`)
  .option('--note', 'A note for the history', '')
  .option('--wait-ms', 'Time to wait for every VM, in milliseconds', DEFAULT_WAIT_MS)
  .action((section: string, file: string, options: Options) => {
    const note = String(options.note ?? '');
    return run(apply(createContext(options), section, file, { note, waitMs: getWaitMs(options) }));
  });

program
  .command('show [section]')
  .describe('Print a section, or the whole document.')
  .action((section: string | undefined, options: Options) =>
    run(show(createContext(options), section ?? WHOLE_DOCUMENT)),
  );

program
  .command('keys issue <workspace> <id>')
  .describe('Issue an API key. It is printed once and not stored.')
  .option('--wait-ms', 'Time to wait for every VM, in milliseconds', DEFAULT_WAIT_MS)
  .action((workspace: string, id: string, options: Options) =>
    run(issueKey(createContext(options), workspace, id, getWaitMs(options))),
  );

program
  .command('keys withdraw <workspace> <id>')
  .describe('Withdraw an API key and wait until every VM rejects it.')
  .option('--wait-ms', 'Time to wait for every VM, in milliseconds', DEFAULT_WAIT_MS)
  .action((workspace: string, id: string, options: Options) =>
    run(withdrawKey(createContext(options), workspace, id, getWaitMs(options))),
  );

program
  .command('history')
  .describe('Print the latest edits.')
  .action((options: Options) => run(showHistory(createContext(options))));

program
  .command('vms')
  .describe('Print every VM and the revision in force on it.')
  .action((options: Options) => run(showVms(createContext(options))));

program
  .command('servers')
  .describe('Print the backend servers in the view of one daemon.')
  .action((options: Options) => run(showServers(createContext(options))));

program
  .command('report burn')
  .describe('Print how fast each workspace uses up its service-level objective, over all VMs.')
  .option('--json', 'Print JSON')
  .action((options: Options) => run(showBurnReport(createContext(options), options.json === true)));

program.parse(process.argv);

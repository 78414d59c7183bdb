/**
 * `gentiandeckctl`, the operators' tool. It speaks to the administration API of any daemon.
 */
import { Effect } from 'effect';
import sade from 'sade';
import { Diagnostics } from '../state/diagnostics.js';
import { createAdminClient, type CtlFailure } from '../transport/ctl/adminClient.js';
import {
  apply,
  checkFile,
  type CtlContext,
  diff,
  issueKey,
  reportBurn,
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

/** What the exit code tells scripts. */
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

function reportFailure(errors: CtlFailure): void {
  errors.forEach(({ code, message, path }) => {
    const place = path === undefined ? '' : `${path}: `;
    process.stderr.write(`GD${code}: ${place}${message}\n`);
  });
  process.exitCode = EXIT_CODES.get(errors[0]?.code ?? 0) ?? ExitCode.Refused;
}

function run(effect: Effect.Effect<void, CtlFailure>): Promise<void> {
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
  .describe('Check a whole document without a daemon.')
  .action((file: string) => run(checkFile({ print }, file)));

program
  .command('validate <section> <file>')
  .describe(`Check a section, or "${WHOLE_DOCUMENT}", with what is in force.`)
  .action((section: string, file: string, options: Options) =>
    run(validate(createContext(options), section, file)),
  );

program
  .command('diff <section> <file>')
  .describe(`Show how a section, or "${WHOLE_DOCUMENT}", differs from what is in force.`)
  .action((section: string, file: string, options: Options) =>
    run(diff(createContext(options), section, file)),
  );

program
  .command('apply <section> <file>')
  .describe(`Put a section, or "${WHOLE_DOCUMENT}", in force and wait for every VM.`)
  .option('--note', 'A note for the history', '')
  .option('--wait-ms', 'Time to wait for every VM', DEFAULT_WAIT_MS)
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
  .describe('Issue a key. It is printed once and kept nowhere.')
  .option('--wait-ms', 'Time to wait for every VM', DEFAULT_WAIT_MS)
  .action((workspace: string, id: string, options: Options) =>
    run(issueKey(createContext(options), workspace, id, getWaitMs(options))),
  );

program
  .command('keys withdraw <workspace> <id>')
  .describe('Withdraw a key and wait until every VM refuses it.')
  .option('--wait-ms', 'Time to wait for every VM', DEFAULT_WAIT_MS)
  .action((workspace: string, id: string, options: Options) =>
    run(withdrawKey(createContext(options), workspace, id, getWaitMs(options))),
  );

program
  .command('history')
  .describe('Print the latest edits.')
  .action((options: Options) => run(showHistory(createContext(options))));

program
  .command('vms')
  .describe('Print every VM and the revision that it has in force.')
  .action((options: Options) => run(showVms(createContext(options))));

program
  .command('servers')
  .describe('Print the backend servers as one daemon sees them.')
  .action((options: Options) => run(showServers(createContext(options))));

program
  .command('report burn')
  .describe('Print how fast each workspace uses up its service-level objective, over all VMs.')
  .option('--json', 'Print JSON')
  .action((options: Options) => run(reportBurn(createContext(options), options.json === true)));

program.parse(process.argv);

/**
 * Runs `gentiandeckd`, the daemon of an entry VM.
 */
import sade from 'sade';
import { DiagnosticError } from '../state/diagnostics.js';
import { startDaemon } from '../transport/daemon.js';
import {
  describeSettings,
  parseSettings,
  SETTING_DEFINITIONS,
  type Settings,
} from '../transport/settings.js';
import { VERSION } from '../transport/version.js';

const EXIT_INVALID_SETTINGS = 2;
const EXIT_START_FAILED = 1;

function writeError(text: string): void {
  process.stderr.write(`gentiandeckd: ${text}\n`);
}

async function run(settings: Settings): Promise<void> {
  try {
    const daemon = await startDaemon(settings);
    process.on('SIGTERM', daemon.stop);
    process.on('SIGINT', daemon.stop);
    await daemon.ended;
    process.exit();
  } catch (error) {
    if (!(error instanceof DiagnosticError)) {
      throw error;
    }
    writeError(error.diagnostic.message);
    process.exitCode = EXIT_START_FAILED;
  }
}

function start(flags: Record<string, unknown>): void {
  parseSettings(flags, process.env).caseOf({
    Left: (errors) => {
      errors.forEach((error) => writeError(error.message));
      process.exitCode = EXIT_INVALID_SETTINGS;
    },
    Right: (settings) => {
      if (flags['check-settings'] === true) {
        process.stdout.write(`${JSON.stringify(describeSettings(settings), null, 2)}\n`);
        return;
      }
      void run(settings);
    },
  });
}

const program = sade('gentiandeckd', true)
  .version(VERSION)
  .describe('The entry daemon. Each flag can also be set with its environment variable.');
Object.values(SETTING_DEFINITIONS).forEach((definition) => {
  program.option(`--${definition.flag}`, `${definition.help} [${definition.variable}]`);
});
program
  .option('--check-settings', 'Print the effective settings and exit')
  .action((flags: Record<string, unknown>) => start(flags))
  .parse(process.argv);

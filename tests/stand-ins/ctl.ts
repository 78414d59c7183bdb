/**
 * Runs the operators' command-line tool as a child process.
 */
import { execFile } from 'node:child_process';
import { getProgramPath } from './processes.js';

/** Exit code, standard output and standard error of a run of the tool. */
export interface CtlResult {
  readonly exitCode: number;
  readonly output: string;
  readonly errors: string;
}

/** Runs the tool against a daemon's administration address. */
export function runCtl(
  adminUrl: string,
  token: string,
  args: readonly string[],
): Promise<CtlResult> {
  const env = {
    ...process.env,
    GENTIANDECK_ADMIN: adminUrl.replace('http://', ''),
    GENTIANDECK_TOKEN: token,
  };
  const program = getProgramPath('src/bin/gentiandeckctl.js');
  return new Promise((resolve) => {
    execFile(process.execPath, [program, ...args], { env }, (error, output, errors) => {
      const exitCode = typeof error?.code === 'number' ? error.code : 0;
      resolve({ exitCode, output, errors });
    });
  });
}

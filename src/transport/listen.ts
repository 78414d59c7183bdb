/**
 * Starts servers. An address may be in use for a while by an earlier process that is still shutting down, or not be configured on
 * the VM yet; the process then waits for it.
 */
import type { Server } from 'node:net';
import { createDiagnostic, DiagnosticError, Diagnostics } from '../state/diagnostics.js';
import { splitAddress } from './httpCall.js';

const RETRY_DELAY_MS = 100;
/** Codes of the errors that end by themselves. */
const PASSING_ERROR_CODES: ReadonlySet<string> = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EMFILE',
  'ENFILE',
]);

/**
 * Starts a server on an address. Resolves once it listens; waits while it cannot, and calls `onWait` once with the reason.
 * Rejects with a DiagnosticError if the address is one on which no process can listen.
 */
export function listen(
  server: Server,
  address: string,
  onWait: (reason: string) => void = () => {},
): Promise<void> {
  const { host, port } = splitAddress(address);
  let isWaiting = false;
  return new Promise((resolve, reject) => {
    const fail = ({ message }: Error): void => {
      const expected = `an address that this process can listen on (${message})`;
      const diagnostic = createDiagnostic(Diagnostics.InvalidSetting, 'listen', address, expected);
      reject(new DiagnosticError(diagnostic));
    };
    const start = (): void => {
      try {
        server.listen({ host, port, exclusive: true });
      } catch (error) {
        fail(error instanceof Error ? error : new Error(String(error)));
      }
    };
    server.on('error', (error: NodeJS.ErrnoException) => {
      if (!PASSING_ERROR_CODES.has(error.code ?? '')) {
        fail(error);
        return;
      }
      if (!isWaiting) {
        isWaiting = true;
        onWait(error.message);
      }
      setTimeout(start, RETRY_DELAY_MS);
    });
    server.once('listening', resolve);
    start();
  });
}

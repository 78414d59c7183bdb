/**
 * Probes a backend server by opening a connection and closing it again.
 */
import net from 'node:net';
import { Effect } from 'effect';
import { Either } from 'purify-ts';
import { ProbeOutcome } from '../../../coordination/entry/events.js';
import { splitAddress } from '../../httpCall.js';

/** Connecting takes a few milliseconds unless a packet was lost. */
const PROBE_TIMEOUT_MS = 300;
/** Errors by which a machine reports that no process listens on the port. */
const REFUSAL_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET']);

/** Connects to an address, and returns the function that ends the probe. Throws if Node.js does not accept the address. */
function startProbe(address: string, report: (outcome: ProbeOutcome) => void): () => void {
  const socket = net.connect(splitAddress(address));
  socket.once('connect', () => {
    socket.destroy();
    report(ProbeOutcome.Accepting);
  });
  socket.once('error', ({ code = '' }: NodeJS.ErrnoException) =>
    report(REFUSAL_CODES.has(code) ? ProbeOutcome.Gone : ProbeOutcome.Unknown),
  );
  return () => socket.destroy();
}

/**
 * Connects to an address. The probe never fails: without a result in time, or with an address that cannot be connected to,
 * the outcome is unknown.
 */
export function probeAddress(address: string): Effect.Effect<ProbeOutcome> {
  const probe = Effect.callback<ProbeOutcome>((resume) => {
    const report = (outcome: ProbeOutcome): void => resume(Effect.succeed(outcome));
    return Either.encase(() => startProbe(address, report)).caseOf<Effect.Effect<void> | undefined>(
      {
        Left: () => {
          report(ProbeOutcome.Unknown);
          return undefined;
        },
        Right: (cancel) => Effect.sync(cancel),
      },
    );
  });
  return Effect.timeoutOrElse(probe, {
    duration: PROBE_TIMEOUT_MS,
    orElse: () => Effect.succeed(ProbeOutcome.Unknown),
  });
}

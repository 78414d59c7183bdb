/**
 * Probes a backend server by opening a connection and closing it again.
 */
import net from 'node:net';
import { Effect } from 'effect';
import { ProbeOutcome } from '../../coordination/entry/events.js';
import { splitAddress } from '../httpCall.js';

/** Connecting takes a few milliseconds unless a packet was lost. */
const PROBE_TIMEOUT_MS = 300;
/** Errors by which a machine reports that no process listens on the port. */
const REFUSAL_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'ECONNRESET']);

/** Connects to an address. The probe never fails: without a result in time, the outcome is unknown. */
export function probeAddress(address: string): Effect.Effect<ProbeOutcome> {
  const probe = Effect.callback<ProbeOutcome>((resume) => {
    const socket = net.connect(splitAddress(address));
    socket.once('connect', () => {
      socket.destroy();
      resume(Effect.succeed(ProbeOutcome.Accepting));
    });
    socket.once('error', ({ code = '' }: NodeJS.ErrnoException) => {
      const outcome = REFUSAL_CODES.has(code) ? ProbeOutcome.Gone : ProbeOutcome.Unknown;
      resume(Effect.succeed(outcome));
    });
    return Effect.sync(() => socket.destroy());
  });
  return Effect.timeoutOrElse(probe, {
    duration: PROBE_TIMEOUT_MS,
    orElse: () => Effect.succeed(ProbeOutcome.Unknown),
  });
}

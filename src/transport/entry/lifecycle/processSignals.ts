/**
 * Holds the signals that would end the process by default while it starts: a stop or a reload that is requested too early is
 * carried out once the daemon runs. Imports nothing, so that it is loaded before all other modules.
 */

/** What the platform requests by a signal. */
export const SignalRequest = { Stop: 'stop', Reload: 'reload' } as const;
export type SignalRequest = (typeof SignalRequest)[keyof typeof SignalRequest];

/** SIGHUP is the first to be taken over. */
const REQUESTS: ReadonlyMap<NodeJS.Signals, SignalRequest> = new Map([
  ['SIGHUP', SignalRequest.Reload],
  ['SIGTERM', SignalRequest.Stop],
  ['SIGINT', SignalRequest.Stop],
  ['SIGQUIT', SignalRequest.Stop],
]);

/** Signals that request nothing; by default, the first opens a debugger and the others end the process. */
const IGNORED_SIGNALS = ['SIGUSR1', 'SIGUSR2', 'SIGALRM'] as const;

function ignoreSignal(): void {}

/** What carries out each request, with the signal that requested it. A request without a handler is held. */
export type SignalHandlers = Readonly<Partial<Record<SignalRequest, (signal: string) => void>>>;

/** The signals of a process. */
export interface ProcessSignals {
  /** Replaces the handlers, and passes held requests on to them. */
  readonly handle: (handlers: SignalHandlers) => void;
  /** Gives the signals back their default actions. */
  readonly release: () => void;
}

type SignalSource = Pick<NodeJS.Process, 'on' | 'off' | 'listeners'>;

/**
 * Takes a signal over. Node.js may have had a listener of its own since before this file was loaded (`--report-on-signal`); it is removed
 * last, so that the signal never has its default action meanwhile.
 */
function listen(source: SignalSource, signal: NodeJS.Signals, listener: () => void): void {
  const earlier = source.listeners(signal);
  source.on(signal, listener);
  earlier.forEach((each) => source.off(signal, each));
}

/** Starts to hold the signals of a process. */
export function holdSignals(source: SignalSource): ProcessSignals {
  const held = new Map<SignalRequest, string>();
  let handlers: SignalHandlers = {};
  const passOn = (request: SignalRequest, signal: string): void => {
    const handler = handlers[request];
    if (handler === undefined) {
      held.set(request, signal);
    } else {
      held.delete(request);
      handler(signal);
    }
  };
  const listeners = [...REQUESTS].map(([signal, request]) => {
    const listener = (): void => passOn(request, signal);
    listen(source, signal, listener);
    return { signal, listener };
  });
  IGNORED_SIGNALS.forEach((signal) => source.on(signal, ignoreSignal));
  return {
    handle: (newHandlers) => {
      handlers = newHandlers;
      [...held].forEach(([request, signal]) => passOn(request, signal));
    },
    release: () => {
      listeners.forEach(({ listener, signal }) => source.off(signal, listener));
      IGNORED_SIGNALS.forEach((signal) => source.off(signal, ignoreSignal));
    },
  };
}

export const processSignals = holdSignals(process);

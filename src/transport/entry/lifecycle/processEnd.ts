/**
 * Tells why a process ends: a process that ends without such a line was ended from outside, or by the runtime.
 */

/** Why a process ends. */
export const EndReason = {
  /** A signal requested it; the graceful shutdown has ended. */
  StopRequested: 'stop_requested',
  /** A signal requested it before the daemon had started. */
  StoppedInStart: 'stopped_in_start',
  InvalidSettings: 'invalid_settings',
  /** An address on which no process can listen, or an unexpected error during the start. */
  StartFailed: 'start_failed',
  LoopStopped: 'loop_stopped',
} as const;
export type EndReason = (typeof EndReason)[keyof typeof EndReason];

/** The status with which a process ends for each reason. */
export const END_STATUSES: Readonly<Record<EndReason, number>> = {
  [EndReason.StopRequested]: 0,
  [EndReason.StoppedInStart]: 0,
  [EndReason.InvalidSettings]: 2,
  [EndReason.StartFailed]: 1,
  [EndReason.LoopStopped]: 1,
};

/** The end of a process. */
export interface ProcessEnd {
  /** Ends the process with the status of a reason, which is told in `text` on standard error unless it is empty. */
  readonly end: (reason: EndReason, text: string) => never;
}

/** What a process is ended with. */
export interface EndingProcess {
  readonly onExit: (listener: (status: number) => void) => void;
  readonly exit: (status: number) => never;
  readonly writeError: (text: string) => void;
}

/** Prepares the end of a process: also one that nothing has requested is told on standard error. */
export function createProcessEnd({ exit, onExit, writeError }: EndingProcess): ProcessEnd {
  let isExplained = false;
  onExit((status) => {
    if (!isExplained) {
      writeError(`The process ends with status ${status}, which nothing has requested.`);
    }
  });
  return {
    end: (reason, text) => {
      isExplained = true;
      if (text !== '') {
        writeError(text);
      }
      return exit(END_STATUSES[reason]);
    },
  };
}

/**
 * Names what closes the connection of a caller whose request has been read and not been answered.
 */

/** What closes the connection of a caller. */
export const CloseCause = {
  /** The caller has ended or reset it. */
  Caller: 'caller',
  /** It was idle for longer than the idle timeout. */
  IdleTimer: 'idleTimer',
  /** The head of a request took longer than the header timeout. */
  HeaderCheck: 'headerCheck',
  /** The VM that has passed the request has closed it: its caller has left, or the VM has ended. */
  Peer: 'peer',
  /** This VM is shutting down. */
  Shutdown: 'shutdown',
  /** An earlier answer on it was the last one. */
  EarlierAnswer: 'earlierAnswer',
  /** Bytes that are no request, or a fault of the connection or of this program. */
  Error: 'error',
} as const;
export type CloseCause = (typeof CloseCause)[keyof typeof CloseCause];

/**
 * Closes connections whose callers were rejected.
 */
import type { Socket } from 'node:net';

/** A caller that is still sending may not read a rejection if the connection is closed at once. */
const REJECTION_READ_MS = 1_000;

/** Closes a connection that has been rejected, once its caller has closed it or had time to read that. */
export function closeAfterRejection(socket: Socket): void {
  const timer = setTimeout(() => socket.destroy(), REJECTION_READ_MS);
  socket.once('close', () => clearTimeout(timer));
}

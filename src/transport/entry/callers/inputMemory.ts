/**
 * Counts what a VM holds of requests that are not complete or not parsed yet, without the data of their bodies, over all its callers: the
 * bound for one connection does not bound what thousands hold together.
 */
import type { Socket } from 'node:net';
import { MemoryPurpose, type VmMemory } from '../../vmMemory.js';

/** The memory for such data. */
export interface InputMemory {
  /** Sets what a connection holds; 0 gives it back. */
  readonly hold: (socket: Socket, bytes: number) => void;
  /** Returns whether all connections together hold less than half of the memory. */
  readonly isHalfFree: () => boolean;
}

/**
 * Creates the memory for such data of a VM.
 *
 * @param onExhausted Called with the connection that has held data for longest when there is not enough memory; what it held
 * counts no more.
 */
export function createInputMemory(
  vmMemory: VmMemory,
  onExhausted: (socket: Socket) => void,
): InputMemory {
  const maxBytes = vmMemory.getMaxBytes(MemoryPurpose.RequestHeads);
  const held = vmMemory.hold(MemoryPurpose.RequestHeads);
  /** In the order in which the connections began to hold data. */
  const heldBytes = new Map<Socket, number>();
  let usedBytes = 0;
  const release = (socket: Socket): void => {
    usedBytes -= heldBytes.get(socket) ?? 0;
    heldBytes.delete(socket);
    held.resize(usedBytes);
  };
  return {
    isHalfFree: () => usedBytes < maxBytes / 2,
    hold: (socket, bytes) => {
      if (bytes === 0) {
        release(socket);
        return;
      }
      usedBytes += bytes - (heldBytes.get(socket) ?? 0);
      heldBytes.set(socket, bytes);
      held.resize(usedBytes);
      while (usedBytes > maxBytes) {
        const [oldest] = heldBytes.keys();
        release(oldest!);
        onExhausted(oldest!);
      }
    },
  };
}

/**
 * The settings of an entry VM: what the platform gives it, and its own flags.
 */
import { ENTRY_POLICY_DEFAULTS, type EntryPolicy } from '../../coordination/entry/policy.js';

/** What the platform says of the VM and of the bounds that hold. */
export interface EntrySettings {
  readonly vmId: string;
  readonly failureDomain: string;
  /** The VM's own IP address. */
  readonly host: string;
  readonly listenAddress: string;
  readonly readyAddress: string;
  readonly peerAddress: string;
  readonly storeAddress: string;
  readonly maxDescriptors: number;
  /** Bounds that the platform states. */
  readonly bounds: Omit<EntryPolicy, keyof typeof ENTRY_POLICY_DEFAULTS>;
}

/** Derives the limits of the decisions from the settings. */
export function createEntryPolicy({ bounds }: EntrySettings): EntryPolicy {
  return { ...ENTRY_POLICY_DEFAULTS, ...bounds };
}

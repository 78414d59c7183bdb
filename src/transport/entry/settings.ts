/**
 * Defines the settings of an entry VM, which the platform supplies, and derives the policy from them.
 */
import { ENTRY_POLICY_DEFAULTS, type EntryPolicy } from '../../coordination/entry/policy.js';

/** Identity, addresses and limits of the VM, as the platform states them. */
export interface EntrySettings {
  readonly vmId: string;
  readonly failureDomain: string;
  /** The region of each failure domain. */
  readonly regionsByDomain: ReadonlyMap<string, string>;
  /** The VM's own IP address. */
  readonly host: string;
  readonly listenAddress: string;
  readonly readyAddress: string;
  readonly peerAddress: string;
  readonly storeAddress: string;
  readonly maxDescriptors: number;
  /** Memory that a process may use. */
  readonly memoryMb: number;
  /** Processor time that the VM may use, in cores. */
  readonly processorShare: number;
  /** Limits of the policy that the platform states; the others are `ENTRY_POLICY_DEFAULTS`. */
  readonly bounds: Omit<EntryPolicy, keyof typeof ENTRY_POLICY_DEFAULTS>;
}

/** Creates the policy from the defaults and the limits of the settings. */
export function createEntryPolicy({ bounds }: EntrySettings): EntryPolicy {
  return { ...ENTRY_POLICY_DEFAULTS, ...bounds };
}

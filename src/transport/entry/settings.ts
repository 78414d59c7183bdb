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
  readonly stopGraceMs: number;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retryReserve: number;
  readonly rateWindowMs: number;
  readonly rateExcessPart: number;
  readonly rateReserveTokens: number;
  readonly takeoverWaitMs: number;
  readonly loadWindowMs: number;
  readonly loadFactor: number;
}

/** Derives the limits of the decisions from the settings. */
export function createEntryPolicy(settings: EntrySettings): EntryPolicy {
  const {
    loadFactor,
    loadWindowMs,
    rateExcessPart,
    rateReserveTokens,
    rateWindowMs,
    retryRatio,
    retryReserve,
    retryWindowMs,
    stopGraceMs,
    takeoverWaitMs,
  } = settings;
  return {
    ...ENTRY_POLICY_DEFAULTS,
    loadFactor,
    loadWindowMs,
    rateExcessPart,
    rateReserveTokens,
    rateWindowMs,
    retryRatio,
    retryReserve,
    retryWindowMs,
    stopGraceMs,
    takeoverWaitMs,
  };
}

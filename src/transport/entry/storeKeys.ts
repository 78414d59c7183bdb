/**
 * The keys that entry VMs keep in the store, and their values.
 */
import { Schema } from 'effect';
import type { Either } from 'purify-ts';
import type { ControllerLeaseHolder, ListedEntryVm } from '../../coordination/entry/events.js';
import { decodeJson } from '../../protocol/json.js';
import type { Diagnostic } from '../../state/diagnostics.js';

const PREFIX = 'gentiandeck/';

/** All lie under one prefix, so that one watch sees them. */
export const EntryKey = {
  Prefix: PREFIX,
  /** One key for each VM, with a lease. */
  Vms: `${PREFIX}vms/`,
  /** Under which the lease of the controller lies, and what it controls. */
  Controllers: `${PREFIX}controllers/`,
  ControllerScope: 'fleet',
  Controller: `${PREFIX}controllers/fleet`,
} as const;

const VmSchema = Schema.Struct({
  vmId: Schema.String,
  incarnation: Schema.String,
  failureDomain: Schema.String,
  peerAddress: Schema.String,
});

const ClaimSchema = Schema.Struct({
  vmId: Schema.String,
  incarnation: Schema.String,
  peerAddress: Schema.String,
});

/** Writes a VM's entry. */
export function encodeListedVm(vm: ListedEntryVm): string {
  return JSON.stringify(vm);
}

/** Reads a VM's entry. */
export function decodeListedVm(text: string): Either<Diagnostic, ListedEntryVm> {
  return decodeJson(VmSchema, text);
}

/** Writes who claims the controller's lease. */
export function encodeControllerClaim(claim: Omit<ControllerLeaseHolder, 'fence'>): string {
  return JSON.stringify(claim);
}

/** Reads who holds the controller's lease; the fence is the version of its key. */
export function decodeControllerClaim(
  text: string,
  version: number,
): Either<Diagnostic, ControllerLeaseHolder> {
  return decodeJson(ClaimSchema, text).map((claim) => ({ ...claim, fence: version }));
}

/**
 * Defines the keys that entry VMs write to the store, and encodes and decodes their values.
 */
import { Schema } from 'effect';
import { Either, Left, Right } from 'purify-ts';
import type { ControllerLeaseHolder } from '../../../coordination/entry/events.js';
import type { ListedEntryVm } from '../../../coordination/entry/peerMessage.js';
import { shiftQuarantine } from '../../../state/entry/evidenceReports.js';
import { type Quarantine, QuarantineStatus } from '../../../state/entry/crashEvidence.js';
import {
  AddressSchema,
  IdSchema,
  PositiveSchema,
  Uint32Schema,
  WallTimeMsSchema,
} from '../../../protocol/fieldSchemas.js';
import { shiftStreamGroup, type StreamGroup } from '../../../state/entry/streamOrigins.js';
import { decodeJson, decodeValue } from '../../../protocol/json.js';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../../../state/diagnostics.js';

const PREFIX = 'gentiandeck/';

/** Keys and key prefixes. All keys have one common prefix. */
export const EntryKey = {
  Prefix: PREFIX,
  /** Prefix of the VMs' registrations: one key for each VM, bound to a lease. */
  Vms: `${PREFIX}vms/`,
  /** The controller lease: its key consists of a prefix and a scope. */
  Controllers: `${PREFIX}controllers/`,
  ControllerScope: 'fleet',
  Controller: `${PREFIX}controllers/fleet`,
  Quarantines: `${PREFIX}quarantines`,
  /** Prefix of the batches of origins of streams: some keys for each process of a VM, bound to leases. */
  Streams: `${PREFIX}streams/`,
} as const;

const VmSchema = Schema.Struct({
  vmId: IdSchema,
  incarnation: Schema.String,
  failureDomain: Schema.String,
  peerAddress: AddressSchema,
  processorShare: PositiveSchema,
});

const LeaseHolderSchema = Schema.Struct({
  vmId: IdSchema,
  incarnation: Schema.String,
  peerAddress: AddressSchema,
});

/** A quarantine in the store; its times are wall clock times. */
const QuarantineSchema = Schema.Struct({
  service: Schema.String,
  /** Without parts, all requests to the service would be rejected. */
  parts: Schema.NonEmptyArray(Schema.String),
  episode: Uint32Schema,
  status: Schema.Literals([QuarantineStatus.Held, QuarantineStatus.Released]),
  firstCrashAtMs: WallTimeMsSchema,
  lastCrashAtMs: WallTimeMsSchema,
  crashCount: Uint32Schema,
});

/** Streams that one software version has begun; the time is a wall clock time. */
const StreamGroupSchema = Schema.Struct({
  service: Schema.String,
  softwareVersion: Schema.String,
  seenAtMs: WallTimeMsSchema,
  streams: Schema.Array(Schema.String),
});

/** The quarantines in the store. One that cannot be decoded costs only itself. */
export interface DecodedQuarantines {
  readonly quarantines: readonly Quarantine[];
  /** Why the others could not be decoded. */
  readonly rejected: readonly Diagnostic[];
}

/** Encodes quarantines whose times are relative to now. */
export function encodeQuarantines(quarantines: readonly Quarantine[], wallMs: number): string {
  const shifted = quarantines.map((quarantine) => shiftQuarantine(quarantine, wallMs));
  return JSON.stringify(
    shifted.map(({ causes, ...quarantine }) => ({ ...quarantine, parts: causes })),
  );
}

/** Decodes quarantines, with times relative to now. Left is `MalformedBody` if the text is not a JSON array. */
export function decodeQuarantines(
  text: string,
  wallMs: number,
): Either<Diagnostic, DecodedQuarantines> {
  return decodeJson(Schema.Array(Schema.Unknown), text).map((items) => {
    const decoded = items.map((item) => decodeValue(QuarantineSchema, item));
    return {
      quarantines: Either.rights(decoded).map(({ parts: causes, ...quarantine }) =>
        shiftQuarantine({ ...quarantine, causes }, -wallMs),
      ),
      rejected: Either.lefts(decoded),
    };
  });
}

/** Returns the key of a batch of a process of a VM. */
export function getStreamBatchKey(vmId: string, incarnation: string, batch: number): string {
  return `${EntryKey.Streams}${vmId}/${incarnation}/${batch}`;
}

/** Encodes a batch of origins of streams, whose times are relative to now. */
export function encodeStreamGroups(groups: readonly StreamGroup[], wallMs: number): string {
  return JSON.stringify(groups.map((group) => shiftStreamGroup(group, Math.round(wallMs))));
}

/** Decodes a batch of origins of streams, with times relative to now. Left is `MalformedBody`. */
export function decodeStreamGroups(
  text: string,
  wallMs: number,
): Either<Diagnostic, readonly StreamGroup[]> {
  return decodeJson(Schema.Array(StreamGroupSchema), text).map((groups) =>
    groups.map((group) => shiftStreamGroup(group, -wallMs)),
  );
}

/** Encodes the registration of a VM. */
export function encodeListedVm(vm: ListedEntryVm): string {
  return JSON.stringify(vm);
}

/** Decodes the registration of a VM under a key. Left is `MalformedBody`, also if it is the registration of another VM. */
export function decodeListedVm(key: string, text: string): Either<Diagnostic, ListedEntryVm> {
  return decodeJson(VmSchema, text).chain((vm) =>
    key === EntryKey.Vms + vm.vmId
      ? Right(vm)
      : Left(createDiagnostic(Diagnostics.MalformedBody, 'the key is that of another VM')),
  );
}

/** Encodes the value that a VM writes when it acquires the controller lease. */
export function encodeControllerLeaseHolder(holder: Omit<ControllerLeaseHolder, 'fence'>): string {
  return JSON.stringify(holder);
}

/** Decodes the holder of the controller lease. The fencing token is the version of the key. */
export function decodeControllerLeaseHolder(
  text: string,
  version: number,
): Either<Diagnostic, ControllerLeaseHolder> {
  return decodeJson(LeaseHolderSchema, text).map((holder) => ({ ...holder, fence: version }));
}

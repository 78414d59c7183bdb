/**
 * Converts between the core types and the generated messages that entry VMs exchange.
 */
import { create } from '@bufbuild/protobuf';
import { type EvidenceReport } from '../../state/entry/evidenceReports.js';
import { type Quarantine, QuarantineStatus } from '../../state/entry/crashEvidence.js';
import type {
  ModelDemand,
  PlacementBoard,
  ServerLoadReport,
  VmReport,
  WorkspaceDemand,
} from '../../state/entry/reports.js';
import type { PeerMessage } from '../../coordination/entry/peerMessage.js';
import type { StoreUpdate } from '../../state/storedItems.js';
import {
  type ModelDemand as ModelDemandWire,
  type PeerMessage as PeerMessageWire,
  PeerMessageSchema,
  type PlacementBoard as PlacementBoardWire,
  type PromptEvidence as PromptEvidenceWire,
  type ServerLoad as ServerLoadWire,
  type VmReport as VmReportWire,
  type WorkspaceDemand as WorkspaceDemandWire,
} from '../gen/entry_pb.js';

/** What a VM answers to a request for the changes of the store. */
export interface StoreReply {
  /** Null if the VM knows nothing of the store, or less than the VM that asks. */
  readonly changes: StoreUpdate | null;
  /** False if the VM's last call to the store failed, or the contents are older than it uses them for. */
  readonly isCurrent: boolean;
  /** Time since the store confirmed the contents; 0 unless they are current. */
  readonly ageMs: number;
  /** Time since a moment until which the VM knows all that the store had; undefined if it knows no such moment. */
  readonly knownAgeMs?: number | undefined;
}

/** The answer to a message. */
export interface PeerReply {
  readonly message: PeerMessage;
  readonly store: StoreReply;
}

const MAX_UINT32 = 2 ** 32 - 1;
const PERCENT = 100;

export const NO_EVIDENCE: EvidenceReport = {
  crashes: [],
  healthyCauses: [],
  quarantines: [],
  limits: [],
  leaving: [],
  brittle: [],
};

function encodeQuarantine({ causes, status, ...quarantine }: Quarantine) {
  const isHeld = status === QuarantineStatus.Held;
  return { ...quarantine, parts: [...causes], isHeld };
}

function decodeEvidence(wire: PromptEvidenceWire | undefined): EvidenceReport {
  if (wire === undefined) {
    return NO_EVIDENCE;
  }
  return {
    crashes: wire.crashes.map(({ address, atMs, bornAtWallMs, serverId, service, suspects }) => ({
      serverId,
      bornAtWallMs,
      service,
      address,
      atMs,
      suspects: suspects.map(({ isAnswering, parts, requestCause }) => ({
        isAnswering,
        parts,
        requestCause,
      })),
    })),
    healthyCauses: wire.healthyParts.map(({ atMs, part, service }) => ({
      service,
      cause: part,
      atMs,
    })),
    quarantines: wire.quarantines.map((quarantine) => ({
      service: quarantine.service,
      causes: quarantine.parts,
      episode: quarantine.episode,
      status: quarantine.isHeld ? QuarantineStatus.Held : QuarantineStatus.Released,
      firstCrashAtMs: quarantine.firstCrashAtMs,
      lastCrashAtMs: quarantine.lastCrashAtMs,
      crashCount: quarantine.crashCount,
    })),
    limits: wire.limits.map(({ bornAtWallMs, requestsPerSecond, serverId, version }) => ({
      serverId,
      bornAtWallMs,
      requestsPerSecond: requestsPerSecond ?? null,
      version,
    })),
    leaving: wire.leaving.map(({ bornAtWallMs, serverId }) => ({ serverId, bornAtWallMs })),
    brittle: wire.brittle.map((report) => ({
      serverId: report.serverId,
      bornAtWallMs: report.bornAtWallMs,
      maxRejectionsPerSecond: report.maxRejectionsPerSecond ?? null,
      version: report.version,
      fullUntilMs: report.fullUntilMs ?? null,
    })),
  };
}

function encodeModelDemand({ adapter, softwareVersion, ...demand }: ModelDemand) {
  const optional = { adapter: adapter ?? undefined, softwareVersion: softwareVersion ?? undefined };
  return { ...demand, ...optional };
}

function encodeWorkspaceDemand({ lenders, ...demand }: WorkspaceDemand) {
  return { ...demand, lenders: [...lenders] };
}

function encodeBoard({ engines, ...board }: PlacementBoard) {
  return {
    ...board,
    engines: engines.map(({ incomingModel, variants, ...engine }) => ({
      ...engine,
      variants: [...variants],
      incomingModel: incomingModel ?? undefined,
    })),
  };
}

function encodeEvidence(evidence: EvidenceReport) {
  const { brittle, crashes, healthyCauses, leaving, limits, quarantines } = evidence;
  return {
    crashes: crashes.map((crash) => ({
      ...crash,
      suspects: crash.suspects.map((suspect) => ({ ...suspect, parts: [...suspect.parts] })),
    })),
    healthyParts: healthyCauses.map(({ cause, ...healthy }) => ({ ...healthy, part: cause })),
    quarantines: quarantines.map(encodeQuarantine),
    limits: limits.map((limit) => ({
      ...limit,
      requestsPerSecond: limit.requestsPerSecond ?? undefined,
    })),
    leaving: [...leaving],
    brittle: brittle.map((report) => ({
      ...report,
      maxRejectionsPerSecond: report.maxRejectionsPerSecond ?? undefined,
      fullUntilMs: report.fullUntilMs ?? undefined,
    })),
  };
}

/** Converts a number that a server has stated, which may be any, to one that the field can hold. */
function toUint32(value: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(value)));
}

function encodeServerLoad(report: ServerLoadReport) {
  return {
    serverId: report.serverId,
    bornAtWallMs: report.bornAtWallMs,
    running: toUint32(report.running),
    waiting: toUint32(report.waiting),
    slots: toUint32(report.slots),
    pacePercent: toUint32(report.pace * PERCENT),
    ageMs: toUint32(report.ageMs),
  };
}

function decodeServerLoad(wire: ServerLoadWire): ServerLoadReport {
  const { ageMs, bornAtWallMs, pacePercent, running, serverId, slots, waiting } = wire;
  return { serverId, bornAtWallMs, running, waiting, slots, pace: pacePercent / PERCENT, ageMs };
}

function encodeMessage(message: PeerMessage) {
  const { board, evidence, fleet, isRelayed, knownBoard, modelDemands, reports, senderId } =
    message;
  return {
    senderId,
    reports: reports.map((report) => ({
      ...report,
      workspaceDemands: report.workspaceDemands.map(encodeWorkspaceDemand),
    })),
    board: board === null ? undefined : encodeBoard(board),
    knownBoard: knownBoard ?? undefined,
    evidence: encodeEvidence(evidence),
    isRelayed,
    isReportRequested: message.isReportRequested,
    configurationVersion: message.configurationVersion,
    modelDemands: modelDemands.map(encodeModelDemand),
    serverLoads: message.serverLoads.map(encodeServerLoad),
    fleet:
      fleet === null ? undefined : { ...fleet, demands: fleet.demands.map(encodeWorkspaceDemand) },
  };
}

/** Encodes a message that requests the changes of the store after a revision, unless that is null. */
export function encodePeerRequest(
  message: PeerMessage,
  storeAfter: number | null,
): PeerMessageWire {
  return create(PeerMessageSchema, {
    ...encodeMessage(message),
    storeAfter: storeAfter ?? undefined,
  });
}

/** Encodes the answer to a message. */
export function encodePeerMessage(message: PeerMessage, store: StoreReply): PeerMessageWire {
  const { ageMs, changes, isCurrent, knownAgeMs } = store;
  return create(PeerMessageSchema, {
    ...encodeMessage(message),
    store:
      changes === null
        ? undefined
        : {
            isSnapshot: changes.isSnapshot,
            items: changes.items.map(({ value, ...item }) => ({
              ...item,
              value: value ?? undefined,
            })),
            revision: changes.revision,
            isCurrent,
            ageMs,
            ...(knownAgeMs === undefined ? {} : { knownAgeMs }),
          },
  });
}

/** Returns whether a number is within those that count in steps of one. */
function isCountable(value: number): boolean {
  return Math.abs(value) <= Number.MAX_SAFE_INTEGER;
}

/** Returns whether all numbers are tokens that a VM can ask for or lend: a negative loan would take tokens instead. */
export function areTokens(...values: readonly number[]): boolean {
  return values.every((value) => value >= 0 && isCountable(value));
}

/**
 * Returns whether all numbers of a message are finite and within the safe integers. With others, no later message would
 * compare as newer.
 */
export function hasFiniteNumbers(value: unknown): boolean {
  if (typeof value === 'number') {
    return isCountable(value);
  }
  return typeof value === 'object' && value !== null
    ? Object.values(value).every(hasFiniteNumbers)
    : true;
}

/** Decodes the changes of the store in an answer. */
export function decodeStoreReply({ store }: PeerMessageWire): StoreReply {
  if (store === undefined) {
    return { changes: null, isCurrent: false, ageMs: 0 };
  }
  const { ageMs, isCurrent, isSnapshot, items, knownAgeMs, revision } = store;
  const changes = {
    isSnapshot,
    items: items.map(({ key, value, version }) => ({ key, value: value ?? null, version })),
    revision,
  };
  return {
    changes,
    isCurrent,
    ageMs: Math.max(0, ageMs),
    knownAgeMs: knownAgeMs === undefined ? undefined : Math.max(0, knownAgeMs),
  };
}

function decodeWorkspaceDemand(wire: WorkspaceDemandWire): WorkspaceDemand {
  return {
    name: wire.name,
    tokensPerSecond: wire.tokensPerSecond,
    lenders: wire.lenders.map(({ spareTokens, vmId }) => ({ vmId, spareTokens })),
  };
}

function decodeModelDemand(wire: ModelDemandWire): ModelDemand {
  return {
    service: wire.service,
    model: wire.model,
    adapter: wire.adapter ?? null,
    tokensPerSecond: wire.tokensPerSecond,
    valuePerSecond: wire.valuePerSecond,
    waitingRequests: wire.waitingRequests,
    softwareVersion: wire.softwareVersion ?? null,
  };
}

function decodeBoard(wire: PlacementBoardWire): PlacementBoard {
  return {
    fence: wire.fence,
    sequence: wire.sequence,
    baseSequence: wire.baseSequence,
    engines: wire.engines.map(({ backendId, bornAtWallMs, incomingModel, sequence, variants }) => ({
      backendId,
      bornAtWallMs,
      variants,
      incomingModel: incomingModel ?? null,
      sequence,
    })),
  };
}

function decodeReport(wire: VmReportWire): VmReport {
  return {
    vmId: wire.vmId,
    incarnation: wire.incarnation,
    failureDomain: wire.failureDomain,
    peerAddress: wire.peerAddress,
    sequence: wire.sequence,
    configurationVersion: wire.configurationVersion,
    backendsRevision: wire.backendsRevision,
    isLeaving: wire.isLeaving,
    workspaceDemands: wire.workspaceDemands.map(decodeWorkspaceDemand),
    vmCount: wire.vmCount,
    ageMs: wire.ageMs,
  };
}

/** Decodes a message, without the changes of the store. */
export function decodePeerMessage(wire: PeerMessageWire): PeerMessage {
  const { board, fleet, knownBoard } = wire;
  return {
    senderId: wire.senderId,
    reports: wire.reports.map(decodeReport),
    board: board === undefined ? null : decodeBoard(board),
    knownBoard:
      knownBoard === undefined ? null : { fence: knownBoard.fence, sequence: knownBoard.sequence },
    evidence: decodeEvidence(wire.evidence),
    isRelayed: wire.isRelayed,
    isReportRequested: wire.isReportRequested,
    configurationVersion: wire.configurationVersion,
    modelDemands: wire.modelDemands.map(decodeModelDemand),
    fleet:
      fleet === undefined
        ? null
        : { demands: fleet.demands.map(decodeWorkspaceDemand), vmCount: fleet.vmCount },
    serverLoads: wire.serverLoads.map(decodeServerLoad),
  };
}

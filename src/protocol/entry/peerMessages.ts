/**
 * Converts between the core types and the generated messages that entry VMs exchange.
 */
import { create } from '@bufbuild/protobuf';
import { type EvidenceReport } from '../../state/entry/evidenceReports.js';
import { type Quarantine, QuarantineStatus } from '../../state/entry/promptEvidence.js';
import type { PlacementBoard, VmReport } from '../../state/entry/reports.js';
import {
  type PeerMessage as PeerMessageWire,
  PeerMessageSchema,
  type PromptEvidence as PromptEvidenceWire,
  type VmReport as VmReportWire,
} from '../gen/entry_pb.js';

/** The content of a gossip message: VM reports, the controller's placement board if one is known, and evidence. */
export interface EntryGossip {
  readonly reports: readonly VmReport[];
  readonly board: PlacementBoard | null;
  /** Its times are relative to the time at which the message was sent. */
  readonly evidence: EvidenceReport;
}

export const NO_EVIDENCE: EvidenceReport = {
  crashes: [],
  healthyParts: [],
  quarantines: [],
  limits: [],
};

function encodeQuarantine({ status, ...quarantine }: Quarantine) {
  const isHeld = status === QuarantineStatus.Held;
  return { ...quarantine, parts: [...quarantine.parts], isHeld };
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
      suspects: suspects.map(({ isAnswering, parts }) => ({ isAnswering, parts })),
    })),
    healthyParts: wire.healthyParts.map(({ atMs, part, service }) => ({ service, part, atMs })),
    quarantines: wire.quarantines.map((quarantine) => ({
      service: quarantine.service,
      parts: quarantine.parts,
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
  };
}

/** Encodes a gossip message. */
export function encodeEntryGossip({ board, evidence, reports }: EntryGossip): PeerMessageWire {
  return create(PeerMessageSchema, {
    reports: reports.map((report) => ({
      ...report,
      workspaceDemands: [...report.workspaceDemands],
      modelDemands: report.modelDemands.map((demand) => ({
        ...demand,
        adapter: demand.adapter ?? undefined,
      })),
    })),
    board:
      board === null
        ? undefined
        : {
            ...board,
            engines: board.engines.map((engine) => ({ ...engine, variants: [...engine.variants] })),
          },
    evidence: {
      crashes: evidence.crashes.map((crash) => ({
        ...crash,
        suspects: crash.suspects.map(({ isAnswering, parts }) => ({
          isAnswering,
          parts: [...parts],
        })),
      })),
      healthyParts: [...evidence.healthyParts],
      quarantines: evidence.quarantines.map(encodeQuarantine),
      limits: evidence.limits.map((limit) => ({
        ...limit,
        requestsPerSecond: limit.requestsPerSecond ?? undefined,
      })),
    },
  });
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
    workspaceDemands: wire.workspaceDemands.map(({ name, spareTokens, tokensPerSecond }) => ({
      name,
      tokensPerSecond,
      spareTokens,
    })),
    modelDemands: wire.modelDemands.map((demand) => ({
      service: demand.service,
      model: demand.model,
      adapter: demand.adapter ?? null,
      tokensPerSecond: demand.tokensPerSecond,
      valuePerSecond: demand.valuePerSecond,
      waitingRequests: demand.waitingRequests,
    })),
  };
}

/** Decodes a gossip message. */
export function decodeEntryGossip(wire: PeerMessageWire): EntryGossip {
  const { board } = wire;
  return {
    reports: wire.reports.map(decodeReport),
    evidence: decodeEvidence(wire.evidence),
    board:
      board === undefined
        ? null
        : {
            fence: board.fence,
            sequence: board.sequence,
            engines: board.engines.map(({ backendId, bornAtWallMs, variants }) => ({
              backendId,
              bornAtWallMs,
              variants,
            })),
          },
  };
}

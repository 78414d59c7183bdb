/**
 * Converts between the core types and the generated messages that entry VMs exchange.
 */
import { create } from '@bufbuild/protobuf';
import type { PlacementBoard, VmReport } from '../../state/entry/reports.js';
import {
  type PeerMessage as PeerMessageWire,
  PeerMessageSchema,
  type VmReport as VmReportWire,
} from '../gen/entry_pb.js';

/** The content of a gossip message: VM reports, and the controller's placement board if one is known. */
export interface EntryGossip {
  readonly reports: readonly VmReport[];
  readonly board: PlacementBoard | null;
}

/** Encodes a gossip message. */
export function encodeEntryGossip({ board, reports }: EntryGossip): PeerMessageWire {
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

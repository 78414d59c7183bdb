/**
 * The exchange between entry VMs. Relays exchange the reports of all relays in rounds with a few others chosen at random;
 * each report includes the demands of the VMs that the relay relays for. Any other VM exchanges its own report with its
 * relay. So what a VM sends and receives does not grow with the number of VMs.
 */
import type { EvidenceReport } from '../../../state/entry/evidenceReports.js';
import {
  createBoardUpdate,
  mergeBoard,
  type PlacementBoard,
  type VmReport,
} from '../../../state/entry/reports.js';
import { createEntryTimer, type EntryCommand, EntryCommandKind } from '../commands.js';
import { EntryEventKind, type EntryEventOf } from '../events.js';
import { type ListedEntryVm, type PeerMessage, StoreRequest } from '../peerMessage.js';
import { PeerCallPurpose } from './peerCallPurpose.js';
import { createRelativeEvidence, mergeEvidence } from './evidenceExchange.js';
import { withoutSpreading } from './evidenceSpread.js';
import {
  type ExchangePeer,
  listExchangePeers,
  listSilentVms,
  selectEvidenceReceivers,
  selectRandom,
} from './exchangePeers.js';
import { summarizeFleet, summarizeModelDemands, summarizeOwnReports } from './fleetDemands.js';
import { dispatchWaiting } from '../requests/dispatchOrder.js';
import { listModelDemands, listWorkspaceDemands } from './ownDemands.js';
import { expireLoanAnswers } from '../limits/rateLoans.js';
import {
  countVmsPerRelay,
  createChangesTimer,
  isRelay,
  markRelayFailed,
  selectRelay,
  updateRelayRole,
} from './relays.js';
import { listNewestLoads, mergeServerLoads, takeOwnLoads } from '../servers/loadReports.js';
import { type EntryState, isShuttingDown, RelayRole } from '../state.js';

/** Reports that were received longer ago than this are not sent on. */
const REPORT_MAX_AGE_MS = 5_000;
/** The record of a VM is removed if no new report of the VM was received for this time. */
const PEER_EXPIRY_MS = 60_000;
/** Work of a relay for each VM that it relays for: their exchanges are spread over this time each. */
const RELAYED_EXCHANGE_MS = 100;
const MAX_RELAYED_INTERVAL_MS = 1_000;
/** Longest time between two answers of a relay, as a fraction of the longest time for which they may be used. */
const MAX_INTERVAL_FRACTION = 0.5;
/** Interval at which the second relay of a failure domain requests the changes of the store from the first. */
const STORE_CHANGES_INTERVAL_MS = 200;
/** The same for each report that relays exchange. */
const RELAY_REPORT_MS = 25;
/** With more relays than this, each round goes to one peer only, which keeps the bytes of a relay bounded. */
const MAX_RELAYS_FOR_FULL_FANOUT = 9;
/** How long a VM that has just started asks its relay again, which may be reading the store for the first time. */
const RELAY_START_MS = 1_500;
const RELAY_START_RETRY_MS = 150;
/** Minimum time between two requests for a newer configuration. */
const MIN_FETCH_INTERVAL_MS = 300;

/** Creates the report of this VM and of the VMs that it relays for, with the next sequence number. */
function createReport(state: EntryState, nowMs: number): VmReport {
  const { failureDomain, incarnation, peerAddress, vmId } = state.self;
  const ownDemands = listWorkspaceDemands(state, nowMs);
  const { demands, vmCount } = summarizeOwnReports(state, ownDemands, nowMs);
  state.reportSequence += 1;
  state.reportedDemands = new Map(
    ownDemands.map(({ name, tokensPerSecond }) => [name, tokensPerSecond]),
  );
  return {
    vmId,
    incarnation,
    failureDomain,
    peerAddress,
    sequence: state.reportSequence,
    configurationVersion: state.deployment?.version ?? 0,
    backendsRevision: state.backendsRevision,
    isLeaving: isShuttingDown(state),
    workspaceDemands: demands,
    vmCount,
    ageMs: 0,
  };
}

/** Returns the recent reports of the other relays. */
function listKnownReports(state: EntryState, nowMs: number): VmReport[] {
  return [...state.peers.values()]
    .filter(
      ({ isRelayedHere, reportReceivedAtMs }) =>
        !isRelayedHere && nowMs - reportReceivedAtMs < REPORT_MAX_AGE_MS,
    )
    .map(({ report, reportReceivedAtMs }) => ({ ...report, ageMs: nowMs - reportReceivedAtMs }));
}

/** Creates a message without reports. */
function createMessage(state: EntryState, nowMs: number): PeerMessage {
  const { board } = state;
  return {
    senderId: state.self.vmId,
    reports: [],
    board: null,
    knownBoard: board === null ? null : { fence: board.fence, sequence: board.sequence },
    evidence: createRelativeEvidence(state, nowMs),
    isRelayed: false,
    isReportRequested: false,
    modelDemands: [],
    fleet: null,
    configurationVersion: state.deployment?.version ?? 0,
    serverLoads: [],
  };
}

function sendToPeer(
  peer: ExchangePeer,
  message: PeerMessage,
  purpose: PeerCallPurpose,
  storeRequest: StoreRequest = StoreRequest.None,
): EntryCommand {
  const { peerAddress, vmId } = peer;
  const kind = EntryCommandKind.SendPeerMessage;
  return { kind, vmId, peerAddress, message, purpose, storeRequest };
}

/** Sends this VM's report to its relay, which answers with the changes of the store and the demands of the fleet. */
function exchangeWithRelay(state: EntryState, relay: ListedEntryVm, nowMs: number): EntryCommand {
  const message = {
    ...createMessage(state, nowMs),
    reports: [createReport(state, nowMs)],
    isRelayed: true,
    modelDemands: listModelDemands(state, nowMs),
    serverLoads: takeOwnLoads(state, nowMs),
  };
  return sendToPeer(relay, message, PeerCallPurpose.Relay, StoreRequest.Relay);
}

/** Sends the demands for models to the controller. */
function reportToController(state: EntryState, report: VmReport, nowMs: number): EntryCommand[] {
  const { controller } = state;
  if (controller === null || controller.vmId === state.self.vmId) {
    return [];
  }
  const modelDemands = summarizeModelDemands(state, nowMs);
  const message = { ...createMessage(state, nowMs), reports: [report], modelDemands };
  return [sendToPeer(controller, message, PeerCallPurpose.ModelDemands)];
}

/** Requests the changes of the store from the first relay of the failure domain, while this VM is the second. */
export function handleStoreChangesTick(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.StoreChangesTick>,
  nowMs: number,
): EntryCommand[] {
  const relay = state.relays.find(({ vmId }) => vmId === state.relayId);
  if (state.relayRole !== RelayRole.Standby || relay === undefined) {
    return [];
  }
  const message = createMessage(state, nowMs);
  return [
    createChangesTimer(STORE_CHANGES_INTERVAL_MS),
    sendToPeer(relay, message, PeerCallPurpose.Relay, StoreRequest.Relay),
  ];
}

/**
 * Sends all known reports to some other relays, which answer with those that they know, and to a VM that may have just
 * started. The report of that one is not requested, since its relay reports its demands.
 */
function exchangeReports(state: EntryState, report: VmReport, nowMs: number): EntryCommand[] {
  const peers = listExchangePeers(state, nowMs);
  const fanout = peers.length > MAX_RELAYS_FOR_FULL_FANOUT ? 1 : state.policy.peerFanout;
  const reports = [report, ...listKnownReports(state, nowMs)];
  const message = createMessage(state, nowMs);
  const send = (peer: ExchangePeer, isReportRequested: boolean): EntryCommand => {
    const board = createBoardUpdate(state.board, state.peers.get(peer.vmId)?.knownBoard ?? null);
    const serverLoads = listNewestLoads(state, false, nowMs);
    const request = { ...message, reports, board, isReportRequested, serverLoads };
    return sendToPeer(peer, request, PeerCallPurpose.Reports);
  };
  return [
    ...selectRandom(state, peers, fanout).map((peer) => send(peer, true)),
    ...selectRandom(state, listSilentVms(state, nowMs), 1).map((peer) => send(peer, false)),
  ];
}

function exchangeWithPeers(state: EntryState, nowMs: number): EntryCommand[] {
  const report = createReport(state, nowMs);
  return [...reportToController(state, report, nowMs), ...exchangeReports(state, report, nowMs)];
}

/** Returns the time between two rounds, which grows where a relay has to answer or to know many others. */
function getIntervalMs(state: EntryState): number {
  const { maxStoreAgeMs, peerIntervalMs } = state.policy;
  const maxRelayedMs = Math.min(MAX_RELAYED_INTERVAL_MS, maxStoreAgeMs * MAX_INTERVAL_FRACTION);
  const loadMs =
    state.relayRole === RelayRole.Relayed
      ? Math.min(maxRelayedMs, countVmsPerRelay(state) * RELAYED_EXCHANGE_MS)
      : state.relays.length * RELAY_REPORT_MS;
  return Math.max(peerIntervalMs, loadMs);
}

/** Sends one round of the exchange and starts the timer of the next. */
export function handlePeerTick(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.PeerTick>,
  nowMs: number,
): EntryCommand[] {
  const kind = EntryEventKind.PeerTick;
  [...state.peers.entries()]
    .filter(([, { reportReceivedAtMs }]) => nowMs - reportReceivedAtMs > PEER_EXPIRY_MS)
    .forEach(([vmId]) => state.peers.delete(vmId));
  expireLoanAnswers(state, nowMs);
  const roleCommands = state.relayRole === null ? [] : updateRelayRole(state, nowMs);
  const relay = state.relayRole === RelayRole.Relayed ? selectRelay(state, nowMs) : null;
  return [
    ...roleCommands,
    createEntryTimer(kind, getIntervalMs(state), { kind }),
    ...(relay === null
      ? exchangeWithPeers(state, nowMs)
      : [exchangeWithRelay(state, relay, nowMs)]),
  ];
}

/** Uses the other relay at once if this VM's relay did not answer or had no current data. */
export function handlePeerCallFailed(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.PeerCallFailed>,
  nowMs: number,
): EntryCommand[] {
  if (event.vmId !== state.relayId || state.relayId === '') {
    return [];
  }
  const isStarting = state.deployment === null && nowMs - state.startedAtMs < RELAY_START_MS;
  if (isStarting) {
    const kind = EntryEventKind.PeerTick;
    return [createEntryTimer(kind, RELAY_START_RETRY_MS, { kind })];
  }
  markRelayFailed(state, event.vmId, nowMs);
  return updateRelayRole(state, nowMs);
}

/** Sends what this VM has just learned of backend servers to those that are to send it on. */
export function handleEvidenceSpread(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.EvidenceSpread>,
  nowMs: number,
): EntryCommand[] {
  state.isEvidenceSpreading = false;
  const message = createMessage(state, nowMs);
  return selectEvidenceReceivers(state, nowMs).map((peer) =>
    sendToPeer(peer, message, PeerCallPurpose.Evidence),
  );
}

function isNewerReport(report: VmReport, known: VmReport | undefined): boolean {
  return (
    known === undefined ||
    known.incarnation !== report.incarnation ||
    report.sequence > known.sequence
  );
}

/**
 * Returns true if the known report of a VM comes from the process that the store lists, and the new report from another
 * process. A report of an earlier process must not replace that of a later one.
 */
function isFromUnlistedProcess(state: EntryState, report: VmReport): boolean {
  const listed = state.listedVms.find(({ vmId }) => vmId === report.vmId);
  const known = state.peers.get(report.vmId)?.report;
  return (
    known !== undefined &&
    known.incarnation !== report.incarnation &&
    listed?.incarnation === known.incarnation
  );
}

function mergeReport(
  state: EntryState,
  report: VmReport,
  isRelayedHere: boolean,
  nowMs: number,
): void {
  const known = state.peers.get(report.vmId);
  const isOwn = report.vmId === state.self.vmId;
  if (!isOwn && !isFromUnlistedProcess(state, report) && isNewerReport(report, known?.report)) {
    const knownBoard = known?.knownBoard ?? null;
    const reportReceivedAtMs = nowMs - report.ageMs;
    state.peers.set(report.vmId, { report, reportReceivedAtMs, isRelayedHere, knownBoard });
  }
}

/** Copies the adapter placement of the board to the backend servers. */
function applyBoard(state: EntryState): void {
  state.board?.engines.forEach(({ backendId, bornAtWallMs, variants }) => {
    const backend = state.backends.get(backendId);
    if (backend?.entry.bornAtWallMs === bornAtWallMs) {
      backend.controllerAdapters = new Set(variants);
    }
  });
}

function mergeBoardUpdate(
  state: EntryState,
  update: PlacementBoard | null,
  nowMs: number,
): EntryCommand[] {
  const merged = mergeBoard(state.board, update);
  if (merged === state.board) {
    return [];
  }
  state.board = merged;
  applyBoard(state);
  return dispatchWaiting(state, nowMs);
}

/** Merges evidence. Only a relay sends on at once what it hears; any other VM tells it with its next exchange. */
function mergeHeardEvidence(
  state: EntryState,
  evidence: EvidenceReport,
  nowMs: number,
): EntryCommand[] {
  const merge = (): EntryCommand[] => mergeEvidence(state, evidence, nowMs);
  return isRelay(state, state.self.vmId) ? merge() : withoutSpreading(state, merge);
}

function mergeMessage(state: EntryState, message: PeerMessage, nowMs: number): EntryCommand[] {
  const { board, evidence, fleet, isRelayed, knownBoard, modelDemands, reports, senderId } =
    message;
  reports.forEach((report) => mergeReport(state, report, isRelayed, nowMs));
  mergeServerLoads(state, message.serverLoads, nowMs);
  const sender = state.peers.get(senderId);
  if (sender !== undefined) {
    sender.knownBoard = knownBoard;
  }
  if (isRelayed || modelDemands.length > 0) {
    const demands = { demands: modelDemands, receivedAtMs: nowMs, isRelayedHere: isRelayed };
    state.modelDemandsByVm.set(senderId, demands);
  }
  if (fleet !== null) {
    state.fleetDemand = { ...fleet, receivedAtMs: nowMs };
  }
  return [...mergeHeardEvidence(state, evidence, nowMs), ...mergeBoardUpdate(state, board, nowMs)];
}

function createReply(state: EntryState, request: PeerMessage, nowMs: number): PeerMessage {
  const { isRelayed, isReportRequested, knownBoard, reports, serverLoads } = request;
  const sentIds = new Set(serverLoads.map(({ serverId }) => serverId));
  const names = new Set(
    reports.flatMap(({ workspaceDemands }) => workspaceDemands.map(({ name }) => name)),
  );
  return {
    ...createMessage(state, nowMs),
    board: createBoardUpdate(state.board, knownBoard),
    reports: isReportRequested
      ? [createReport(state, nowMs), ...listKnownReports(state, nowMs)]
      : [],
    fleet: isRelayed ? summarizeFleet(state, names, nowMs) : null,
    serverLoads:
      isRelayed || isReportRequested ? listNewestLoads(state, isRelayed, nowMs, sentIds) : [],
  };
}

/** Requests the store's contents from a VM that reports a later configuration, or later servers in an outage. */
function fetchNewerState(
  state: EntryState,
  reports: readonly VmReport[],
  nowMs: number,
): EntryCommand[] {
  const version = state.deployment?.version ?? 0;
  const newer = reports.find(
    (report) =>
      report.vmId !== state.self.vmId &&
      (report.configurationVersion > version ||
        (!state.store.isReachable && report.backendsRevision > state.backendsRevision)),
  );
  if (newer === undefined || nowMs - state.fetchedAtMs < MIN_FETCH_INTERVAL_MS) {
    return [];
  }
  state.fetchedAtMs = nowMs;
  const message = createMessage(state, nowMs);
  return [sendToPeer(newer, message, PeerCallPurpose.Fetch, StoreRequest.Fetch)];
}

/**
 * Merges a peer message, and answers it if the sender expects an answer. A relay answers a VM that it relays for with the
 * demands of the fleet, any other peer with the reports that it knows.
 */
export function handlePeerMessage(
  state: EntryState,
  { message, replyId }: EntryEventOf<typeof EntryEventKind.PeerMessage>,
  nowMs: number,
): EntryCommand[] {
  const commands = mergeMessage(state, message, nowMs);
  if (replyId !== null) {
    const reply = createReply(state, message, nowMs);
    commands.push({ kind: EntryCommandKind.ReplyToPeer, replyId, message: reply });
  }
  return message.isRelayed
    ? commands
    : [...commands, ...fetchNewerState(state, message.reports, nowMs)];
}

/**
 * Gossip between entry VMs. Each round sends the reports of all known VMs to a few peers chosen at random, so that a
 * report also reaches VMs that cannot connect to the VM it comes from.
 */
import { isLaterBoard, type ModelDemand, type VmReport } from '../../state/entry/reports.js';
import { nextRandomInt } from '../../state/random.js';
import { getDemand, listDemands } from './demand.js';
import { createEntryTimer, type EntryCommand, EntryCommandKind } from './commands.js';
import { EntryEventKind, type EntryEventOf } from './events.js';
import { countWaitingRequests, dispatchWaiting } from './forwarding.js';
import { createRelativeEvidence, mergeEvidence } from './evidenceExchange.js';
import { listWorkspaceDemands } from './rateLoans.js';
import { type EntryState, isShuttingDown } from './state.js';

/** Reports that were received longer ago than this are not sent on. */
const REPORT_MAX_AGE_MS = 5_000;
/** Number of peers to which new evidence is sent at once; three hops then reach a hundred VMs. */
const EVIDENCE_FANOUT = 5;
/** The record of a VM is removed if no new report of the VM was received for this time. */
const PEER_EXPIRY_MS = 60_000;

function listModelDemands(state: EntryState, nowMs: number): ModelDemand[] {
  const waiting = countWaitingRequests(state);
  return listDemands(state.modelDemand, nowMs).map(({ name, tokensPerSecond }) => {
    const [service = '', variant = ''] = name.split(' ');
    const [model = '', adapter = null] = variant.split('/');
    return {
      service,
      model,
      adapter,
      tokensPerSecond,
      valuePerSecond: getDemand(state.weightedModelDemand, name, nowMs),
      waitingRequests: waiting.get(name) ?? 0,
    };
  });
}

/** Creates the report of this VM, with the next sequence number. */
export function createOwnReport(state: EntryState, nowMs: number): VmReport {
  const { failureDomain, incarnation, peerAddress, vmId } = state.self;
  const workspaceDemands = listWorkspaceDemands(state, nowMs);
  state.reportSequence += 1;
  state.reportedDemands = new Map(
    workspaceDemands.map(({ name, tokensPerSecond }) => [name, tokensPerSecond]),
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
    workspaceDemands,
    modelDemands: listModelDemands(state, nowMs),
  };
}

function collectReports(state: EntryState, nowMs: number): VmReport[] {
  const known = [...state.peers.values()]
    .filter(({ reportReceivedAtMs }) => nowMs - reportReceivedAtMs < REPORT_MAX_AGE_MS)
    .map(({ report }) => report);
  return [createOwnReport(state, nowMs), ...known];
}

/** Returns the addresses of the other VMs, from the store's list and from recent reports. */
function listPeerAddresses(state: EntryState, nowMs: number): string[] {
  const addresses = new Map(state.listedVms.map((vm) => [vm.vmId, vm.peerAddress]));
  state.peers.forEach(({ reportReceivedAtMs, report }, vmId) => {
    if (nowMs - reportReceivedAtMs < state.policy.vmGoneMs) {
      addresses.set(vmId, report.peerAddress);
    }
  });
  addresses.delete(state.self.vmId);
  return [...new Set(addresses.values())];
}

function selectRandomPeers(state: EntryState, count: number, nowMs: number): string[] {
  const candidates = listPeerAddresses(state, nowMs);
  const selected: string[] = [];
  while (candidates.length > 0 && selected.length < count) {
    selected.push(...candidates.splice(nextRandomInt(state.random, candidates.length), 1));
  }
  return selected;
}

/** Sends one gossip round and starts the timer of the next. */
export function handlePeerTick(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.PeerTick>,
  nowMs: number,
): EntryCommand[] {
  const kind = EntryEventKind.PeerTick;
  [...state.peers.entries()]
    .filter(([, { reportReceivedAtMs }]) => nowMs - reportReceivedAtMs > PEER_EXPIRY_MS)
    .forEach(([vmId]) => state.peers.delete(vmId));
  const peerAddresses = selectRandomPeers(state, state.policy.peerFanout, nowMs);
  const reports = peerAddresses.length === 0 ? [] : collectReports(state, nowMs);
  const { board } = state;
  const evidence = createRelativeEvidence(state, nowMs);
  return [
    createEntryTimer(kind, state.policy.peerIntervalMs, { kind }),
    ...peerAddresses.map((peerAddress): EntryCommand => ({
      kind: EntryCommandKind.SendPeerMessage,
      peerAddress,
      reports,
      board,
      evidence,
    })),
  ];
}

/** Sends new evidence to some peers chosen at random, who send it on. */
export function handleEvidenceSpread(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.EvidenceSpread>,
  nowMs: number,
): EntryCommand[] {
  state.isEvidenceSpreading = false;
  const evidence = createRelativeEvidence(state, nowMs);
  return selectRandomPeers(state, EVIDENCE_FANOUT, nowMs).map((peerAddress) => ({
    kind: EntryCommandKind.SendPeerMessage,
    peerAddress,
    reports: [],
    board: null,
    evidence,
  }));
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

function mergeReport(state: EntryState, report: VmReport, nowMs: number): void {
  const known = state.peers.get(report.vmId)?.report;
  const isOwn = report.vmId === state.self.vmId;
  if (!isOwn && !isFromUnlistedProcess(state, report) && isNewerReport(report, known)) {
    state.peers.set(report.vmId, { report, reportReceivedAtMs: nowMs });
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

/**
 * Merges the reports and the board of a peer message, and answers it if the sender expects an answer. Fetches the
 * configuration and the backend servers from a VM that reports a newer configuration, or newer backend servers while
 * the store is unreachable.
 */
export function handlePeerMessage(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.PeerMessage>,
  nowMs: number,
): EntryCommand[] {
  const { board, evidence, replyId, reports } = event;
  reports.forEach((report) => mergeReport(state, report, nowMs));
  const commands = mergeEvidence(state, evidence, nowMs);
  if (board !== null && isLaterBoard(board, state.board)) {
    state.board = board;
    applyBoard(state);
    commands.push(...dispatchWaiting(state, nowMs));
  }
  if (replyId !== null) {
    commands.push({
      kind: EntryCommandKind.ReplyToPeer,
      replyId,
      reports: collectReports(state, nowMs),
      board: state.board,
      evidence: createRelativeEvidence(state, nowMs),
    });
  }
  const version = state.deployment?.version ?? 0;
  const newer = reports.find(
    (report) =>
      report.configurationVersion > version ||
      (!state.store.isReachable && report.backendsRevision > state.backendsRevision),
  );
  if (newer !== undefined && newer.vmId !== state.self.vmId) {
    commands.push({ kind: EntryCommandKind.FetchFromPeer, peerAddress: newer.peerAddress });
  }
  return commands;
}

/**
 * What entry VMs tell each other. Each round goes to a few random peers and carries the reports of all VMs,
 * so that news spreads even where two VMs cannot reach each other.
 */
import { isLaterBoard, type ModelDemand, type VmReport } from '../../state/entry/reports.js';
import { nextRandomInt } from '../../state/random.js';
import { getDemand, listDemands } from './demand.js';
import { createEntryTimer, type EntryCommand, EntryCommandKind } from './commands.js';
import { EntryEventKind, type EntryEventOf } from './events.js';
import { countWaiting, pumpWaiting } from './forwarding.js';
import { describeWorkspaces } from './rateLoans.js';
import { type EntryState, isLeaving } from './state.js';

/** A report that has not changed for this time is not passed on. */
const REPORT_MAX_AGE_MS = 5_000;
/** A VM unheard for this time is forgotten. */
const FORGET_MS = 60_000;

function listModelDemands(state: EntryState, nowMs: number): ModelDemand[] {
  const waiting = countWaiting(state);
  return listDemands(state.modelDemand, nowMs).map(({ name, tokensPerSecond }) => {
    const [service = '', variant = ''] = name.split(' ');
    const [model = '', adapter = null] = variant.split('/');
    return {
      service,
      model,
      adapter,
      tokensPerSecond,
      valuePerSecond: getDemand(state.modelValue, name, nowMs),
      waitingRequests: waiting.get(name) ?? 0,
    };
  });
}

/** Describes this VM. */
export function createOwnReport(state: EntryState, nowMs: number): VmReport {
  const { failureDomain, incarnation, peerAddress, vmId } = state.self;
  const workspaceDemands = describeWorkspaces(state, nowMs);
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
    isLeaving: isLeaving(state),
    workspaceDemands,
    modelDemands: listModelDemands(state, nowMs),
  };
}

function collectReports(state: EntryState, nowMs: number): VmReport[] {
  const known = [...state.peers.values()]
    .filter(({ heardAtMs }) => nowMs - heardAtMs < REPORT_MAX_AGE_MS)
    .map(({ report }) => report);
  return [createOwnReport(state, nowMs), ...known];
}

/** Addresses of the other VMs, by the store's list and by what was heard. */
function listPeerAddresses(state: EntryState, nowMs: number): string[] {
  const addresses = new Map(state.listedVms.map((vm) => [vm.vmId, vm.peerAddress]));
  state.peers.forEach(({ heardAtMs, report }, vmId) => {
    if (nowMs - heardAtMs < state.policy.vmGoneMs) {
      addresses.set(vmId, report.peerAddress);
    }
  });
  addresses.delete(state.self.vmId);
  return [...new Set(addresses.values())];
}

function drawPeers(state: EntryState, nowMs: number): string[] {
  const rest = listPeerAddresses(state, nowMs);
  const drawn: string[] = [];
  while (rest.length > 0 && drawn.length < state.policy.peerFanout) {
    drawn.push(...rest.splice(nextRandomInt(state.random, rest.length), 1));
  }
  return drawn;
}

/** Sends one round and starts the timer of the next. */
export function handlePeerTick(
  state: EntryState,
  _event: EntryEventOf<typeof EntryEventKind.PeerTick>,
  nowMs: number,
): EntryCommand[] {
  const kind = EntryEventKind.PeerTick;
  [...state.peers.entries()]
    .filter(([, { heardAtMs }]) => nowMs - heardAtMs > FORGET_MS)
    .forEach(([vmId]) => state.peers.delete(vmId));
  const peerAddresses = drawPeers(state, nowMs);
  const reports = peerAddresses.length === 0 ? [] : collectReports(state, nowMs);
  const { board } = state;
  return [
    createEntryTimer(kind, state.policy.peerIntervalMs, { kind }),
    ...peerAddresses.map((peerAddress): EntryCommand => ({
      kind: EntryCommandKind.SendPeerMessage,
      peerAddress,
      reports,
      board,
    })),
  ];
}

function isLaterReport(report: VmReport, known: VmReport | undefined): boolean {
  return (
    known === undefined ||
    known.incarnation !== report.incarnation ||
    report.sequence > known.sequence
  );
}

/** A report of an earlier process of a VM must not replace that of the later one. */
function isStale(state: EntryState, report: VmReport): boolean {
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
  if (!isOwn && !isStale(state, report) && isLaterReport(report, known)) {
    state.peers.set(report.vmId, { report, heardAtMs: nowMs });
  }
}

/** Takes over where the controller has placed adapters. */
function applyBoard(state: EntryState): void {
  state.board?.engines.forEach(({ backendId, bornAtWallMs, variants }) => {
    const backend = state.backends.get(backendId);
    if (backend?.entry.bornAtWallMs === bornAtWallMs) {
      backend.orderedAdapters = new Set(variants);
    }
  });
}

/** Merges a message; a peer that knows later versions than the store tells this VM is asked for them. */
export function handlePeerMessage(
  state: EntryState,
  event: EntryEventOf<typeof EntryEventKind.PeerMessage>,
  nowMs: number,
): EntryCommand[] {
  const { board, replyId, reports } = event;
  reports.forEach((report) => mergeReport(state, report, nowMs));
  const commands: EntryCommand[] = [];
  if (board !== null && isLaterBoard(board, state.board)) {
    state.board = board;
    applyBoard(state);
    commands.push(...pumpWaiting(state, nowMs));
  }
  if (replyId !== null) {
    commands.push({
      kind: EntryCommandKind.AnswerPeer,
      replyId,
      reports: collectReports(state, nowMs),
      board: state.board,
    });
  }
  const version = state.deployment?.version ?? 0;
  const later = reports.find(
    (report) =>
      report.configurationVersion > version ||
      (!state.store.isReachable && report.backendsRevision > state.backendsRevision),
  );
  if (later !== undefined && later.vmId !== state.self.vmId) {
    commands.push({ kind: EntryCommandKind.FetchFromPeer, peerAddress: later.peerAddress });
  }
  return commands;
}

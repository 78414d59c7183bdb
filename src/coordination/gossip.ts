/**
 * Gossip among the VMs: who lives, which revision each has in force, which backend servers leave.
 *
 * Each round goes to a few random peers and carries a bounded number of members, the least recently
 * sent first, so that the cost of a round does not grow with the fleet.
 */
import { nextRandomInt } from '../state/random.js';
import type { GossipMessage, LeavingServer, Member } from '../state/types.js';
import { evenOutSlices } from './evening.js';
import { type Command, CommandKind, createTickTimer, EventKind, type EventOf } from './events.js';
import { findDomainMembers, findLiveMembers, SEED_INCARNATION } from './members.js';
import { Lifecycle, type MemberRecord, type NodeState } from './nodeState.js';
import { readShares, reconcileShares } from './shareHandlers.js';

/** A mark that a server is leaving lapses unless it is renewed within this time. */
export const LEAVING_MARK_MS = 30_000;
/** Part of a message that tells of members of other failure domains. */
const REMOTE_PART = 0.25;
/** A member unheard for this many times the "gone" limit is forgotten. */
const FORGET_FACTOR = 5;
/** Rounds between two looks for members to forget, which visit all of them. */
const FORGET_ROUNDS = 30;
/** Rounds between two counts of all live VMs. */
const COUNT_ROUNDS = 4;

/** Describes this VM. */
export function createSelfMember(state: NodeState): Member {
  const { self } = state;
  return {
    vmId: self.vmId,
    incarnation: self.incarnation,
    failureDomain: self.failureDomain,
    peerAddress: self.peerAddress,
    heartbeat: state.heartbeat,
    revision: state.configuration?.head.revision ?? 0,
    leaving: state.lifecycle !== Lifecycle.Running,
    shareUnits: state.share.units,
    pledgedGrant: state.share.pledge?.grant ?? 0,
  };
}

/** Removes and returns random elements of a list, at most `count`. */
function drawRandom<T>(state: NodeState, items: readonly T[], count: number): T[] {
  const rest = [...items];
  const drawn: T[] = [];
  while (rest.length > 0 && drawn.length < count) {
    const [item] = rest.splice(nextRandomInt(state.random, rest.length), 1);
    drawn.push(item!);
  }
  return drawn;
}

function findMembersById(state: NodeState, ids: readonly string[]): Member[] {
  return ids.flatMap((id) => state.members.get(id)?.member ?? []);
}

/** Members to tell of: mostly of the own failure domain, for which this VM speaks. */
function chooseMembers(state: NodeState): Member[] {
  const places = state.policy.gossipMaxMembers - 1;
  const { local, remote } = state.heardMembers;
  const remoteIds = drawRandom(state, remote, Math.ceil(places * REMOTE_PART));
  const localIds = drawRandom(state, local, places - remoteIds.length);
  return findMembersById(state, [...localIds, ...remoteIds]);
}

function createMessage(state: NodeState): GossipMessage {
  return {
    fromVmId: state.self.vmId,
    revision: state.configuration?.head.revision ?? 0,
    members: [createSelfMember(state), ...chooseMembers(state)],
    leavingServers: [...state.leavingServers.values()].map((record) => record.mark),
    shareVersion: state.share.version,
  };
}

function isNewer(message: Member, known: MemberRecord, isDirect: boolean): boolean {
  if (message.incarnation !== known.member.incarnation) {
    return isDirect || message.heartbeat > known.member.heartbeat;
  }
  return message.heartbeat > known.member.heartbeat;
}

/** A seed is known by its address alone and makes way for the member behind it. */
function dropSeed(state: NodeState, member: Member): void {
  const { peerAddress, vmId } = member;
  if (vmId !== peerAddress) {
    state.members.delete(peerAddress);
  }
}

/** Keeps the index of members, and counts what the plan of the shares depends on. */
function noteChange(state: NodeState, member: Member, known: Member | undefined): void {
  const { local, remote } = state.heardMembers;
  if (known === undefined || known.incarnation === SEED_INCARNATION) {
    (member.failureDomain === state.self.failureDomain ? local : remote).push(member.vmId);
  }
  const isSame =
    known !== undefined &&
    known.incarnation === member.incarnation &&
    known.leaving === member.leaving &&
    known.shareUnits === member.shareUnits &&
    known.pledgedGrant === member.pledgedGrant;
  state.memberChanges += isSame ? 0 : 1;
}

function mergeMember(state: NodeState, member: Member, isDirect: boolean, nowMs: number): void {
  if (member.vmId === state.self.vmId) {
    return;
  }
  const known = state.members.get(member.vmId);
  if (known !== undefined && !isNewer(member, known, isDirect)) {
    return;
  }
  noteChange(state, member, known?.member);
  state.members.set(member.vmId, { member, heardAtMs: nowMs });
  dropSeed(state, member);
  if (member.failureDomain === state.self.failureDomain) {
    state.domainHeardAtMs = nowMs;
  }
}

function mergeLeavingServer(state: NodeState, mark: LeavingServer, nowMs: number): void {
  const known = state.leavingServers.get(mark.name);
  if (known === undefined || mark.version > known.mark.version) {
    state.leavingServers.set(mark.name, { mark, markedAtMs: nowMs });
  }
}

/** Marks a server as leaving, or renews the mark, for this VM and by gossip for all. */
export function markServerLeaving(state: NodeState, name: string, nowMs: number): void {
  const version = (state.leavingServers.get(name)?.mark.version ?? 0) + 1;
  mergeLeavingServer(state, { name, version }, nowMs);
}

function dropOldMarks(state: NodeState, nowMs: number): void {
  [...state.leavingServers.entries()]
    .filter(([, record]) => nowMs - record.markedAtMs > LEAVING_MARK_MS)
    .forEach(([name]) => state.leavingServers.delete(name));
}

function forgetMembers(state: NodeState, nowMs: number): void {
  if (state.heartbeat % FORGET_ROUNDS !== 0) {
    return;
  }
  const limitMs = state.policy.memberGoneMs * FORGET_FACTOR;
  state.members.forEach(({ heardAtMs, member }, vmId) => {
    if (member.incarnation !== SEED_INCARNATION && nowMs - heardAtMs > limitMs) {
      state.members.delete(vmId);
      state.memberChanges += 1;
    }
  });
  const isKnown = (vmId: string): boolean => state.members.has(vmId);
  state.heardMembers.local = state.heardMembers.local.filter(isKnown);
  state.heardMembers.remote = state.heardMembers.remote.filter(isKnown);
}

/** One peer of another failure domain, the rest of the own, and one that is silent. */
function choosePeers(state: NodeState, nowMs: number): Member[] {
  const { gossipFanout, memberStaleMs } = state.policy;
  const records = [...state.members.values()];
  const isFresh = (record: MemberRecord): boolean => nowMs - record.heardAtMs < memberStaleMs;
  const isLocal = ({ member }: MemberRecord): boolean =>
    member.failureDomain === state.self.failureDomain;
  const fresh = records.filter(isFresh);
  const freshRemote = fresh.filter((record) => !isLocal(record));
  const remote = drawRandom(state, freshRemote, 1);
  const local = drawRandom(state, fresh.filter(isLocal), gossipFanout - remote.length);
  const fill = drawRandom(
    state,
    freshRemote.filter((record) => !remote.includes(record)),
    gossipFanout - remote.length - local.length,
  );
  // One silent member is tried as well, so that a healed cut is noticed.
  const silent = drawRandom(
    state,
    records.filter((record) => !isFresh(record)),
    1,
  );
  return [...remote, ...local, ...fill, ...silent].map((record) => record.member);
}

function createSend(state: NodeState, member: Member): Command {
  return {
    kind: CommandKind.SendGossip,
    peerVmId: member.vmId,
    peerAddress: member.peerAddress,
    message: createMessage(state),
  };
}

/** Tells some peers of a new revision at once, without waiting for the next round. */
export function pushRevision(state: NodeState): Command[] {
  const known = [...state.members.values()].map(({ member }) => member);
  return drawRandom(state, known, state.policy.pushFanout).map((member) =>
    createSend(state, member),
  );
}

/** Counts the live VMs, those of other failure domains less often: a round must not visit all members. */
function countLiveVms(state: NodeState, nowMs: number): void {
  const isDue = state.heartbeat % COUNT_ROUNDS === 0 || state.members.size !== state.countedMembers;
  state.liveVms = {
    inDomain: findDomainMembers(state, nowMs).length + 1,
    all: isDue ? findLiveMembers(state, nowMs).length + 1 : state.liveVms.all,
  };
  state.countedMembers = state.members.size;
}

/** Sends one round and starts the timer of the next. */
export function handleGossipTick(
  state: NodeState,
  _event: EventOf<typeof EventKind.GossipTick>,
  nowMs: number,
): Command[] {
  state.heartbeat += 1;
  dropOldMarks(state, nowMs);
  forgetMembers(state, nowMs);
  countLiveVms(state, nowMs);
  return [
    ...reconcileShares(state, nowMs),
    ...evenOutSlices(state, nowMs),
    ...choosePeers(state, nowMs).map((member) => createSend(state, member)),
    createTickTimer(EventKind.GossipTick, state.policy.gossipIntervalMs),
  ];
}

function getSenderAddress(message: GossipMessage): string | undefined {
  return message.members.find((member) => member.vmId === message.fromVmId)?.peerAddress;
}

/** Merges a message; a peer that has a later revision is asked for it. */
export function handleGossipReceived(
  state: NodeState,
  event: EventOf<typeof EventKind.GossipReceived>,
  nowMs: number,
): Command[] {
  const { message, replyId } = event;
  message.members.forEach((member) => {
    mergeMember(state, member, member.vmId === message.fromVmId, nowMs);
  });
  message.leavingServers.forEach((mark) => mergeLeavingServer(state, mark, nowMs));
  const revision = state.configuration?.head.revision ?? 0;
  const peerAddress = getSenderAddress(message);
  const commands: Command[] = [];
  if (replyId !== null) {
    commands.push({ kind: CommandKind.AnswerGossip, replyId, message: createMessage(state) });
  }
  if (message.shareVersion > state.share.version) {
    commands.push(...readShares(state));
  }
  if (message.revision > revision && peerAddress !== undefined) {
    commands.push({ kind: CommandKind.FetchConfiguration, peerAddress, aboveRevision: revision });
  }
  return commands;
}

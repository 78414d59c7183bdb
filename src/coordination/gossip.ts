/**
 * Exchanges gossip with other VMs: which VMs are alive, which configuration revision each has in
 * force, and which backend servers are leaving. Each round sends to a few random peers and carries
 * a bounded, random sample of members, so that its cost does not grow with the fleet.
 */
import { nextRandomInt } from '../state/random.js';
import type { GossipMessage, LeavingServer, Member } from '../state/types.js';
import { rebalanceSlices } from './rebalancing.js';
import { type Command, CommandKind, createTickTimer, EventKind, type EventOf } from './events.js';
import { findLiveDomainMembers, findLiveMembers, SEED_INCARNATION } from './members.js';
import { Lifecycle, type MemberRecord, type VmState } from './vmState.js';
import { readShares, reconcileShares } from './shareHandlers.js';

/** A mark that a backend server is leaving expires unless it is renewed within this time. */
export const LEAVING_MARK_TTL_MS = 30_000;
/** Fraction of a message's members that belong to other failure domains. */
const REMOTE_MEMBERS_FRACTION = 0.25;
/** A member without a new heartbeat for this many times the "gone" limit is removed. */
const MEMBER_EXPIRY_FACTOR = 5;
/** Gossip rounds between two removals of expired members, each of which visits all members. */
const MEMBER_EXPIRY_INTERVAL_ROUNDS = 30;
/** Gossip rounds between two counts of all live VMs. */
const LIVE_COUNT_INTERVAL_ROUNDS = 4;

/** Returns this VM's own entry for gossip messages. */
export function createSelfMember(state: VmState): Member {
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

/** Returns at most `count` random elements of a list, without repetition and without a copy of the list. */
function sampleRandom<T>(state: VmState, items: readonly T[], count: number): T[] {
  const sample: T[] = [];
  const takenIndexes: number[] = [];
  while (sample.length < Math.min(count, items.length)) {
    // Counts among the elements that are left, and then skips those before it that were taken.
    let index = nextRandomInt(state.random, items.length - sample.length);
    let place = 0;
    while (place < takenIndexes.length && takenIndexes[place]! <= index) {
      index += 1;
      place += 1;
    }
    takenIndexes.splice(place, 0, index);
    sample.push(items[index]!);
  }
  return sample;
}

function findMembersById(state: VmState, ids: readonly string[]): Member[] {
  return ids.flatMap((id) => state.members.get(id)?.member ?? []);
}

/** Selects members for a message, mostly of this VM's failure domain, whose state is spread by its own VMs. */
function selectMembers(state: VmState): Member[] {
  const maxOtherMembers = state.policy.gossipMaxMembers - 1;
  const { local, remote } = state.gossipMemberIds;
  const remoteIds = sampleRandom(
    state,
    remote,
    Math.ceil(maxOtherMembers * REMOTE_MEMBERS_FRACTION),
  );
  const localIds = sampleRandom(state, local, maxOtherMembers - remoteIds.length);
  return findMembersById(state, [...localIds, ...remoteIds]);
}

function createMessage(state: VmState): GossipMessage {
  return {
    fromVmId: state.self.vmId,
    revision: state.configuration?.head.revision ?? 0,
    members: [createSelfMember(state), ...selectMembers(state)],
    leavingServers: [...state.leavingServers.values()].map((record) => record.mark),
    shareVersion: state.share.version,
  };
}

/**
 * Returns whether a received member replaces the known one. Another incarnation does so if the
 * member itself sent it or if its heartbeat is higher.
 */
function isNewer(received: Member, known: MemberRecord, isDirect: boolean): boolean {
  if (received.incarnation !== known.member.incarnation) {
    return isDirect || received.heartbeat > known.member.heartbeat;
  }
  return received.heartbeat > known.member.heartbeat;
}

/** Removes a member's seed entry, which is stored under its address until its VM id is received. */
function removeSeed(state: VmState, member: Member): void {
  const { peerAddress, vmId } = member;
  if (vmId !== peerAddress) {
    state.members.delete(peerAddress);
  }
}

/**
 * Indexes a new member by failure domain, and counts changes that the share plan depends on, which are those in this VM's
 * failure domain.
 */
function recordMemberChange(state: VmState, member: Member, known: Member | undefined): void {
  const { local, remote } = state.gossipMemberIds;
  const ownDomain = state.self.failureDomain;
  if (known === undefined || known.incarnation === SEED_INCARNATION) {
    (member.failureDomain === ownDomain ? local : remote).push(member.vmId);
  }
  if (member.failureDomain !== ownDomain && known?.failureDomain !== ownDomain) {
    return;
  }
  const isUnchanged =
    known !== undefined &&
    known.incarnation === member.incarnation &&
    known.leaving === member.leaving &&
    known.shareUnits === member.shareUnits &&
    known.pledgedGrant === member.pledgedGrant;
  state.memberChangeCount += isUnchanged ? 0 : 1;
}

function mergeMember(state: VmState, member: Member, isDirect: boolean, nowMs: number): void {
  if (member.vmId === state.self.vmId) {
    return;
  }
  const known = state.members.get(member.vmId);
  if (known !== undefined && !isNewer(member, known, isDirect)) {
    return;
  }
  recordMemberChange(state, member, known?.member);
  if (known === undefined) {
    state.members.set(member.vmId, { member, heartbeatReceivedAtMs: nowMs });
  } else {
    known.member = member;
    known.heartbeatReceivedAtMs = nowMs;
  }
  removeSeed(state, member);
  if (member.failureDomain === state.self.failureDomain) {
    state.lastDomainContactAtMs = nowMs;
  }
}

function mergeLeavingServer(state: VmState, mark: LeavingServer, nowMs: number): void {
  const known = state.leavingServers.get(mark.name);
  if (known === undefined || mark.version > known.mark.version) {
    state.leavingServers.set(mark.name, { mark, lastRenewedAtMs: nowMs });
  }
}

/** Marks a backend server as leaving or renews its mark; gossip spreads the mark to all VMs. */
export function markServerLeaving(state: VmState, name: string, nowMs: number): void {
  const version = (state.leavingServers.get(name)?.mark.version ?? 0) + 1;
  mergeLeavingServer(state, { name, version }, nowMs);
}

function removeExpiredMarks(state: VmState, nowMs: number): void {
  [...state.leavingServers.entries()]
    .filter(([, record]) => nowMs - record.lastRenewedAtMs > LEAVING_MARK_TTL_MS)
    .forEach(([name]) => state.leavingServers.delete(name));
}

function removeExpiredMembers(state: VmState, nowMs: number): void {
  if (state.heartbeat % MEMBER_EXPIRY_INTERVAL_ROUNDS !== 0) {
    return;
  }
  const limitMs = state.policy.memberGoneMs * MEMBER_EXPIRY_FACTOR;
  state.members.forEach(({ heartbeatReceivedAtMs, member }, vmId) => {
    if (member.incarnation !== SEED_INCARNATION && nowMs - heartbeatReceivedAtMs > limitMs) {
      state.members.delete(vmId);
      state.memberChangeCount += 1;
    }
  });
  const isKnown = (vmId: string): boolean => state.members.has(vmId);
  state.gossipMemberIds.local = state.gossipMemberIds.local.filter(isKnown);
  state.gossipMemberIds.remote = state.gossipMemberIds.remote.filter(isKnown);
}

/**
 * Selects the peers of a round: one of another failure domain, the others of this VM's failure domain
 * as far as it has enough, and one stale member.
 */
function selectPeers(state: VmState, nowMs: number): Member[] {
  const { gossipFanout, memberStaleMs } = state.policy;
  const freshLocal: Member[] = [];
  const freshRemote: Member[] = [];
  const stale: Member[] = [];
  state.members.forEach(({ heartbeatReceivedAtMs, member }) => {
    const isLocal = member.failureDomain === state.self.failureDomain;
    const fresh = isLocal ? freshLocal : freshRemote;
    (nowMs - heartbeatReceivedAtMs < memberStaleMs ? fresh : stale).push(member);
  });
  const remote = sampleRandom(state, freshRemote, 1);
  const local = sampleRandom(state, freshLocal, gossipFanout - remote.length);
  const moreRemote = sampleRandom(
    state,
    freshRemote.filter((member) => !remote.includes(member)),
    gossipFanout - remote.length - local.length,
  );
  // One stale member is contacted as well, so that the end of a network partition is detected.
  return [...remote, ...local, ...moreRemote, ...sampleRandom(state, stale, 1)];
}

function createGossipCommand(state: VmState, member: Member): Command {
  return {
    kind: CommandKind.SendGossip,
    peerVmId: member.vmId,
    peerAddress: member.peerAddress,
    message: createMessage(state),
  };
}

/** Sends a new revision to some random peers immediately, without waiting for the next round. */
export function pushRevision(state: VmState): Command[] {
  const known = [...state.members.values()].map(({ member }) => member);
  return sampleRandom(state, known, state.policy.pushFanout).map((member) =>
    createGossipCommand(state, member),
  );
}

/**
 * Counts the live VMs. The whole fleet is counted less often, since visiting all members in every
 * round would cost too much.
 */
function countLiveVms(state: VmState, nowMs: number): void {
  const isDue =
    state.heartbeat % LIVE_COUNT_INTERVAL_ROUNDS === 0 ||
    state.members.size !== state.memberCountAtLastUpdate;
  state.liveVms = {
    inDomain: findLiveDomainMembers(state, nowMs).length + 1,
    all: isDue ? findLiveMembers(state, nowMs).length + 1 : state.liveVms.all,
  };
  state.memberCountAtLastUpdate = state.members.size;
}

/** Runs one gossip round and starts the timer of the next. */
export function handleGossipTick(
  state: VmState,
  _event: EventOf<typeof EventKind.GossipTick>,
  nowMs: number,
): Command[] {
  state.heartbeat += 1;
  removeExpiredMarks(state, nowMs);
  removeExpiredMembers(state, nowMs);
  countLiveVms(state, nowMs);
  return [
    ...reconcileShares(state, nowMs),
    ...rebalanceSlices(state, nowMs),
    ...selectPeers(state, nowMs).map((member) => createGossipCommand(state, member)),
    createTickTimer(EventKind.GossipTick, state.policy.gossipIntervalMs),
  ];
}

function getSenderAddress(message: GossipMessage): string | undefined {
  return message.members.find((member) => member.vmId === message.fromVmId)?.peerAddress;
}

/** Merges a message, and fetches the configuration from a sender that has a later revision. */
export function handleGossipReceived(
  state: VmState,
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
    commands.push({ kind: CommandKind.ReplyToGossip, replyId, message: createMessage(state) });
  }
  if (message.shareVersion > state.share.version) {
    commands.push(...readShares(state));
  }
  if (message.revision > revision && peerAddress !== undefined) {
    commands.push({ kind: CommandKind.FetchConfiguration, peerAddress, aboveRevision: revision });
  }
  return commands;
}

/**
 * Converts between the core types and the generated messages of the peer protocol.
 */
import { create } from '@bufbuild/protobuf';
import type { GossipMessage, LeavingServer, Member } from '../state/types.js';
import {
  type GossipMessage as GossipWire,
  GossipMessageSchema,
  type LeavingServer as LeavingServerWire,
  type Member as MemberWire,
} from './gen/peer_pb.js';

function decodeMember(wire: MemberWire): Member {
  return {
    vmId: wire.vmId,
    incarnation: wire.incarnation,
    failureDomain: wire.failureDomain,
    peerAddress: wire.peerAddress,
    heartbeat: Number(wire.heartbeat),
    revision: Number(wire.revision),
    leaving: wire.leaving,
    shareUnits: Number(wire.shareUnits),
    pledgedGrant: Number(wire.pledgedGrant),
  };
}

function decodeLeavingServer(wire: LeavingServerWire): LeavingServer {
  return { name: wire.name, version: Number(wire.version) };
}

/** Decodes a gossip message. */
export function decodeGossip(wire: GossipWire): GossipMessage {
  return {
    fromVmId: wire.fromVmId,
    revision: Number(wire.revision),
    members: wire.members.map(decodeMember),
    leavingServers: wire.leavingServers.map(decodeLeavingServer),
    shareVersion: Number(wire.shareVersion),
  };
}

/** Encodes a gossip message. */
export function encodeGossip(message: GossipMessage): GossipWire {
  return create(GossipMessageSchema, {
    fromVmId: message.fromVmId,
    revision: BigInt(message.revision),
    members: message.members.map((member) => ({
      ...member,
      heartbeat: BigInt(member.heartbeat),
      revision: BigInt(member.revision),
      shareUnits: BigInt(member.shareUnits),
      pledgedGrant: BigInt(member.pledgedGrant),
    })),
    leavingServers: message.leavingServers.map((server) => ({
      name: server.name,
      version: BigInt(server.version),
    })),
    shareVersion: BigInt(message.shareVersion),
  });
}

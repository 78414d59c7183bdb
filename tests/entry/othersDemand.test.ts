/**
 * Tests what a VM takes for the demand of the other VMs while its relay has told it nothing, too little or nothing new.
 */
import { describe, expect, it } from 'vitest';
import { estimateOthersDemand } from '../../src/coordination/entry/limits/rates.js';
import { createEntryState, RelayRole } from '../../src/coordination/entry/state.js';
import type { FleetDemand, VmReport } from '../../src/state/entry/reports.js';
import { TEST_POLICY } from './fixtures.js';

const NOW_MS = 100_000;
const OTHER_VMS = 9;
const OWN_DEMAND = 20;
const WORKSPACE = 'mill';

interface Received {
  readonly ageMs: number;
  readonly demand: FleetDemand;
}

interface Case {
  readonly name: string;
  readonly role: RelayRole;
  /** What the relay has sent, this VM's own demand included. */
  readonly relayed?: Received;
  /** What another relay has reported. */
  readonly reported?: Received;
  readonly estimate: number;
}

function createDemand(name: string, tokensPerSecond: number, vmCount: number): FleetDemand {
  return { demands: [{ name, tokensPerSecond, lenders: [] }], vmCount };
}

const CASES: readonly Case[] = [
  {
    name: 'what the relay has just sent',
    role: RelayRole.Relayed,
    relayed: { ageMs: 0, demand: createDemand(WORKSPACE, 920, 10) },
    estimate: 900,
  },
  {
    name: 'as much as its own of each VM, if the relay has not sent anything on the workspace',
    role: RelayRole.Relayed,
    relayed: { ageMs: 0, demand: createDemand('another', 920, 10) },
    estimate: OTHER_VMS * OWN_DEMAND,
  },
  {
    name: 'the mean that the relay last sent for each VM, if that no longer counts',
    role: RelayRole.Relayed,
    relayed: { ageMs: 3_000, demand: createDemand(WORKSPACE, 1_000, 10) },
    estimate: OTHER_VMS * 100,
  },
  {
    name: 'the mean of the last reports for each VM, if they no longer count',
    role: RelayRole.Reader,
    reported: { ageMs: 3_000, demand: createDemand(WORKSPACE, 400, 4) },
    estimate: OTHER_VMS * 100,
  },
  {
    name: 'as much as its own of each VM, if the last reports are as old as those of a VM that is gone',
    role: RelayRole.Reader,
    relayed: { ageMs: TEST_POLICY.vmGoneMs, demand: createDemand(WORKSPACE, 1_000, 10) },
    reported: { ageMs: TEST_POLICY.vmGoneMs, demand: createDemand(WORKSPACE, 400, 4) },
    estimate: OTHER_VMS * OWN_DEMAND,
  },
  {
    name: 'as much as its own of each VM, if that is more than what was last sent',
    role: RelayRole.Relayed,
    relayed: { ageMs: 3_000, demand: createDemand(WORKSPACE, 10, 10) },
    estimate: OTHER_VMS * OWN_DEMAND,
  },
];

function createReport({ demands, vmCount }: FleetDemand): VmReport {
  return {
    vmId: 'vm-1',
    incarnation: 'a',
    failureDomain: 'fd',
    peerAddress: 'vm-1',
    sequence: 1,
    configurationVersion: 1,
    backendsRevision: 1,
    isLeaving: false,
    workspaceDemands: demands,
    vmCount,
    ageMs: 0,
  };
}

describe('the demand of the other VMs', () => {
  it.each(CASES)('is taken to be $name', ({ estimate, relayed, reported, role }) => {
    const self = {
      vmId: 'vm-0',
      incarnation: 'a',
      failureDomain: 'fd',
      peerAddress: 'vm-0',
      processorShare: 1,
    };
    const state = createEntryState(self, TEST_POLICY, 1, NOW_MS);
    state.relayRole = role;
    state.reportedDemands = new Map([[WORKSPACE, OWN_DEMAND]]);
    for (let i = 1; i <= OTHER_VMS; i += 1) {
      state.vmsLastSeenAtMs.set(`vm-${i}`, NOW_MS);
    }
    if (relayed !== undefined) {
      state.fleetDemand = { ...relayed.demand, receivedAtMs: NOW_MS - relayed.ageMs };
    }
    if (reported !== undefined) {
      state.peers.set('vm-1', {
        report: createReport(reported.demand),
        reportReceivedAtMs: NOW_MS - reported.ageMs,
        isRelayedHere: false,
        knownBoard: null,
      });
    }
    expect(estimateOthersDemand(state, WORKSPACE, OWN_DEMAND, NOW_MS)).toBeCloseTo(estimate);
  });
});

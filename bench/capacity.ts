/**
 * Measures how memory, message sizes and processor time grow with the number of VMs, workspaces, models,
 * backend servers and edits. Only the decision code and the codecs run; no processes are started. The
 * results are the slopes in docs/CAPACITY.md.
 */
import { toBinary } from '@bufbuild/protobuf';
import { CommandKind, EventKind } from '../src/coordination/events.js';
import { stepVm } from '../src/coordination/handlers.js';
import { createVmState, type VmState } from '../src/coordination/vmState.js';
import { planPlacement } from '../src/coordination/placement.js';
import { DEFAULT_POLICY } from '../src/coordination/policy.js';
import {
  createSectionParser,
  formatSections,
  parseSections,
} from '../src/protocol/documentText.js';
import { GossipMessageSchema } from '../src/protocol/gen/peer_pb.js';
import { encodeGossip } from '../src/protocol/peerMessages.js';
import { EMPTY_PLAN } from '../src/state/placementPlan.js';
import { hashText } from '../src/state/random.js';
import type { Document, Member, Model } from '../src/state/types.js';
import {
  createModelRequest,
  createTestEngine,
  createTestWorkspace,
} from '../tests/fakes/documents.js';
import { createTestHead } from '../tests/fakes/simulatedFleet.js';
import { printFigure } from './figures.js';

const DOMAINS = 13;
const MODELS = 1_600;
const BACKEND_SERVERS = 3_400;
const VMS = 460;
const WORKSPACES = 200;
const KEYS_PER_WORKSPACE = 5;

const SELF = {
  vmId: 'vm-0',
  incarnation: 'a'.repeat(16),
  failureDomain: 'fd-0',
  peerAddress: '10.0.0.1:8081',
  firstHeartbeat: 1,
};

/** Returns the mean processor time of an operation in milliseconds, after one run as a warm-up. */
function measureCpuMs(runs: number, operation: (runIndex: number) => void): number {
  operation(0);
  const start = process.cpuUsage();
  for (let i = 1; i <= runs; i += 1) {
    operation(i);
  }
  const { system, user } = process.cpuUsage(start);
  return (user + system) / 1_000 / runs;
}

/** Returns the used heap after a garbage collection, which needs `--expose-gc`. */
function getHeapMb(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 1_048_576;
}

function createModels(count: number): Model[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `model-${i}`,
    version: '1',
    memoryMb: 8_000 + (hashText(`m${i}`) % 30_000),
  }));
}

function createDocument(models: number, servers: number, workspaces: number): Document {
  return {
    operators: { teams: [] },
    vms: {
      failureDomains: Array.from({ length: DOMAINS }, (_, i) => ({ name: `fd-${i}`, share: 1 })),
      backendServers: Array.from({ length: servers }, (_, i) =>
        createTestEngine(`runner-${i}`, {
          failureDomain: `fd-${i % DOMAINS}`,
          address: `10.1.${Math.floor(i / 250)}.${i % 250}:9000`,
          memoryMb: 160_000,
          maxConcurrentRequests: 64,
        }),
      ),
    },
    models: { models: createModels(models), routes: [] },
    workspaces: {
      workspaces: Array.from({ length: workspaces }, (_, i) =>
        createTestWorkspace(`workspace-${i}`, {
          rateTokensPerSecond: 100_000,
          burstTokens: 1_000_000,
          keys: Array.from({ length: KEYS_PER_WORKSPACE }, (_k, k) => ({
            id: `key-${k}`,
            sha256: `${i}-${k}`.padStart(64, '0'),
          })),
        }),
      ),
    },
  };
}

function createMember(i: number): Member {
  return {
    vmId: `vm-${i}`,
    incarnation: `${i}`.padStart(16, '0'),
    failureDomain: `fd-${i % DOMAINS}`,
    peerAddress: `10.0.${Math.floor(i / 250)}.${i % 250}:8081`,
    heartbeat: 1_796_368_000_000 + i,
    revision: 6_900,
    leaving: false,
    shareUnits: 2_173,
    pledgedGrant: 0,
  };
}

/** Creates the state of a VM that has received the document, all members and a load report of each server. */
function createFullState(document: Document, vms: number): VmState {
  const state = createVmState(SELF, DEFAULT_POLICY, 1, 0);
  stepVm(state, { kind: EventKind.ConfigurationReceived, head: createTestHead(1), document }, 0);
  const message = {
    fromVmId: 'vm-1',
    revision: 1,
    members: Array.from({ length: vms - 1 }, (_, i) => createMember(i + 1)),
    leavingServers: [],
    shareVersion: 0,
  };
  stepVm(state, { kind: EventKind.GossipReceived, message, replyId: null }, 1);
  document.vms.backendServers.forEach((server, i) => {
    const loadedModels = Array.from({ length: 6 }, (_, k) => `model-${(i * 6 + k) % MODELS}@1`);
    const report = {
      runningRequests: 8,
      queuedRequests: 0,
      usedMemoryMb: 120_000,
      loadedModels,
      loadingModels: [],
      leaving: false,
    };
    stepVm(state, { kind: EventKind.LoadReported, server: server.name, report }, 1);
  });
  return state;
}

function measureMemory(): void {
  const heapBeforeMb = getHeapMb();
  const document = createDocument(MODELS, BACKEND_SERVERS, WORKSPACES);
  const state = createFullState(document, VMS);
  printFigure('members_at_size', state.members.size, 'members');
  printFigure('node_state_at_size', getHeapMb() - heapBeforeMb, 'MB', 128);
  const texts = formatSections(document);
  const totalBytes = Object.values(texts).reduce((sum, text) => sum + Buffer.byteLength(text), 0);
  printFigure('document_at_size', totalBytes / 1_024, 'KB');
  printFigure('largest_section', Buffer.byteLength(texts.vms) / 1_024, 'KB', 1_024);
  printFigure(
    'parse_document_at_size',
    measureCpuMs(3, () => parseSections(texts)),
    'ms',
  );
  const parseSectionsCached = createSectionParser();
  parseSectionsCached(texts);
  const editMs = measureCpuMs(10, (runIndex) => {
    parseSectionsCached({ ...texts, workspaces: `${texts.workspaces}# ${runIndex}\n` });
  });
  printFigure('parse_edit_of_workspaces_at_size', editMs, 'ms');
  printFigure('workspaces_section', Buffer.byteLength(texts.workspaces) / 1_024, 'KB');
}

function measureGossip(): void {
  const document = createDocument(10, 10, 1);
  [115, 230, 460].forEach((vms) => {
    const state = createFullState(document, vms);
    let totalBytes = 0;
    let messages = 0;
    const rounds = 200;
    const tickMs = measureCpuMs(rounds, (runIndex) => {
      const nowMs = 2 + runIndex;
      const commands = stepVm(state, { kind: EventKind.GossipTick }, nowMs);
      commands.forEach((command) => {
        if (command.kind === CommandKind.SendGossip) {
          totalBytes += toBinary(GossipMessageSchema, encodeGossip(command.message)).length;
          messages += 1;
        }
      });
    });
    printFigure(`gossip_round_${vms}_vms`, tickMs, 'ms');
    printFigure(`gossip_message_${vms}_vms`, totalBytes / messages, 'bytes');
    printFigure(`gossip_messages_a_round_${vms}_vms`, messages / (rounds + 1), 'messages');
  });
}

function measureRequests(): void {
  [850, 1_700, 3_400].forEach((servers) => {
    const document = createDocument(MODELS, servers, WORKSPACES);
    const state = createFullState(document, VMS);
    const { failureDomain, incarnation, vmId } = SELF;
    const entry = { vmId, incarnation, failureDomain, units: 76_923, grant: 1 };
    const table = { serial: 1, entries: [entry] };
    stepVm(state, { kind: EventKind.ShareTableRead, table, version: 1 }, 2);
    let dispatched = 0;
    const requestMs = measureCpuMs(500, (runIndex) => {
      const nowMs = 10 + runIndex * 10;
      const requestId = `r${runIndex}`;
      const request = {
        ...createModelRequest(requestId, '0-0'.padStart(64, '0'), 10, 10),
        target: {
          kind: 'model' as const,
          model: `model-${runIndex % MODELS}`,
          promptTokens: 10,
          maxTokens: 10,
          prefixHash: runIndex,
        },
      };
      const commands = stepVm(state, { kind: EventKind.RequestArrived, request }, nowMs);
      dispatched += commands.filter(({ kind }) => kind === CommandKind.Dispatch).length;
      stepVm(
        state,
        {
          kind: EventKind.AnswerCompleted,
          requestId,
          attempt: 1,
          generatedTokens: 10,
          maxGapMs: 1,
          meanGapMs: 1,
        },
        nowMs,
      );
    });
    printFigure(`request_decision_${servers}_servers`, requestMs, 'ms');
    printFigure(`requests_dispatched_${servers}_servers`, dispatched, 'of 501 requests', 501);
  });
}

function measurePlacement(): void {
  [400, 800, 1_600].forEach((models) => {
    const servers = Math.round((BACKEND_SERVERS * models) / MODELS);
    const document = createDocument(models, servers, 1);
    const engines = document.vms.backendServers
      .filter((server) => server.failureDomain === 'fd-0')
      .map((server) => ({
        name: server.name,
        memoryMb: server.memoryMb,
        isLeaving: false,
        reported: { loadedTags: [], loadedOrLoadingTags: [], usedMemoryMb: 0 },
      }));
    const input = {
      failureDomain: 'fd-0',
      domains: document.vms.failureDomains,
      models: document.models.models,
      engines,
      tagsServedElsewhere: new Set<string>(),
      maxConcurrentLoads: 8,
      maxNewLoads: 8,
    };
    const ms = measureCpuMs(5, () => {
      planPlacement(EMPTY_PLAN, input);
    });
    printFigure(`placement_decision_${models}_models_${engines.length}_engines`, ms, 'ms', 100);
  });
}

function measureShares(): void {
  const entries = Array.from({ length: VMS }, (_, i) => ({
    vmId: `vm-${i}`,
    incarnation: `${i}`.padStart(16, '0'),
    failureDomain: `fd-${i % DOMAINS}`,
    units: 2_173,
    grant: 3,
  }));
  const text = JSON.stringify({ serial: 9, entries });
  printFigure('share_table_460_vms', text.length / 1_024, 'KB', 1_024);
}

/** Prints the figures for every resource. */
export function runCapacity(): void {
  measureMemory();
  measureGossip();
  measureRequests();
  measurePlacement();
  measureShares();
}

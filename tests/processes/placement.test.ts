/**
 * Tests the placement of models with real processes: engines that start without models, changes of the model versions,
 * and a controller that is killed (SIGKILL) or frozen (SIGSTOP) until its lease has expired.
 */
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { parse } from 'yaml';
import { formatYaml } from '../../src/protocol/documentText.js';
import { postWithKey } from '../stand-ins/caller.js';
import { type EngineStats, getExpectedText } from '../stand-ins/engine.js';
import {
  type Fleet,
  getJson,
  OPERATOR_HEADERS,
  postJson,
  type RunningDaemon,
  startDaemonProcess,
  startFleet,
} from '../stand-ins/fleet.js';
import { createSmallFleetPlan, MILL_KEY } from '../stand-ins/fleetPlans.js';
import { endProcess, waitFor } from '../stand-ins/processes.js';

const CONTROLLER_TEXT = 'This VM is the controller of its failure domain.';
const PLACEMENT_TIMEOUT_MS = 40_000;

let fleet: Fleet;

beforeAll(async () => {
  fleet = await startFleet(createSmallFleetPlan({ models: [], memoryMb: 2_500, loadMs: 300 }));
});

afterAll(async () => {
  await fleet.stop();
});

interface ServersAnswer {
  readonly servers: readonly { readonly name: string; readonly loadedModels: readonly string[] }[];
}

async function getLoadedModels(vm: number): Promise<string[]> {
  const { adminUrl } = fleet.daemons[vm]!;
  const { servers } = await getJson<ServersAnswer>(
    `${adminUrl}/admin/v1/servers`,
    OPERATOR_HEADERS,
  );
  return servers.flatMap(({ loadedModels }) => loadedModels);
}

async function countOvercommits(): Promise<number> {
  const stats = await Promise.all(
    [...fleet.engines.values()].map(({ url }) => getJson<EngineStats>(`${url}/stats`)),
  );
  return stats.reduce((sum, { overcommits }) => sum + overcommits, 0);
}

function isControllerOfFdA(daemon: RunningDaemon): boolean {
  return daemon.failureDomain === 'fd-a' && daemon.process.getOutput().includes(CONTROLLER_TEXT);
}

async function changeModelVersions(version: string): Promise<void> {
  const { adminUrl } = fleet.daemons[2]!;
  const view = await getJson<{ sections: { models: { hash: string; text: string } } }>(
    `${adminUrl}/admin/v1/document`,
    OPERATOR_HEADERS,
  );
  const { hash, text } = view.sections.models;
  const value = parse(text) as { models: { version: string }[] };
  value.models.forEach((model) => {
    model.version = version;
  });
  const edit = { text: formatYaml(value), baseHash: hash };
  const message = { editId: `version-${version}`, note: '', sections: { models: edit } };
  const { status } = await postJson(`${adminUrl}/admin/v1/edits`, message, OPERATOR_HEADERS);
  expect(status).toBe(200);
}

async function waitForLoadedTags(vm: number, tags: readonly string[]): Promise<void> {
  await waitFor(
    `${tags.join(' ')} loaded in both failure domains`,
    async () => {
      const loaded = await getLoadedModels(vm);
      return tags.every((tag) => loaded.filter((loadedTag) => loadedTag === tag).length === 2);
    },
    PLACEMENT_TIMEOUT_MS,
  );
}

async function expectCompleteAnswer(vm: number): Promise<void> {
  const body = { model: 'quotation', prompt: 'x', max_tokens: 4, stream: true };
  const url = `${fleet.daemons[vm]!.callerUrl}/v1/completions`;
  const answer = await postWithKey(url, MILL_KEY, body);
  expect(answer).toMatchObject({ status: 200, isWhole: true, text: getExpectedText('x', 4) });
}

describe('placement', () => {
  it('loads every model in both failure domains', async () => {
    await waitForLoadedTags(0, ['quotation@1', 'stock@1']);
    await expectCompleteAnswer(0);
    expect(await countOvercommits()).toBe(0);
  });

  it('continues when the controller is killed during a version change', async () => {
    await changeModelVersions('2');
    const controller = fleet.daemons.find(isControllerOfFdA)!;
    await endProcess(controller.process, 'SIGKILL');
    await expectCompleteAnswer(2);
    await waitForLoadedTags(2, ['quotation@2', 'stock@2']);
    controller.process = await startDaemonProcess(controller.vmId, controller.flags);
    expect(await countOvercommits()).toBe(0);
  });

  it('continues when the controller is frozen past the expiry of its lease and then resumed', async () => {
    const controller = fleet.daemons.filter(isControllerOfFdA).at(-1)!;
    await changeModelVersions('3');
    controller.process.child.kill('SIGSTOP');
    await waitForLoadedTags(2, ['quotation@3', 'stock@3']);
    controller.process.child.kill('SIGCONT');
    await changeModelVersions('4');
    await waitForLoadedTags(2, ['quotation@4', 'stock@4']);
    await expectCompleteAnswer(2);
    expect(await countOvercommits()).toBe(0);
  });
});

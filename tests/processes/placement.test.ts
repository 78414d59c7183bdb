/**
 * Placement with real processes: engines that start empty, a controller that is killed and one that is
 * frozen past its lease, and a version change under load.
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
import { createSmallPlan, MILL_KEY } from '../stand-ins/plans.js';
import { endProcess, waitFor } from '../stand-ins/processes.js';

const CONTROLLER_TEXT = 'This VM is the controller of its failure domain.';
const PLACED_MS = 40_000;

let fleet: Fleet;

beforeAll(async () => {
  fleet = await startFleet(createSmallPlan({ models: [], memoryMb: 2_500, loadMs: 300 }));
});

afterAll(async () => {
  await fleet.stop();
});

interface ServersAnswer {
  readonly servers: readonly { readonly name: string; readonly loadedModels: readonly string[] }[];
}

async function getLoaded(vm: number): Promise<string[]> {
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

function isControllerOfA(daemon: RunningDaemon): boolean {
  return daemon.failureDomain === 'fd-a' && daemon.process.getOutput().includes(CONTROLLER_TEXT);
}

async function changeVersion(version: string): Promise<void> {
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

async function waitForTags(vm: number, tags: readonly string[]): Promise<void> {
  await waitFor(
    `${tags.join(' ')} loaded`,
    async () => {
      const loaded = await getLoaded(vm);
      return tags.every((tag) => loaded.filter((other) => other === tag).length === 2);
    },
    PLACED_MS,
  );
}

async function expectAnswer(vm: number): Promise<void> {
  const body = { model: 'quotation', prompt: 'x', max_tokens: 4, stream: true };
  const url = `${fleet.daemons[vm]!.callerUrl}/v1/completions`;
  const answer = await postWithKey(url, MILL_KEY, body);
  expect(answer).toMatchObject({ status: 200, isWhole: true, text: getExpectedText('x', 4) });
}

describe('placement', () => {
  it('loads every model in both failure domains', async () => {
    await waitForTags(0, ['quotation@1', 'stock@1']);
    await expectAnswer(0);
    expect(await countOvercommits()).toBe(0);
  });

  it('goes on when the controller is killed during a version change', async () => {
    await changeVersion('2');
    const controller = fleet.daemons.find(isControllerOfA)!;
    await endProcess(controller.process, 'SIGKILL');
    await expectAnswer(2);
    await waitForTags(2, ['quotation@2', 'stock@2']);
    controller.process = await startDaemonProcess(controller.vmId, controller.flags);
    expect(await countOvercommits()).toBe(0);
  });

  it('goes on when the controller is frozen past its lease and revived', async () => {
    const controller = fleet.daemons.filter(isControllerOfA).at(-1)!;
    await changeVersion('3');
    controller.process.child.kill('SIGSTOP');
    await waitForTags(2, ['quotation@3', 'stock@3']);
    controller.process.child.kill('SIGCONT');
    await changeVersion('4');
    await waitForTags(2, ['quotation@4', 'stock@4']);
    await expectAnswer(2);
    expect(await countOvercommits()).toBe(0);
  });
});

/**
 * Tests the administration of a fleet with daemons as real processes: document checks, edits, keys and history through
 * the command-line tool, concurrent edits, lost answers of the store, outages of the store and a store that is restored
 * from an older snapshot.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parse } from 'yaml';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { formatYaml, hashSha256 } from '../../src/protocol/documentText.js';
import { postWithKey } from '../stand-ins/caller.js';
import { runCtl } from '../stand-ins/ctl.js';
import {
  type Fleet,
  getJson,
  OPERATOR_HEADERS,
  OPERATOR_TOKEN,
  postJson,
  startDaemonProcess,
  startFleet,
  waitForFleet,
} from '../stand-ins/fleet.js';
import { createSmallFleetPlan, MILL_KEY, SHOP_KEY } from '../stand-ins/fleetPlans.js';
import { endProcess, waitFor } from '../stand-ins/processes.js';
import type { StoreFaults } from '../stand-ins/etcdStore.js';

const KEY_TEAM_TOKEN = 'key-team-token';
/** Time within which every VM must apply an edit or the withdrawal of a key. Required by the users. */
const MAX_PROPAGATION_MS = 2_000;

let fleet: Fleet;
let folder: string;

beforeAll(async () => {
  fleet = await startFleet(createSmallFleetPlan());
  folder = mkdtempSync(join(tmpdir(), 'gentiandeck-'));
});

afterAll(async () => {
  await fleet.stop();
  rmSync(folder, { recursive: true });
});

function writeFile(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

function ctl(args: readonly string[], token = OPERATOR_TOKEN, vm = 0) {
  return runCtl(fleet.daemons[vm]!.adminUrl, token, args);
}

async function setStoreFaults(faults: Partial<StoreFaults>): Promise<void> {
  await postJson(`${fleet.storeUrl}/faults`, faults);
}

interface DocumentView {
  readonly revision: number;
  readonly sections: Readonly<Record<string, { readonly hash: string; readonly text: string }>>;
}

function getDocument(vm = 0): Promise<DocumentView> {
  const { adminUrl } = fleet.daemons[vm]!;
  return getJson<DocumentView>(`${adminUrl}/admin/v1/document`, OPERATOR_HEADERS);
}

async function waitForRevision(revision: number, timeoutMs: number): Promise<void> {
  await waitFor(
    `revision ${revision} on every VM`,
    async () => {
      const views = await Promise.all(fleet.daemons.map((_, vm) => getDocument(vm)));
      return views.every((view) => view.revision >= revision);
    },
    timeoutMs,
  );
}

function requestCompletion(key: string, vm: number) {
  const body = { model: 'quotation', prompt: 'x', max_tokens: 1 };
  return postWithKey(`${fleet.daemons[vm]!.callerUrl}/v1/completions`, key, body);
}

function requestCompletionFromEveryVm(key: string) {
  return Promise.all(fleet.daemons.map((_, vm) => requestCompletion(key, vm)));
}

async function issueKey(keyId: string): Promise<string> {
  const issued = await ctl(['keys', 'issue', 'mill', keyId]);
  return issued.output.split('\n')[0]!;
}

/**
 * Withdraws a key through the API, and returns the time from the start of the call until no VM accepts the key. Uses the
 * API because the command-line tool is a process that needs a second of processor time to start, which must not count.
 */
async function withdrawKey(keyId: string, key: string): Promise<number> {
  const message = { editId: `withdraw-${keyId}`, workspace: 'mill', keyId };
  const startMs = performance.now();
  const url = `${fleet.daemons[0]!.adminUrl}/admin/v1/keys`;
  const answer = await postJson(url, message, OPERATOR_HEADERS, 'DELETE');
  expect(answer.status).toBe(200);
  await waitFor(
    `no VM accepts key ${keyId}`,
    async () =>
      (await requestCompletionFromEveryVm(key)).every(({ code }) => code === 'unknown_key'),
    MAX_PROPAGATION_MS,
  );
  return performance.now() - startMs;
}

/** Edits the workspaces section through the API, based on the revision that is active on a VM. */
async function editWorkspaces(
  vm: number,
  editId: string,
  change: (workspace: { name: string; rateTokensPerSecond: number }) => void,
) {
  const { sections } = await getDocument(vm);
  const section = sections.workspaces!;
  const value = parse(section.text) as {
    workspaces: { name: string; rateTokensPerSecond: number }[];
  };
  value.workspaces.forEach(change);
  const edit = { text: formatYaml(value), baseHash: section.hash };
  const message = { editId, note: editId, sections: { workspaces: edit } };
  const { adminUrl } = fleet.daemons[vm]!;
  return postJson(`${adminUrl}/admin/v1/edits`, message, OPERATOR_HEADERS);
}

const INVALID_DOCUMENT = `
operators: { teams: [] }
vms:
  failureDomains: [{ name: fd-a, share: 0 }]
  backendServers:
    - { name: e, kind: engine, failureDomain: nowhere, address: x, memoryMb: 1,
        maxConcurrentRequests: 1, checksFencing: true, leaving: false, colour: red }
models: { models: [], routes: [] }
workspaces: { workspaces: [{ name: a }] }
`;

interface ToolCase {
  readonly name: string;
  readonly run: () => Promise<{ exitCode: number; output: string; errors: string }>;
  readonly exitCode: number;
  readonly texts: readonly string[];
}

const TOOL_CASES: readonly ToolCase[] = [
  {
    name: 'lists every error of a document with its path',
    run: () => ctl(['check', writeFile('invalid.yaml', INVALID_DOCUMENT)]),
    exitCode: 1,
    texts: [
      'vms.failureDomains[0].share',
      'vms.backendServers[0].address',
      'vms.backendServers[0].colour',
      'workspaces.workspaces[0].rateTokensPerSecond',
    ],
  },
  {
    name: 'reports the line of a syntax error',
    run: () => ctl(['check', writeFile('broken.yaml', 'vms: [\n')]),
    exitCode: 1,
    texts: ['GD2004', 'Line 2'],
  },
  {
    name: 'refuses an unknown operator token',
    run: () => ctl(['show'], 'wrong'),
    exitCode: 1,
    texts: ['GD2009'],
  },
  {
    name: 'refuses a section that does not exist',
    run: () => ctl(['show', 'colours']),
    exitCode: 1,
    texts: ['GD2010'],
  },
  {
    name: 'reports that no daemon answers',
    run: () => runCtl('http://127.0.0.1:1', OPERATOR_TOKEN, ['vms']),
    exitCode: 3,
    texts: ['GD4001'],
  },
  {
    name: 'lists each VM with its failure domain, revision and state',
    run: () => ctl(['vms']),
    exitCode: 0,
    texts: ['fd-a  vm-0  revision', 'fd-b  vm-2  revision', 'live'],
  },
  {
    name: 'prints the lines that an edit would change',
    run: async () => {
      const { sections } = await getDocument();
      const text = sections.workspaces!.text.replace('100000', '100001');
      return ctl(['diff', 'workspaces', writeFile('diff.yaml', text)]);
    },
    exitCode: 0,
    texts: ['-    rateTokensPerSecond: 100000', '+    rateTokensPerSecond: 100001'],
  },
  {
    name: 'refuses an edit that removes what another section refers to',
    run: () => ctl(['apply', 'models', writeFile('models.yaml', 'models: []\nroutes: []\n')]),
    exitCode: 1,
    texts: ['workspaces.workspaces[0].models[0]', 'workspaces.workspaces[1].models[0]'],
  },
];

describe('the operators’ command-line tool', () => {
  it.each(TOOL_CASES)('$name', async ({ exitCode, run, texts }) => {
    const result = await run();
    const allOutput = result.output + result.errors;
    expect(texts.filter((text) => !allOutput.includes(text))).toEqual([]);
    expect(result.exitCode).toBe(exitCode);
  });

  it('applies an edit on every VM and records it in the history', async () => {
    const { sections } = await getDocument();
    const path = writeFile('rate.yaml', `# a comment\n${sections.workspaces!.text}`);
    const applied = await ctl(['apply', 'workspaces', path, '--note', 'with a comment']);
    const history = await ctl(['history']);
    const shown = await ctl(['show', 'workspaces'], OPERATOR_TOKEN, 2);
    expect(applied).toMatchObject({ exitCode: 0, errors: '' });
    expect(applied.output).toContain('on 3 of 3 VMs');
    expect(history.output).toContain('platform  workspaces  with a comment');
    expect(shown.output).toContain('# a comment');
  });

  it('permits a team to edit only its own sections', async () => {
    const { sections } = await getDocument();
    const operators = parse(sections.operators!.text) as { teams: unknown[] };
    const tokenSha256 = hashSha256(KEY_TEAM_TOKEN);
    operators.teams.push({ name: 'keys', tokenSha256, sections: ['workspaces'] });
    const applied = await ctl(['apply', 'operators', writeFile('ops.yaml', formatYaml(operators))]);
    const path = writeFile('vms.yaml', sections.vms!.text);
    const refused = await ctl(['apply', 'vms', path], KEY_TEAM_TOKEN);
    const issued = await ctl(['keys', 'issue', 'mill', 'by-team'], KEY_TEAM_TOKEN);
    expect(applied.exitCode).toBe(0);
    expect(refused).toMatchObject({ exitCode: 1 });
    expect(refused.errors).toContain('GD2008');
    expect(issued.exitCode).toBe(0);
  });
});

describe('keys', () => {
  it('are accepted by every VM once issued, and by none 2 s after they are withdrawn', async () => {
    const key = await issueKey('short-lived');
    const before = await requestCompletionFromEveryVm(key);
    const elapsedMs = await withdrawKey('short-lived', key);
    expect(before.map(({ status }) => status)).toEqual([200, 200, 200]);
    expect(elapsedMs).toBeLessThan(MAX_PROPAGATION_MS);
  });

  it('are withdrawn on every VM within 2 s through its peers when its watch of the store delivers nothing', async () => {
    const key = await issueKey('dead-watch');
    await setStoreFaults({ deadWatches: true });
    const elapsedMs = await withdrawKey('dead-watch', key);
    await setStoreFaults({ deadWatches: false });
    expect(elapsedMs).toBeLessThan(MAX_PROPAGATION_MS);
  });

  it('are refused by every VM once the command-line tool reports them as withdrawn', async () => {
    const key = await issueKey('by-tool');
    const withdrawn = await ctl(['keys', 'withdraw', 'mill', 'by-tool']);
    const after = await requestCompletionFromEveryVm(key);
    expect(withdrawn.exitCode).toBe(0);
    expect(after.map(({ code }) => code)).toEqual(Array(3).fill('unknown_key'));
  });

  it('give access only to the models of their own workspace', async () => {
    const answers = await Promise.all([
      requestCompletion(MILL_KEY, 0),
      requestCompletion(SHOP_KEY, 0),
    ]);
    expect(answers.map(({ status }) => status)).toEqual([200, 403]);
  });
});

describe('edits', () => {
  it('that are sent concurrently are each applied or refused, and each applied edit increments the revision', async () => {
    const { revision } = await getDocument();
    const results = await Promise.all(
      [0, 1, 2, 0, 1, 2].map((vm, i) =>
        editWorkspaces(vm, `race-${revision}-${i}`, (workspace) => {
          workspace.rateTokensPerSecond += 1 + i;
        }),
      ),
    );
    const accepted = results.filter(({ status }) => status === 200);
    const refused = results.filter(({ status }) => status === 409);
    expect(accepted.length).toBeGreaterThanOrEqual(1);
    expect(accepted.length + refused.length).toBe(results.length);
    await waitForRevision(revision + accepted.length, MAX_PROPAGATION_MS);
    const history = await ctl(['history']);
    const historyLines = history.output
      .split('\n')
      .filter((line) => line.includes(`race-${revision}-`));
    expect(historyLines.length).toBe(accepted.length);
  });

  const LOST_SWAP_CASES = [
    { name: 'the store’s answer to a compare-and-swap is lost', faults: { loseSwapAnswers: 5 } },
    { name: 'a compare-and-swap is lost before the store applies it', faults: { loseSwaps: 2 } },
  ];

  it.each(LOST_SWAP_CASES)(
    'are applied once, or not at all if they are reported as failed, when $name',
    async ({ faults, name }) => {
      const { revision } = await getDocument();
      const editId = `lost-${revision}`;
      await setStoreFaults(faults);
      const result = await editWorkspaces(0, editId, (workspace) => {
        workspace.rateTokensPerSecond += 1;
      });
      await setStoreFaults({ loseSwapAnswers: 0, loseSwaps: 0 });
      const history = await ctl(['history']);
      const historyLines = history.output.split('\n').filter((line) => line.includes(editId));
      // Blobs are written by compare-and-swap too, so the edit may be reported as failed. It must then not be applied.
      const expected = result.status === 200 ? 1 : 0;
      expect({ name, count: historyLines.length }).toEqual({ name, count: expected });
    },
  );

  it('get status 503 while the store is down, and VMs continue to serve requests', async () => {
    const { revision } = await getDocument();
    await setStoreFaults({ outage: true });
    const result = await editWorkspaces(0, `outage-${revision}`, () => {});
    const answers = await Promise.all(
      fleet.daemons.map((_, vm) => requestCompletion(MILL_KEY, vm)),
    );
    await setStoreFaults({ outage: false });
    expect(result.status).toBe(503);
    expect(answers.map(({ status }) => status)).toEqual([200, 200, 200]);
  });

  it('are not undone when the store is restored from an older snapshot, and the next edit builds on them', async () => {
    await postJson(`${fleet.storeUrl}/snapshot`, {});
    const { revision } = await getDocument();
    await editWorkspaces(0, `after-snapshot-${revision}`, (workspace) => {
      workspace.rateTokensPerSecond += 5;
    });
    await waitForRevision(revision + 1, MAX_PROPAGATION_MS);
    await postJson(`${fleet.storeUrl}/restore`, {});
    await new Promise((resolve) => {
      setTimeout(resolve, MAX_PROPAGATION_MS);
    });
    const kept = await Promise.all(fleet.daemons.map((_, vm) => getDocument(vm)));
    const next = await editWorkspaces(1, `after-restore-${revision}`, (workspace) => {
      workspace.rateTokensPerSecond += 5;
    });
    expect(kept.map((view) => view.revision)).toEqual(Array(3).fill(revision + 1));
    expect(next).toMatchObject({ status: 200, body: { revision: revision + 2 } });
    await waitForRevision(revision + 2, MAX_PROPAGATION_MS);
    expect(fleet.daemons[0]!.process.getOutput()).toContain(
      'Rejected a configuration that is older than the local copy.',
    );
  });

  it('reach a VM that starts while the store is down', async () => {
    const daemon = fleet.daemons[1]!;
    const { revision } = await getDocument();
    await setStoreFaults({ outage: true });
    await endProcess(daemon.process, 'SIGKILL');
    daemon.process = await startDaemonProcess(daemon.vmId, daemon.flags);
    await waitForRevision(revision, 5_000);
    await waitFor('the VM is ready', async () => (await fetch(`${daemon.adminUrl}/readyz`)).ok);
    const answer = await requestCompletion(MILL_KEY, 1);
    await setStoreFaults({ outage: false });
    expect(answer.status).toBe(200);
    await waitForFleet(fleet.daemons);
  });
});

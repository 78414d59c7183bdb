/* eslint-disable import-x/extensions -- scripts of a review run as they are, without a build */
/**
 * A VM is killed while it passes on streams of sound engines that end with their connections.
 */
import {
  createStreamHead,
  sendRaw,
  startDeployment,
  startEngine,
  stopVms,
} from '../lib-2/deployment.mjs';
import { isTroubled, runCase, wait } from '../lib-2/harness.mjs';

const EVENTS = 30;
const INTERVAL_MS = 100;
const STREAMS = 6;
const KILL_AFTER_MS = 1500;
const LINES = ['X-Token-Count: 100,90', 'X-Prompt-Prefix: 5c1e07a2:60,91bd3f06:40'];

await runCase(import.meta.url, async (record) => {
  const runs = [];
  const { vms } = await startDeployment((store) =>
    Promise.all(
      ['nbo-a', 'nbo-b', 'nbo-c'].map((zone, i) =>
        startEngine(store, {
          ...{ id: `engine-${i + 1}`, zone, runs, eventCount: EVENTS, intervalMs: INTERVAL_MS },
          isUnframed: true,
        }),
      ),
    ),
  );
  const [target] = vms;
  const calls = Array.from({ length: STREAMS }, (_, i) => {
    const id = `stream-${i + 1}`;
    const path = i % 2 === 0 ? '/draft/x' : '/letter/x';
    record.add(`sent ${id} to ${target.name}: POST ${path}`);
    return sendRaw(target, createStreamHead(path, id, LINES), 'hi').then((answer) => ({
      id,
      path,
      ...answer,
    }));
  });
  await wait(KILL_AFTER_MS);
  if (isTroubled) {
    record.add(`${target.name} is killed (SIGKILL)`);
    target.child.kill('SIGKILL');
  }
  const answers = await Promise.all(calls);
  const cut = answers.filter(({ end, id, path, text }) => {
    const [head, body = ''] = text.split('\r\n\r\n');
    const [status] = head.split('\r\n');
    const events = (body.match(/^id: /gm) ?? []).length;
    const hasFraming = /^(?:content-length|transfer-encoding):/im.test(head);
    const isWhole = body.endsWith('\n\n');
    record.add(
      `${id} (${path}) got ${JSON.stringify(status)}, ${hasFraming ? 'framed' : 'no length and no chunks'}, ${events} of ${EVENTS} events, ${isWhole ? 'the last one whole' : 'the last one cut'}; its connection ended: ${end}`,
    );
    return (
      status.includes(' 200 ') && !hasFraming && end === 'in order' && isWhole && events < EVENTS
    );
  });
  runs.forEach(({ hasEnded, id, sent, server }) =>
    record.add(
      `run of ${id} at ${server}: ${sent} events sent, ${hasEnded ? 'ended in order' : 'its connection was lost'}`,
    ),
  );
  record.add(
    `streams that ended as complete before their last event: ${cut.map(({ id }) => id).join(' ') || 'none'}`,
  );
  await stopVms(vms);
  return cut.length > 0;
});

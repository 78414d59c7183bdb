/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, n/no-process-exit: off, n/no-unsupported-features/node-builtins: off */
/**
 * A proxy for one machine's connections to the store. While it is cut, nothing passes in either direction and no connection
 * is closed: what was sent meanwhile arrives when the cut has healed.
 */
import net from 'node:net';

/** Starts a proxy of a target. */
export async function startProxy(target) {
  const [host, port] = target.split(':');
  const pairs = new Set();
  let isCut = false;
  const held = new Set();
  const open = (near) => {
    const far = net.connect(Number(port), host);
    const pair = { near, far };
    pairs.add(pair);
    const close = () => {
      pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    near.on('data', (chunk) => far.write(chunk));
    far.on('data', (chunk) => near.write(chunk));
    near.on('error', close);
    far.on('error', close);
    near.on('close', close);
    far.on('close', close);
  };
  const server = net.createServer((near) => {
    near.setNoDelay(true);
    if (isCut) {
      near.pause();
      near.on('error', () => {});
      held.add(near);
    } else {
      open(near);
    }
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    cut: () => {
      isCut = true;
      pairs.forEach(({ far, near }) => {
        near.pause();
        far.pause();
      });
    },
    heal: () => {
      isCut = false;
      pairs.forEach(({ far, near }) => {
        near.resume();
        far.resume();
      });
      held.forEach((near) => open(near));
      held.clear();
    },
  };
}

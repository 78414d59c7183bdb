/**
 * A proxy on the loopback network whose connections fall silent, are reset, and work again.
 */
import { once } from 'node:events';
import net, { type AddressInfo, type Socket } from 'node:net';

/** What becomes of the data of a proxy's connections. */
export const LinkState = {
  Open: 'open',
  /** Nothing is passed on; what was sent meanwhile arrives once the link is open again. */
  Silent: 'silent',
  /** Connections are reset, also new ones. */
  Reset: 'reset',
} as const;
export type LinkState = (typeof LinkState)[keyof typeof LinkState];

/** A proxy that runs. */
export interface TcpProxy {
  readonly address: string;
  readonly setState: (state: LinkState) => void;
  readonly close: () => void;
}

const APPLY: Readonly<Record<LinkState, (socket: Socket) => void>> = {
  [LinkState.Open]: (socket) => socket.resume(),
  [LinkState.Silent]: (socket) => socket.pause(),
  [LinkState.Reset]: (socket) => socket.resetAndDestroy(),
};

/** Starts a proxy on a free port. */
export async function startTcpProxy(targetAddress: string): Promise<TcpProxy> {
  const [host, port] = targetAddress.split(':');
  const sockets = new Set<Socket>();
  let state: LinkState = LinkState.Open;
  const connect = (source: Socket, target: Socket): void => {
    sockets.add(source);
    source.on('data', (chunk: Buffer) => target.write(chunk));
    source.on('error', () => {});
    source.on('close', () => {
      sockets.delete(source);
      target.destroy();
    });
    APPLY[state](source);
  };
  const server = net.createServer((caller) => {
    const target = net.connect(Number(port), host);
    connect(caller, target);
    connect(target, caller);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setState: (next) => {
      state = next;
      [...sockets].forEach(APPLY[state]);
    },
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/**
 * The links of the VMs of one failure domain to all backend servers: a proxy in front of each server, and a front of the store in which
 * these VMs read the proxies' addresses in place of the servers'. A test cuts all links at once, in one of several ways.
 *
 * Loopback drops no packets, so a connect that gets no answer is played by a listener whose queue of unaccepted connections is full.
 */
import { once } from 'node:events';
import http from 'node:http';
import net, { type AddressInfo, type Socket } from 'node:net';
import {
  endProcess,
  findFreePort,
  type StartedProcess,
  startProgram,
  waitFor,
} from './processes.js';

/** What becomes of the connections that are open at the cut. */
const OpenLink = {
  Live: 'live',
  Reset: 'reset',
  Silent: 'silent',
  /** What the VM sends does not arrive. */
  DropsRequests: 'dropsRequests',
  /** What the servers send does not arrive. */
  DropsAnswers: 'dropsAnswers',
} as const;
type OpenLink = (typeof OpenLink)[keyof typeof OpenLink];

/** What a connect meets during the cut. */
const NewLink = { Refused: 'refused', Unanswered: 'unanswered', Reset: 'reset' } as const;
type NewLink = (typeof NewLink)[keyof typeof NewLink];

/** A way to cut links. */
export interface LinkCut {
  readonly open: OpenLink;
  readonly fresh: NewLink;
}

/** The ways to cut links. */
export const LinkCuts = {
  Hang: { open: OpenLink.Silent, fresh: NewLink.Unanswered },
  Reset: { open: OpenLink.Reset, fresh: NewLink.Refused },
  /** Connections are accepted on the way, and reset at once. */
  ResetAfterAccept: { open: OpenLink.Reset, fresh: NewLink.Reset },
  Refuse: { open: OpenLink.Live, fresh: NewLink.Refused },
  Silent: { open: OpenLink.Silent, fresh: NewLink.Refused },
  ToServers: { open: OpenLink.DropsRequests, fresh: NewLink.Unanswered },
  ToVms: { open: OpenLink.DropsAnswers, fresh: NewLink.Unanswered },
} as const satisfies Readonly<Record<string, LinkCut>>;

const UNANSWERED_PROGRAM = 'tests/stand-ins/unansweredPortsMain.js';
const LISTENING_TEXT = 'All ports listen.';
/** Fills the queue of a listener, with some to spare. */
const FILLERS_PER_PORT = 4;
const FILL_MS = 30;

/** One connection through a proxy: `near` is the VM's side. */
interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

const OPEN_LINK_CUTS: Readonly<Record<OpenLink, (pair: Pair) => void>> = {
  [OpenLink.Live]: () => {},
  [OpenLink.Reset]: ({ far, near }) => {
    near.resetAndDestroy();
    far.resetAndDestroy();
  },
  [OpenLink.Silent]: ({ far, near }) => {
    near.pause();
    far.pause();
  },
  [OpenLink.DropsRequests]: ({ near }) => {
    near.pause();
  },
  [OpenLink.DropsAnswers]: ({ far }) => {
    far.pause();
  },
};

/** The links of the VMs that read the store at an address of their own. */
export interface ServerLinks {
  /** The address at which these VMs read the store. */
  readonly storeAddress: string;
  /** Puts a proxy in front of a server, before the server is registered. */
  readonly addServer: (address: string) => Promise<void>;
  readonly cut: (way: LinkCut) => Promise<void>;
  readonly heal: () => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Passes the end of one side's data on to the other, and its loss. */
function join(from: Socket, to: Socket): void {
  from.on('data', (chunk: Buffer) => to.write(chunk));
  from.on('end', () => to.end());
  from.on('error', () => to.resetAndDestroy());
  from.on('close', () => to.destroySoon());
}

/** Connects a VM's connection to its server. */
function openPair(pairs: Set<Pair>, near: Socket, target: string): void {
  const [host = '', port = ''] = target.split(':');
  const far = net.connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
  const pair = { near, far };
  pairs.add(pair);
  near.once('close', () => pairs.delete(pair));
  join(near, far);
  join(far, near);
}

async function listen(server: net.Server, port: number): Promise<void> {
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
}

/** Starts a process that holds ports at which no connect is answered, once `free` has freed them. */
async function holdPorts(
  ports: readonly number[],
  free: () => void,
): Promise<{ readonly holder: StartedProcess; readonly fillers: readonly Socket[] }> {
  const args = ['--ports', ports.join(',')];
  const holder = await startProgram('unanswered ports', UNANSWERED_PROGRAM, args, 'ready');
  free();
  holder.child.kill('SIGUSR2');
  await waitFor('the ports are held', () => holder.getOutput().includes(LISTENING_TEXT));
  holder.child.kill('SIGSTOP');
  await new Promise((resolve) => {
    setTimeout(resolve, FILL_MS);
  });
  const fillers = ports.flatMap((port) =>
    Array.from({ length: FILLERS_PER_PORT }, () => {
      const filler = net.connect(port, '127.0.0.1');
      filler.on('error', () => {});
      return filler;
    }),
  );
  return { holder, fillers };
}

interface StoredItem {
  readonly key: string;
  readonly value?: string;
}

/** Replaces the address of a server in an item of the store. */
function rewriteItem(item: StoredItem, proxies: ReadonlyMap<string, string>): StoredItem {
  if (!item.key.startsWith('servers/') || item.value === undefined) {
    return item;
  }
  const entry = JSON.parse(Buffer.from(item.value, 'base64').toString()) as { address: string };
  const address = proxies.get(entry.address) ?? entry.address;
  const value = Buffer.from(JSON.stringify({ ...entry, address })).toString('base64');
  return { ...item, value };
}

function rewriteAnswer(text: string, proxies: ReadonlyMap<string, string>): string {
  if (text === '') {
    return text;
  }
  const answer = JSON.parse(text) as { items?: StoredItem[]; events?: StoredItem[] } & StoredItem;
  const rewriteAll = (items: StoredItem[]): StoredItem[] =>
    items.map((item) => rewriteItem(item, proxies));
  return JSON.stringify({
    ...answer,
    ...(answer.key === undefined ? {} : rewriteItem(answer, proxies)),
    ...(answer.items === undefined ? {} : { items: rewriteAll(answer.items) }),
    ...(answer.events === undefined ? {} : { events: rewriteAll(answer.events) }),
  });
}

/** Starts a front of a store whose readers see the addresses of proxies in place of those of the servers. */
async function startFront(
  target: string,
  proxies: ReadonlyMap<string, string>,
): Promise<http.Server> {
  const [host, port] = target.split(':');
  const front = http.createServer((request, response) => {
    const { headers, method, url: path } = request;
    const call = http.request({ host, port, method, path, headers }, (answer) => {
      const chunks: Buffer[] = [];
      answer.on('data', (chunk: Buffer) => chunks.push(chunk));
      answer.on('error', () => response.destroy());
      answer.on('end', () => {
        const era = answer.headers['store-era']?.toString() ?? '';
        const type = 'application/json';
        response.writeHead(answer.statusCode ?? 0, { 'Store-Era': era, 'content-type': type });
        response.end(rewriteAnswer(Buffer.concat(chunks).toString(), proxies));
      });
    });
    call.on('error', () => response.destroy());
    response.on('close', () => call.destroy());
    request.pipe(call);
  });
  await listen(front, 0);
  return front;
}

function getAddress(server: net.Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts the links of some VMs, which are to read the store at the address of the links. */
export async function startServerLinks(store: string): Promise<ServerLinks> {
  const proxies = new Map<string, string>();
  const listeners: { readonly server: net.Server; readonly port: number }[] = [];
  const pairs = new Set<Pair>();
  const front = await startFront(store, proxies);
  let resetsNew = false;
  let held: Awaited<ReturnType<typeof holdPorts>> | null = null;

  const stopListening = (): void => listeners.forEach(({ server }) => server.close());
  const NEW_LINK_CUTS: Readonly<Record<NewLink, () => Promise<void> | void>> = {
    [NewLink.Refused]: stopListening,
    [NewLink.Reset]: () => {
      resetsNew = true;
    },
    [NewLink.Unanswered]: async () => {
      held = await holdPorts(
        listeners.map(({ port }) => port),
        stopListening,
      );
    },
  };

  const addServer = async (target: string): Promise<void> => {
    const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
      near.on('error', () => {});
      if (resetsNew) {
        near.resetAndDestroy();
      } else {
        openPair(pairs, near, target);
      }
    });
    // No outgoing connection gets this port while the links are cut.
    const port = await findFreePort();
    await listen(server, port);
    listeners.push({ server, port });
    proxies.set(target, getAddress(server));
  };
  const release = async (): Promise<void> => {
    held?.fillers.forEach((filler) => filler.destroy());
    await (held === null ? null : endProcess(held.holder));
    held = null;
  };
  const heal = async (): Promise<void> => {
    resetsNew = false;
    await release();
    const closed = listeners.filter(({ server }) => !server.listening);
    await Promise.all(closed.map(({ port, server }) => listen(server, port)));
    pairs.forEach(({ far, near }) => {
      near.resume();
      far.resume();
    });
  };
  return {
    storeAddress: getAddress(front),
    addServer,
    cut: async ({ fresh, open }) => {
      await NEW_LINK_CUTS[fresh]();
      pairs.forEach(OPEN_LINK_CUTS[open]);
    },
    heal,
    close: async () => {
      await release();
      front.closeAllConnections();
      front.close();
      stopListening();
      pairs.forEach(({ far, near }) => {
        near.destroy();
        far.destroy();
      });
    },
  };
}

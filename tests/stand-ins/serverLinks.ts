/**
 * The links of the VMs of one failure domain to all backend servers: a proxy for each server at a host of these VMs, and an environment
 * in which their processes connect to that host in place of the servers'. A test cuts all links at once, in one of several ways.
 *
 * Loopback drops no packets, so a connect that gets no answer is played by a listener whose queue of unaccepted connections is full.
 */
import { once } from 'node:events';
import net, { type Socket } from 'node:net';
import { REDIRECT_VARIABLE } from './connectRedirect.js';
import {
  endProcess,
  getProgramPath,
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

const REDIRECT_PROGRAM = 'tests/stand-ins/connectRedirect.js';
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

/** The links of the VMs whose processes run in an environment of their own. */
export interface ServerLinks {
  /** Has a process connect to the proxies. The options of Node.js are to be added to its others. */
  readonly environment: Readonly<Record<string, string>>;
  readonly nodeOptions: string;
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

async function listen(server: net.Server, host: string, port: number): Promise<void> {
  server.listen(port, host);
  await once(server, 'listening');
}

/** Starts a process that holds ports at which no connect is answered, once `free` has freed them. */
async function holdPorts(
  host: string,
  ports: readonly number[],
  free: () => void,
): Promise<{ readonly holder: StartedProcess; readonly fillers: readonly Socket[] }> {
  const args = ['--host', host, '--ports', ports.join(',')];
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
      const filler = net.connect(port, host);
      filler.on('error', () => {});
      return filler;
    }),
  );
  return { holder, fillers };
}

/** Creates the links of some VMs to the servers of a host. Nothing else may listen at the host of the links. */
export function createServerLinks(serverHost: string, linkHost: string): ServerLinks {
  const listeners: { readonly server: net.Server; readonly port: number }[] = [];
  const pairs = new Set<Pair>();
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
        linkHost,
        listeners.map(({ port }) => port),
        stopListening,
      );
    },
  };

  const addServer = async (target: string): Promise<void> => {
    const port = Number(target.split(':')[1]);
    // The system may give a server the port of an earlier one.
    if (listeners.some((listener) => listener.port === port)) {
      return;
    }
    const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (near) => {
      near.on('error', () => {});
      if (resetsNew) {
        near.resetAndDestroy();
      } else {
        openPair(pairs, near, target);
      }
    });
    await listen(server, linkHost, port);
    listeners.push({ server, port });
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
    await Promise.all(closed.map(({ port, server }) => listen(server, linkHost, port)));
    pairs.forEach(({ far, near }) => {
      near.resume();
      far.resume();
    });
  };
  return {
    environment: { [REDIRECT_VARIABLE]: `${serverHost} ${linkHost}` },
    nodeOptions: `--import=${getProgramPath(REDIRECT_PROGRAM)}`,
    addServer,
    cut: async ({ fresh, open }) => {
      await NEW_LINK_CUTS[fresh]();
      pairs.forEach(OPEN_LINK_CUTS[open]);
    },
    heal,
    close: async () => {
      await release();
      stopListening();
      pairs.forEach(({ far, near }) => {
        near.destroy();
        far.destroy();
      });
    },
  };
}

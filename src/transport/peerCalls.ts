/**
 * Calls a Connect service on peers. One client is kept for each address, and connections are reused.
 */
import http from 'node:http';
import type { DescService } from '@bufbuild/protobuf';
import { type Client, createClient } from '@connectrpc/connect';
import { compressionGzip, createConnectTransport } from '@connectrpc/connect-node';
import { Effect } from 'effect';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';

/** Maximum size of a message that a peer sends or accepts. */
export const MAX_PEER_MESSAGE_BYTES = 8_388_608;
/** Shorter answers are not compressed: that costs more processor time than their bytes are worth. */
export const MIN_COMPRESSED_BYTES = 32_768;

/** Calls one service on any peer. */
export interface PeerCalls<S extends DescService> {
  /** Runs a call on the peer at an address; fails with `PeerUnavailable`. `run` must set a timeout. */
  readonly call: <T>(
    address: string,
    run: (client: Client<S>) => Promise<T>,
  ) => Effect.Effect<T, Diagnostic>;
  /** Closes all connections. */
  readonly close: () => void;
}

/** Creates the caller of a service. */
export function createPeerCalls<S extends DescService>(service: S): PeerCalls<S> {
  const clients = new Map<string, Client<S>>();
  const agent = new http.Agent({ keepAlive: true });

  const getClient = (address: string): Client<S> => {
    const existing = clients.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '1.1',
      nodeOptions: { agent },
      acceptCompression: [compressionGzip],
      readMaxBytes: MAX_PEER_MESSAGE_BYTES,
    });
    const client = createClient(service, transport);
    clients.set(address, client);
    return client;
  };

  return {
    call: (address, run) =>
      Effect.tryPromise({
        // Each call has its own timeout; an abort signal for each would cost more than the call.
        try: () => run(getClient(address)),
        catch: () => createDiagnostic(Diagnostics.PeerUnavailable, address),
      }),
    close: () => agent.destroy(),
  };
}

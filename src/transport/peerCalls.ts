/**
 * Calls of a connect service at peers, whose connections are kept by address.
 */
import http from 'node:http';
import type { DescService } from '@bufbuild/protobuf';
import { type Client, createClient } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { Effect } from 'effect';
import { createDiagnostic, type Diagnostic, Diagnostics } from '../state/diagnostics.js';

/** Largest message that a peer sends or takes. */
export const MAX_PEER_MESSAGE_BYTES = 8_388_608;

/** Calls one service at any peer. */
export interface PeerCalls<S extends DescService> {
  /** Fails with `PeerUnavailable`. Each call states its own time limit. */
  readonly call: <T>(
    address: string,
    run: (client: Client<S>) => Promise<T>,
  ) => Effect.Effect<T, Diagnostic>;
  readonly close: () => void;
}

/** Creates the calls of a service. */
export function createPeerCalls<S extends DescService>(service: S): PeerCalls<S> {
  const clients = new Map<string, Client<S>>();
  const agent = new http.Agent({ keepAlive: true });

  const getClient = (address: string): Client<S> => {
    const known = clients.get(address);
    if (known !== undefined) {
      return known;
    }
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '1.1',
      nodeOptions: { agent },
      readMaxBytes: MAX_PEER_MESSAGE_BYTES,
    });
    const client = createClient(service, transport);
    clients.set(address, client);
    return client;
  };

  return {
    call: (address, run) =>
      Effect.tryPromise({
        // Each call ends by its own time limit; an abort signal for each would cost more than the call.
        try: () => run(getClient(address)),
        catch: () => createDiagnostic(Diagnostics.PeerUnavailable, address),
      }),
    close: () => agent.destroy(),
  };
}

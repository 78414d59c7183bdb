/**
 * Defines the fleet that tests and benchmarks share.
 */
import type { Model, Workspace } from '../../src/state/types.js';
import type { EngineOptions } from './engine.js';
import type { FleetPlan } from './fleet.js';

export const MILL_KEY = 'gd-test-mill';
export const SHOP_KEY = 'gd-test-shop';

const MODELS: readonly Model[] = [
  { name: 'quotation', version: '1', memoryMb: 1_000 },
  { name: 'stock', version: '1', memoryMb: 1_000 },
];

function createWorkspace(name: string, key: string, fields: Partial<Workspace> = {}) {
  return {
    name,
    rateTokensPerSecond: 100_000,
    burstTokens: 1_000_000,
    weight: 1,
    models: ['quotation'],
    routes: ['*'],
    ...fields,
    keys: [key],
  };
}

/** Creates the plan of a fleet of three daemons in two failure domains, two engines and a plain service. */
export function createSmallFleetPlan(
  engineOptions: Partial<EngineOptions> = {},
  daemonFlags: readonly string[] = [],
): FleetPlan {
  const options = {
    memoryMb: 4_000,
    tokenMs: 2,
    models: MODELS.map(({ memoryMb, name, version }) => ({ tag: `${name}@${version}`, memoryMb })),
    ...engineOptions,
  };
  const route = {
    methods: ['GET', 'POST'],
    backendServers: ['booking'],
    open: false,
    costTokens: 1,
  };
  return {
    failureDomains: [
      { name: 'fd-a', share: 2 },
      { name: 'fd-b', share: 1 },
    ],
    daemons: ['fd-a', 'fd-a', 'fd-b'],
    engines: [
      { name: 'engine-a', failureDomain: 'fd-a', options },
      { name: 'engine-b', failureDomain: 'fd-b', options },
    ],
    services: [{ name: 'booking', failureDomain: 'fd-a' }],
    models: MODELS,
    routes: [
      { ...route, name: 'booking', pathPrefix: '/booking', idempotent: false },
      { ...route, name: 'lookup', pathPrefix: '/lookup', idempotent: true },
      { ...route, name: 'public', pathPrefix: '/public', idempotent: true, open: true },
    ],
    workspaces: [
      createWorkspace('mill', MILL_KEY),
      createWorkspace('shop', SHOP_KEY, { models: ['stock'], routes: [] }),
    ],
    daemonFlags: ['--unready-ms', '300', '--body-timeout-ms', '1000', ...daemonFlags],
  };
}

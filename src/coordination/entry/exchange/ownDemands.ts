/**
 * The demands at this VM, in the form in which it reports them to the other VMs.
 */
import type { ModelDemand, WorkspaceDemand } from '../../../state/entry/reports.js';
import { getDemand, listDemands } from './demand.js';
import { countWaitingRequests } from '../requests/forwarding.js';
import { getWorkspaceSpareTokens } from '../limits/rateLoans.js';
import { getRateHolders } from '../limits/rates.js';
import { type EntryState, isShuttingDown } from '../state.js';

/** Returns whether the VMs divide a workspace's rate by their demands. */
function isDividedByDemand(state: EntryState, name: string): boolean {
  const workspace = state.deployment?.workspacesByName.get(name);
  return (
    workspace !== undefined &&
    workspace.rateTokensPerSecond > 0 &&
    getRateHolders(state, workspace) === null
  );
}

/**
 * Returns the demand and the spare tokens at this VM for each workspace that has a demand or a bucket here and whose rate
 * is divided by demand.
 */
export function listWorkspaceDemands(state: EntryState, nowMs: number): WorkspaceDemand[] {
  const demands = new Map(
    listDemands(state.workspaceDemand, nowMs).map(({ name, tokensPerSecond }) => [
      name,
      tokensPerSecond,
    ]),
  );
  const names = new Set([...demands.keys(), ...state.buckets.keys()]);
  const { vmId } = state.self;
  return [...names]
    .filter((name) => isDividedByDemand(state, name))
    .map((name) => {
      const spareTokens = isShuttingDown(state) ? 0 : getWorkspaceSpareTokens(state, name, nowMs);
      return {
        name,
        tokensPerSecond: demands.get(name) ?? 0,
        lenders: spareTokens >= 1 ? [{ vmId, spareTokens }] : [],
      };
    });
}

/** Returns the software versions that alone may run some of the waiting requests; null stands for those that any may run. */
function listWaitingVersions({ requests }: EntryState): (string | null)[] {
  return [...new Set([null, ...[...requests.values()].map(({ streamVersion }) => streamVersion)])];
}

/**
 * Returns the demand at this VM for each model and adapter. Requests that go on with streams wait for engines of one software
 * version, so their numbers come apart.
 */
export function listModelDemands(state: EntryState, nowMs: number): ModelDemand[] {
  const demands = listDemands(state.modelDemand, nowMs);
  return listWaitingVersions(state).flatMap((softwareVersion) => {
    const isAny = softwareVersion === null;
    const waiting = countWaitingRequests(
      state,
      ({ streamVersion }) => streamVersion === softwareVersion,
    );
    return demands
      .filter(({ name }) => isAny || waiting.has(name))
      .map(({ name, tokensPerSecond }) => {
        const [service = '', variant = ''] = name.split(' ');
        const [model = '', adapter = null] = variant.split('/');
        return {
          service,
          model,
          adapter,
          tokensPerSecond: isAny ? tokensPerSecond : 0,
          valuePerSecond: isAny ? getDemand(state.weightedModelDemand, name, nowMs) : 0,
          waitingRequests: waiting.get(name) ?? 0,
          softwareVersion,
        };
      });
  });
}

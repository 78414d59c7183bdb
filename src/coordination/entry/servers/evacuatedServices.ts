/**
 * Tells which services have all their servers in evacuated failure domains. Their requests are rejected at once: an evacuation may last
 * longer than any request.
 */
import { listOffering } from '../../../state/entry/backendLists.js';
import type { EntryState } from '../state.js';

/** Returns whether all servers of a service are in evacuated failure domains, so that none can take a request. */
export function isServiceEvacuated(state: EntryState, service: string): boolean {
  const { backendLists, backends, evacuations } = state;
  if (evacuations.size === 0) {
    return false;
  }
  const servers = listOffering(backendLists, backends, service, null);
  return servers.length > 0 && servers.every(({ isEvacuated }) => isEvacuated);
}

/**
 * Decides in which failure domains a request may run: those of the regions that its route and its workspace allow, if they name any. Its
 * body is not sent to a VM elsewhere either.
 */
import type { EntryState, ForwardRecord } from '../state.js';

/** Returns whether a request may be sent to a server or VM in a failure domain. One whose region is not known is in none. */
export function isDomainAllowed(
  { regionsByDomain }: Pick<EntryState, 'regionsByDomain'>,
  { route, workspace }: Pick<ForwardRecord, 'route' | 'workspace'>,
  failureDomain: string,
): boolean {
  const region = regionsByDomain.get(failureDomain) ?? '';
  return [route.allowedRegions, workspace?.allowedRegions ?? null].every(
    (allowed) => allowed === null || allowed.has(region),
  );
}

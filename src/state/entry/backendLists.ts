/**
 * Lists of the backend servers that offer a service, or that have loaded one of its models. Each request asks for such a list,
 * often more than once, while a fleet has hundreds of servers, of which few hold the model. A list is computed when it is first
 * asked for and kept until the entry of a server that belongs in it changes.
 */
import { type Backend, type BackendEntry, findResidentModel } from './backends.js';

/** The lists that have been computed, by service and model; the model is null in a list of all servers of the service. */
export type BackendLists = Map<string, Map<string | null, readonly Backend[]>>;

/** Returns whether a server offers a service and has loaded a model, if one is given. */
export function isOffering({ entry }: Backend, service: string, model: string | null): boolean {
  return (
    entry.service === service && (model === null || findResidentModel(entry, model) !== undefined)
  );
}

/** Returns the servers that offer a service and have loaded a model, if one is given, in the order of `backends`. */
export function listOffering(
  lists: BackendLists,
  backends: ReadonlyMap<string, Backend>,
  service: string,
  model: string | null,
): readonly Backend[] {
  const known = lists.get(service)?.get(model);
  if (known !== undefined) {
    return known;
  }
  const list = [...backends.values()].filter((backend) => isOffering(backend, service, model));
  // Callers may name any model; only lists with servers in them are kept, so that their number stays bounded.
  if (list.length > 0) {
    const listsOfService = lists.get(service) ?? new Map<string | null, readonly Backend[]>();
    listsOfService.set(model, list);
    lists.set(service, listsOfService);
  }
  return list;
}

/** Discards the lists in which a server belongs by an entry. To be called with the old and the new entry of each change. */
export function discardListsOf(lists: BackendLists, { models, service }: BackendEntry): void {
  const listsOfService = lists.get(service);
  listsOfService?.delete(null);
  models.forEach(({ name }) => listsOfService?.delete(name));
}

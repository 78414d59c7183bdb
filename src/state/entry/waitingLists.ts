/**
 * The waiting requests, sorted by service and model. Within one model, the more urgent go first. Among requests that are equally
 * urgent, the workspaces take turns, so that one that sends many requests delays itself rather than the others; within a turn, the
 * request whose latest useful start comes first goes first.
 */
import { createRandom, type RandomState } from '../random.js';
import {
  type Compare,
  countItems,
  countItemsBefore,
  createRankedTree,
  findItemFrom,
  insertItem,
  iterateItems,
  type RankedTree,
  removeItem,
} from './rankedTree.js';

/** What the order of a waiting request follows from. */
export interface WaitingTerms {
  readonly requestId: string;
  readonly service: string;
  /** Null if any server of the service will do. */
  readonly model: string | null;
  /** From 0, the most urgent. */
  readonly urgency: number;
  /** True if a long latency objective lets it go behind the others of its urgency. */
  readonly isDeferrable: boolean;
  /** Null if the request takes no turns with those of other workspaces. */
  readonly turnsOf: string | null;
  /** Null if it goes by its arrival alone. */
  readonly latestStartMs: number | null;
  /** Place in the order of arrival, different for each request. */
  readonly sequence: number;
}

/** A waiting request and its place in the order. */
export interface WaitingEntry<T> {
  readonly terms: WaitingTerms;
  readonly turn: number;
  readonly item: T;
}

/** The requests that wait for one model. */
interface WaitingList<T> {
  readonly tree: RankedTree<WaitingEntry<T>>;
  /** The last turn that each workspace has taken among requests of a rank, by rank and workspace. */
  readonly lastTurns: Map<number, Map<string, number>>;
}

export interface WaitingLists<T> {
  readonly random: RandomState;
  readonly lists: Map<string, Map<string | null, WaitingList<T>>>;
  readonly entries: Map<string, WaitingEntry<T>>;
}

/** Creates lists without requests. */
export function createWaitingLists<T>(): WaitingLists<T> {
  return { random: createRandom(1), lists: new Map(), entries: new Map() };
}

/** Returns the rank of a request, from 0: requests of a lower rank go before those of a higher one. */
function getRank({ isDeferrable, urgency }: WaitingTerms): number {
  return urgency * 2 + Number(isDeferrable);
}

/** Orders two waiting requests, also those of different models. */
export const compareWaiting: Compare<WaitingEntry<unknown>> = (a, b) =>
  getRank(a.terms) - getRank(b.terms) ||
  a.turn - b.turn ||
  (a.terms.latestStartMs ?? 0) - (b.terms.latestStartMs ?? 0) ||
  a.terms.sequence - b.terms.sequence;

/** Returns a place before all requests of a rank and turn. */
function createPlaceBefore<T>(terms: WaitingTerms, turn: number): WaitingEntry<T> {
  const first = { latestStartMs: Number.NEGATIVE_INFINITY, sequence: -1 };
  return { terms: { ...terms, ...first }, turn, item: undefined as T };
}

/** Returns the turns that workspaces have taken among the waiting requests of a rank, and the current one; null if none waits. */
function findTurns<T>(
  { lastTurns, tree }: WaitingList<T>,
  terms: WaitingTerms,
): { readonly current: number; readonly taken: Map<string, number> } | null {
  const rank = getRank(terms);
  const first = findItemFrom(tree, createPlaceBefore<T>(terms, 0));
  const taken = lastTurns.get(rank);
  return first === undefined || taken === undefined || getRank(first.terms) !== rank
    ? null
    : { current: first.turn, taken };
}

/** Returns the turn of a new request: after those that its workspace has taken, and not before the current one. */
function getTurn<T>(list: WaitingList<T>, terms: WaitingTerms): number {
  const turns = terms.turnsOf === null ? null : findTurns(list, terms);
  const last = turns?.taken.get(terms.turnsOf!) ?? -1;
  return turns === null ? 0 : Math.max(turns.current, last + 1);
}

function takeTurn<T>(list: WaitingList<T>, terms: WaitingTerms): number {
  const turn = getTurn(list, terms);
  if (terms.turnsOf !== null) {
    const taken = findTurns(list, terms)?.taken ?? new Map<string, number>();
    taken.set(terms.turnsOf, turn);
    list.lastTurns.set(getRank(terms), taken);
  }
  return turn;
}

function findList<T>({ lists }: WaitingLists<T>, terms: WaitingTerms): WaitingList<T> | undefined {
  return lists.get(terms.service)?.get(terms.model);
}

function openList<T>(waiting: WaitingLists<T>, terms: WaitingTerms): WaitingList<T> {
  const known = findList(waiting, terms);
  if (known !== undefined) {
    return known;
  }
  const tree = createRankedTree<WaitingEntry<T>>(compareWaiting, waiting.random);
  const list = { tree, lastTurns: new Map() };
  const lists = waiting.lists.get(terms.service) ?? new Map<string | null, WaitingList<T>>();
  lists.set(terms.model, list);
  waiting.lists.set(terms.service, lists);
  return list;
}

/** Adds a request. One that already waits keeps its place. */
export function addWaiting<T>(waiting: WaitingLists<T>, terms: WaitingTerms, item: T): void {
  if (waiting.entries.has(terms.requestId)) {
    return;
  }
  const list = openList(waiting, terms);
  const entry = { terms, turn: takeTurn(list, terms), item };
  waiting.entries.set(terms.requestId, entry);
  insertItem(list.tree, entry);
}

/** Removes a request if it waits. */
export function removeWaiting<T>(waiting: WaitingLists<T>, requestId: string): void {
  const entry = waiting.entries.get(requestId);
  if (entry === undefined) {
    return;
  }
  const { model, service } = entry.terms;
  const { tree } = findList(waiting, entry.terms)!;
  waiting.entries.delete(requestId);
  removeItem(tree, entry);
  if (countItems(tree) === 0) {
    waiting.lists.get(service)!.delete(model);
  }
}

/** Returns the number of requests for the same model that wait and would go before one, whether or not that waits. */
export function countWaitingBefore<T>(waiting: WaitingLists<T>, terms: WaitingTerms): number {
  const list = findList(waiting, terms);
  if (list === undefined) {
    return 0;
  }
  const place = { terms, turn: getTurn(list, terms), item: undefined as T };
  return countItemsBefore(list.tree, waiting.entries.get(terms.requestId) ?? place);
}

/** The models of each service whose requests are meant; null for all of a service. */
export type WaitingSelection = ReadonlyMap<string, readonly (string | null)[] | null>;

function findTrees<T>(
  { lists }: WaitingLists<T>,
  selection: WaitingSelection | null,
): RankedTree<WaitingEntry<T>>[] {
  const selected =
    selection === null
      ? [...lists.values()].flatMap((byModel) => [...byModel.values()])
      : [...selection].flatMap(([service, models]) => {
          const byModel = lists.get(service);
          return models === null
            ? [...(byModel?.values() ?? [])]
            : models.map((model) => byModel?.get(model));
        });
  return selected.flatMap((list) => (list === undefined ? [] : [list.tree]));
}

/** Returns the requests of a selection in their order; all if it is null. */
export function listWaiting<T>(waiting: WaitingLists<T>, selection: WaitingSelection | null): T[] {
  const entries = findTrees(waiting, selection).flatMap((tree) => [...iterateItems(tree)]);
  return entries.sort(compareWaiting).map(({ item }) => item);
}

function findFirst<T>(
  tree: RankedTree<WaitingEntry<T>>,
  isMeant: (item: T) => boolean,
): WaitingEntry<T>[] {
  for (const entry of iterateItems(tree)) {
    if (isMeant(entry.item)) {
      return [entry];
    }
  }
  return [];
}

/** Returns the first request of a selection that meets a condition. */
export function findFirstWaiting<T>(
  waiting: WaitingLists<T>,
  selection: WaitingSelection | null,
  isMeant: (item: T) => boolean,
): T | undefined {
  const firsts = findTrees(waiting, selection).flatMap((tree) => findFirst(tree, isMeant));
  return firsts.sort(compareWaiting)[0]?.item;
}

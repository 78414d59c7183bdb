/**
 * A sorted set that also tells how many of its items come before a given one. It is a treap, a binary search tree that random
 * weights keep balanced, in which each node counts the items below it: an insertion, a removal and a count take O(log n).
 */
import { nextRandom, type RandomState } from '../random.js';

interface TreeNode<T> {
  readonly item: T;
  /** Larger than that of all nodes below it. */
  readonly weight: number;
  size: number;
  left: TreeNode<T> | null;
  right: TreeNode<T> | null;
}

type Subtree<T> = TreeNode<T> | null;

/** Returns a negative number if the first item comes before the second, and 0 only for the same item. */
export type Compare<T> = (a: T, b: T) => number;

export interface RankedTree<T> {
  readonly compare: Compare<T>;
  readonly random: RandomState;
  root: Subtree<T>;
}

/** Creates an empty set. */
export function createRankedTree<T>(compare: Compare<T>, random: RandomState): RankedTree<T> {
  return { compare, random, root: null };
}

function getSize<T>(tree: Subtree<T>): number {
  return tree === null ? 0 : tree.size;
}

function updateSize<T>(node: TreeNode<T>): TreeNode<T> {
  node.size = 1 + getSize(node.left) + getSize(node.right);
  return node;
}

/** Splits a subtree into the items before a given one and the others. */
function split<T>(tree: Subtree<T>, item: T, compare: Compare<T>): [Subtree<T>, Subtree<T>] {
  if (tree === null) {
    return [null, null];
  }
  if (compare(tree.item, item) < 0) {
    const [before, others] = split(tree.right, item, compare);
    tree.right = before;
    return [updateSize(tree), others];
  }
  const [before, others] = split(tree.left, item, compare);
  tree.left = others;
  return [before, updateSize(tree)];
}

/** Joins two subtrees of which the first has the earlier items. */
function join<T>(a: Subtree<T>, b: Subtree<T>): Subtree<T> {
  if (a === null || b === null) {
    return a ?? b;
  }
  if (a.weight > b.weight) {
    a.right = join(a.right, b);
    return updateSize(a);
  }
  b.left = join(a, b.left);
  return updateSize(b);
}

function removeFrom<T>(tree: Subtree<T>, item: T, compare: Compare<T>): Subtree<T> {
  if (tree === null) {
    return null;
  }
  const order = compare(item, tree.item);
  if (order === 0) {
    return join(tree.left, tree.right);
  }
  const side = order < 0 ? 'left' : 'right';
  tree[side] = removeFrom(tree[side], item, compare);
  return updateSize(tree);
}

/** Adds an item that the set does not have. */
export function insertItem<T>(tree: RankedTree<T>, item: T): void {
  const [before, others] = split(tree.root, item, tree.compare);
  const weight = nextRandom(tree.random);
  const node: TreeNode<T> = { item, weight, size: 1, left: null, right: null };
  tree.root = join(join(before, node), others);
}

/** Removes an item if the set has it. */
export function removeItem<T>(tree: RankedTree<T>, item: T): void {
  tree.root = removeFrom(tree.root, item, tree.compare);
}

/** Returns the number of items. */
export function countItems<T>({ root }: RankedTree<T>): number {
  return getSize(root);
}

/** Returns the number of items that come before a given one, whether or not the set has that. */
export function countItemsBefore<T>({ compare, root }: RankedTree<T>, item: T): number {
  let count = 0;
  let node = root;
  while (node !== null) {
    const isBefore = compare(node.item, item) < 0;
    count += isBefore ? 1 + getSize(node.left) : 0;
    node = isBefore ? node.right : node.left;
  }
  return count;
}

/** Returns the first item that does not come before a given one. */
export function findItemFrom<T>({ compare, root }: RankedTree<T>, item: T): T | undefined {
  let found: T | undefined;
  let node = root;
  while (node !== null) {
    const isBefore = compare(node.item, item) < 0;
    found = isBefore ? found : node.item;
    node = isBefore ? node.right : node.left;
  }
  return found;
}

function* walk<T>(tree: Subtree<T>): Generator<T> {
  if (tree !== null) {
    yield* walk(tree.left);
    yield tree.item;
    yield* walk(tree.right);
  }
}

/** Returns the items in their order. The set must not be changed meanwhile. */
export function iterateItems<T>({ root }: RankedTree<T>): Generator<T> {
  return walk(root);
}

/**
 * Collects the bytes of a body. A body may arrive a byte at a time, and the object that holds a piece takes hundreds of bytes: short
 * pieces are copied into blocks, so that what is held is no more than about twice what has been counted.
 */

/** Pieces of half this length or more are kept as they are. */
const BLOCK_BYTES = 4_096;
const NO_BYTES: Buffer = Buffer.alloc(0);

/** Bytes in the order in which they were added. */
export interface ByteCollector {
  readonly add: (piece: Buffer) => void;
  /** Returns the number of bytes held. */
  readonly getLength: () => number;
  /** Returns all bytes, and holds none any more. */
  readonly take: () => Buffer;
  /** Holds nothing any more. */
  readonly clear: () => void;
}

/** Creates a collector without bytes. */
export function createByteCollector(): ByteCollector {
  let blocks: Buffer[] = [];
  /** The block to which short pieces are added; a single piece until there is a second one. */
  let open = NO_BYTES;
  let openLength = 0;
  let length = 0;

  const closeBlock = (): void => {
    if (openLength > 0) {
      const used = open.subarray(0, openLength);
      blocks.push(openLength < open.length / 2 ? Buffer.from(used) : used);
    }
    open = NO_BYTES;
    openLength = 0;
  };

  const addShort = (piece: Buffer): void => {
    const needed = openLength + piece.length;
    if (openLength === 0) {
      open = piece;
    } else if (needed > open.length && needed <= BLOCK_BYTES) {
      const block = Buffer.allocUnsafe(BLOCK_BYTES);
      open.copy(block, 0, 0, openLength);
      open = block;
    } else if (needed > open.length) {
      closeBlock();
      open = piece;
    }
    if (open !== piece) {
      piece.copy(open, openLength);
    }
    openLength += piece.length;
  };

  const clear = (): void => {
    blocks = [];
    open = NO_BYTES;
    openLength = 0;
    length = 0;
  };

  return {
    clear,
    getLength: () => length,
    add: (piece) => {
      length += piece.length;
      if (piece.length < BLOCK_BYTES / 2) {
        addShort(piece);
      } else {
        closeBlock();
        blocks.push(piece);
      }
    },
    take: () => {
      closeBlock();
      const bytes = Buffer.concat(blocks, length);
      clear();
      return bytes;
    },
  };
}

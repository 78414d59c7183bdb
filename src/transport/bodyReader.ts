/**
 * Reads the body of an answer in the pieces in which its connection brings it. The parser makes an object of hundreds of bytes for each
 * chunk, however short: the chunks that arrive together are joined at once, and none is left in parts while reading is paused.
 */
import type { IncomingMessage } from 'node:http';

/** The shortest chunk has a size of one digit and two line ends. */
const MIN_CHUNK_FRAMING_BYTES = 5;

/** What a connection has brought of a body at once. */
export interface BodyPiece {
  readonly bytes: Buffer;
  /** Bytes that were read for it, with those of its framing. */
  readonly receivedBytes: number;
  /** Number of chunks that it may have had, by the bytes of its framing. */
  readonly maxChunks: number;
}

/** The reading of one body. */
export interface BodyReader {
  /** Stops reading the connection, after what has been read of it. */
  readonly pause: () => void;
  readonly resume: () => void;
}

/**
 * Starts to read a body.
 *
 * @param onEnd Called after the last piece of a body that has ended, also while reading is paused.
 */
export function readBodyInPieces(
  message: IncomingMessage,
  onPiece: (piece: BodyPiece) => void,
  onEnd: () => void,
): BodyReader {
  // Node.js detaches the connection from the message before the `end` event.
  const { socket } = message;
  let isPaused = false;
  let hasEnded = false;
  let countedBytes = socket.bytesRead;
  message.on('readable', () => {
    const bytes = message.read() as Buffer | null;
    if (bytes !== null) {
      // What was read together with the head is not known, so the first piece counts without its framing.
      const receivedBytes = Math.max(bytes.length, socket.bytesRead - countedBytes);
      countedBytes = socket.bytesRead;
      const framingBytes = receivedBytes - bytes.length;
      const maxChunks = Math.floor(framingBytes / MIN_CHUNK_FRAMING_BYTES);
      onPiece({ bytes, receivedBytes, maxChunks });
    }
    // Reading a message also starts to read its connection.
    if (isPaused) {
      socket.pause();
    }
  });
  message.on('end', () => {
    // The connection may be used for other requests.
    hasEnded = true;
    socket.resume();
    onEnd();
  });
  return {
    pause: () => {
      if (!hasEnded) {
        isPaused = true;
        socket.pause();
      }
    },
    resume: () => {
      if (!hasEnded) {
        isPaused = false;
        socket.resume();
      }
    },
  };
}

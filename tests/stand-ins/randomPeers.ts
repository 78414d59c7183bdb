/**
 * Callers and a server that send random bytes beside requests and answers of all forms, in random pieces, and end their connections in random
 * ways. What they draw depends on a seed; when it arrives does not.
 */
import net, { type AddressInfo, type Socket } from 'node:net';
import { nextRandom, nextRandomInt, type RandomState } from '../../src/state/random.js';
import { wait } from './entryVms.js';

const MAX_GARBAGE_BYTES = 3_000;
const MAX_PIECE_GAP_MS = 12;
const MAX_OPEN_MS = 600;
const LARGE_BODY_BYTES = 60_000;
const SPLIT_FRACTION = 0.3;
const GARBAGE_FRACTION = 0.05;
const SOUND_FRACTION = 0.55;
const END_FRACTION = 0.25;
const MIDWAY_END_FRACTION = 0.05;

function pick<T>(random: RandomState, from: readonly T[]): T {
  return from[nextRandomInt(random, from.length)]!;
}

function createGarbage(random: RandomState): Buffer {
  const length = 1 + nextRandomInt(random, MAX_GARBAGE_BYTES);
  return Buffer.from(Array.from({ length }, () => nextRandomInt(random, 256)));
}

type End = (socket: Socket) => void;

const ENDS: readonly End[] = [
  (socket) => socket.end(),
  (socket) => socket.destroy(),
  (socket) => socket.resetAndDestroy(),
  () => {},
];

/** Writes bytes, at times in two pieces with a pause between them. */
async function writePieces(socket: Socket, bytes: Buffer, random: RandomState): Promise<void> {
  const splitAt = nextRandom(random) < SPLIT_FRACTION ? nextRandomInt(random, bytes.length) : 0;
  for (const piece of [bytes.subarray(0, splitAt), bytes.subarray(splitAt)]) {
    if (piece.length > 0 && socket.writable) {
      socket.write(piece);
      await wait(nextRandom(random) * MAX_PIECE_GAP_MS);
    }
  }
}

/** Returns the parts of an answer to a request with an id. */
type AnswerForm = (id: string, random: RandomState) => readonly (string | Buffer)[];

function formatHead(id: string, ...fields: readonly string[]): string {
  const lines = ['HTTP/1.1 200 OK', `x-attempt-id: ${id}`, 'x-server-seal: s', ...fields];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function formatEvents(count: number): string[] {
  return Array.from({ length: count }, (_, i) => `id: ${i + 1}\ndata: e${i + 1}\n\n`);
}

const toChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const EVENT_STREAM = 'content-type: text/event-stream';

const SOUND_ANSWERS: readonly AnswerForm[] = [
  (id) => [`${formatHead(id, 'content-length: 5')}hello`],
  (id) => [
    formatHead(id, EVENT_STREAM, 'transfer-encoding: chunked'),
    ...formatEvents(8).map(toChunk),
    toChunk(''),
  ],
  (id) => [formatHead(id, EVENT_STREAM, 'connection: close'), ...formatEvents(3)],
];

const ODD_ANSWERS: readonly AnswerForm[] = [
  (id) => [`${formatHead(id, 'content-length: 50')}short`],
  (_id, random) => [createGarbage(random)],
  () => ['HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n', 'HTTP/1.1 100 Continue\r\n\r\n'],
  () => ['HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\nabc'],
  (id) => [
    `HTTP/1.1 503 Busy\r\nx-attempt-id: ${id}\r\nx-not-executed: 1\r\nretry-after: 0.2\r\ncontent-length: 0\r\n\r\n`,
  ],
  (id) => [formatHead(id, 'transfer-encoding: chunked'), 'zz\r\nno chunk'],
  (id) => [`${formatHead('other', 'content-length: 2')}hi`, formatHead(id, 'content-length: 0')],
  (_id, random) => ['HTTP/1.0 200 OK\r\n\r\n', 'x'.repeat(nextRandomInt(random, 100_000))],
  (id) => [`HTTP/1.1 204 No Content\r\nx-attempt-id: ${id}\r\n\r\n`],
  () => ['HTTP/1.1 304 Not Modified\r\ncontent-length: 10\r\n\r\n'],
  (_id, random) => [`HTTP/1.1 999 ${'x'.repeat(nextRandomInt(random, 30_000))}\r\n\r\n`],
  () => [],
  (id) => [`${formatHead(id, 'content-length: 5', 'content-length: 7')}hellooo`],
  (id) => [
    formatHead(id, 'transfer-encoding: chunked', 'trailer: x'),
    `${toChunk('hello')}0\r\nx: y\r\n\r\n`,
  ],
];

async function answer(socket: Socket, id: string, random: RandomState): Promise<void> {
  const forms = nextRandom(random) < SOUND_FRACTION ? SOUND_ANSWERS : ODD_ANSWERS;
  for (const part of pick(random, forms)(id, random)) {
    if (nextRandom(random) < MIDWAY_END_FRACTION) {
      pick(random, ENDS)(socket);
    }
    await writePieces(socket, Buffer.from(part), random);
  }
  if (nextRandom(random) < END_FRACTION) {
    pick(random, ENDS)(socket);
  }
}

/** Starts a server that answers in random forms. Returns its address, and what closes it. */
export async function startRandomServer(
  random: RandomState,
): Promise<{ readonly address: string; readonly close: () => void }> {
  const sockets = new Set<Socket>();
  const server = net.createServer({ allowHalfOpen: true }, (socket) => {
    let received = '';
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    socket.on('end', () => socket.end());
    socket.on('data', (data) => {
      received += data.toString('latin1');
      if (received.includes('\r\n\r\n')) {
        const id = /x-attempt-id: *([^\r\n]*)/i.exec(received)?.[1] ?? 'none';
        received = '';
        void answer(socket, id, random);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

const METHODS = ['POST', 'GET', 'PUT', 'HEAD', 'OPTIONS', 'DELETE', 'CONNECT', 'PATCH', 'QUERY'];
const PATHS = [
  '/look/x',
  '/book/x',
  '/draft/x',
  '/letter/x',
  '/none',
  '/look/../x',
  '*',
  '/look/%zz',
];
const VERSIONS = ['1.1', '1.1', '1.1', '1.0', '1.2'];

/** Each returns the fields that frame a body, and what is sent of it. */
const FRAMINGS: readonly ((body: string) => { readonly fields: string; readonly sent: string })[] =
  [
    () => ({ fields: '', sent: '' }),
    (body) => ({ fields: `content-length: ${body.length}\r\n`, sent: body }),
    (body) => ({
      fields: 'transfer-encoding: chunked\r\n',
      sent: `${body === '' ? '' : toChunk(body)}${toChunk('')}`,
    }),
    (body) => ({ fields: `content-length: ${body.length + 50}\r\n`, sent: body }),
    () => ({ fields: 'transfer-encoding: chunked\r\ncontent-length: 4\r\n', sent: '5\r\nhel' }),
    () => ({ fields: 'expect: 100-continue\r\ncontent-length: 3\r\n', sent: 'abc' }),
    () => ({ fields: 'upgrade: websocket\r\nconnection: upgrade\r\n', sent: '' }),
  ];

const EXTRA_FIELDS: readonly string[] = [
  '',
  '',
  'x-prompt-prefix: aa:10,bb:20\r\nx-model: m0\r\n',
  'last-event-id: 3\r\nresumes: r-1\r\n',
  ...['0', '-1', '1e9', 'abc', '50', '3000'].map((value) => `x-deadline-ms: ${value}\r\n`),
  ...['1,2', '-1,5', '9e99,1', 'a,b', ''].map((value) => `x-token-count: ${value}\r\n`),
  'te: trailers\r\ntrailer: x\r\n',
  `${'x'.repeat(20_000)}: y\r\n`,
  '\0bad: 1\r\n',
  'connection: close\r\n',
];

function createRequest(random: RandomState, id: string): Buffer {
  const bodyBytes = nextRandomInt(random, pick(random, [300, 300, 300, LARGE_BODY_BYTES]));
  const { fields, sent } = pick(random, FRAMINGS)('x'.repeat(bodyBytes));
  const line = `${pick(random, METHODS)} ${pick(random, PATHS)} HTTP/${pick(random, VERSIONS)}\r\n`;
  const common = `host: h\r\nx-attempt-id: ${id}\r\nx-api-key: key-1\r\n`;
  const text = `${line}${common}${pick(random, EXTRA_FIELDS)}${fields}\r\n${sent}`;
  return Buffer.from(text, 'latin1');
}

/** Ways in which a caller reads. */
const READINGS: readonly ((socket: Socket, random: RandomState) => void)[] = [
  (socket) => socket.on('data', () => {}),
  (socket) => socket.on('data', () => {}),
  (socket, random) =>
    socket.on('data', () => {
      socket.pause();
      setTimeout(() => socket.resume(), nextRandomInt(random, 300));
    }),
  () => {},
];

/** Sends random requests on one connection after the other until `isOver`. Returns their number. */
export async function runRandomCaller(
  addresses: readonly string[],
  random: RandomState,
  isOver: () => boolean,
): Promise<number> {
  let sent = 0;
  while (!isOver()) {
    const [host = '', port = ''] = pick(random, addresses).split(':');
    const socket = net.connect({ host, port: Number(port), allowHalfOpen: true });
    const closed = new Promise((resolve) => {
      socket.once('close', resolve);
    });
    socket.on('error', () => {});
    pick(random, READINGS)(socket, random);
    const count = 1 + nextRandomInt(random, pick(random, [1, 1, 3, 20]));
    for (let i = 0; i < count && socket.writable; i += 1) {
      const isGarbage = nextRandom(random) < GARBAGE_FRACTION;
      const id = `r-${random.seed}`;
      const bytes = isGarbage ? createGarbage(random) : createRequest(random, id);
      await writePieces(socket, bytes, random);
      sent += 1;
    }
    pick(random, ENDS)(socket);
    await Promise.race([closed, wait(nextRandomInt(random, MAX_OPEN_MS))]);
    socket.destroy();
  }
  return sent;
}

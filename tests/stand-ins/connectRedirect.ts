/**
 * Has a process connect to one host in place of another at the same ports, once it is imported before the process's program. The variable
 * `GENTIANDECK_TEST_REDIRECT` names both hosts, with a space between them.
 */
import { Socket } from 'node:net';

/** Names the variable of the environment that tells which host is replaced. */
export const REDIRECT_VARIABLE = 'GENTIANDECK_TEST_REDIRECT';

const [from = '', to = ''] = (process.env[REDIRECT_VARIABLE] ?? '').split(' ');
const { connect } = Socket.prototype;

/** Returns the options of a connect, or a copy with the other host: agents keep connections by the options that they have given. */
function redirect(options: unknown): unknown {
  const hasHost = typeof options === 'object' && options !== null && 'host' in options;
  return hasHost && options.host === from ? { ...options, host: to } : options;
}

function connectElsewhere(this: Socket, ...args: unknown[]): Socket {
  const [first] = args;
  // Functions of Node.js hand their arguments on in a list, which is new each time.
  const list = Array.isArray(first) ? first : args;
  list[0] = redirect(list[0]);
  return Reflect.apply(connect, this, args) as Socket;
}

if (from !== '') {
  Socket.prototype.connect = connectElsewhere;
}

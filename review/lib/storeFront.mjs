/* eslint import-x/extensions: off, import-x/prefer-default-export: off, no-await-in-loop: off, no-restricted-syntax: off, n/no-process-exit: off, n/no-unsupported-features/node-builtins: off */
/**
 * Stands between all machines and the store, and plays its troubles: answers that take long, and an outage in which each
 * call is answered 503 and nothing is done.
 */
import http from 'node:http';

/** Starts the front of a store. */
export async function startStoreFront(target) {
  const [host, port] = target.split(':');
  const front = { delayMs: 0, isDown: false, onCall: () => {}, address: '' };
  const server = http.createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      front.onCall(`${request.method} ${request.url}`);
      setTimeout(() => {
        if (front.isDown) {
          response.writeHead(503, { 'Store-Era': '1', 'content-type': 'application/json' });
          response.end('{}');
          return;
        }
        const { headers, method, url: path } = request;
        const call = http.request({ host, port, method, path, headers }, (answer) => {
          response.writeHead(answer.statusCode, answer.headers);
          answer.pipe(response);
        });
        call.on('error', () => response.destroy());
        response.on('close', () => call.destroy());
        call.end(Buffer.concat(chunks));
      }, front.delayMs);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  front.address = `127.0.0.1:${server.address().port}`;
  return front;
}

/**
 * Generates HTTP load: either at a fixed rate (open loop), or from a number of workers that each send the
 * next request when the previous one ends (closed loop).
 */
import http from 'node:http';

/** The outcome of one request. */
export interface Sample {
  readonly firstByteMs: number;
  readonly totalMs: number;
  readonly isSuccessful: boolean;
}

/** The request to send, and the text that a complete response contains. */
export interface LoadTarget {
  readonly url: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly endMarker: string;
}

const agent = new http.Agent({ keepAlive: true, maxSockets: 512 });

/** Sends one request and reads the response to its end. Failures resolve as an unsuccessful sample. */
export function sendRequest(target: LoadTarget): Promise<Sample> {
  const startMs = performance.now();
  return new Promise((resolve) => {
    const resolveAsFailed = (): void => {
      resolve({ firstByteMs: 0, totalMs: performance.now() - startMs, isSuccessful: false });
    };
    const request = http.request(
      target.url,
      {
        method: 'POST',
        agent,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(target.body),
          ...target.headers,
        },
      },
      (response) => {
        let firstByteMs = 0;
        let text = '';
        response.setEncoding('utf8');
        response.on('data', (chunk: string) => {
          firstByteMs ||= performance.now() - startMs;
          text += chunk;
        });
        response.on('error', resolveAsFailed);
        response.on('end', () => {
          const isSuccessful = response.statusCode === 200 && text.includes(target.endMarker);
          resolve({ firstByteMs, totalMs: performance.now() - startMs, isSuccessful });
        });
      },
    );
    request.on('error', resolveAsFailed);
    request.end(target.body);
  });
}

/**
 * Sends requests to each target at a fixed rate, evenly spaced, without waiting for responses. Returns the
 * samples of each target.
 */
export async function runAtRate(
  targets: readonly LoadTarget[],
  requestsPerSecond: number,
  durationMs: number,
): Promise<Sample[][]> {
  const samplesByTarget: Promise<Sample>[][] = targets.map(() => []);
  const startMs = performance.now();
  const requestCount = Math.floor((requestsPerSecond * targets.length * durationMs) / 1_000);
  for (let i = 0; i < requestCount; i += 1) {
    const dueMs = startMs + (i * 1_000) / (requestsPerSecond * targets.length);
    const waitMs = dueMs - performance.now();
    if (waitMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, waitMs);
      });
    }
    const targetIndex = i % targets.length;
    samplesByTarget[targetIndex]!.push(sendRequest(targets[targetIndex]!));
  }
  return Promise.all(samplesByTarget.map((samples) => Promise.all(samples)));
}

/** Runs workers that send one request after another, and returns the samples of all workers. */
export async function runWorkers(
  target: LoadTarget,
  workers: number,
  durationMs: number,
): Promise<Sample[]> {
  const samples: Sample[] = [];
  const endMs = performance.now() + durationMs;
  const runWorker = async (): Promise<void> => {
    while (performance.now() < endMs) {
      samples.push(await sendRequest(target));
    }
  };
  await Promise.all(Array.from({ length: workers }, runWorker));
  return samples;
}

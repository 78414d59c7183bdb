/**
 * The load tool: requests at a fixed rate, or as many as some workers get through.
 */
import http from 'node:http';

/** How one request went. */
export interface Sample {
  readonly firstByteMs: number;
  readonly totalMs: number;
  readonly isRight: boolean;
}

/** Where requests go, and what a right answer holds. */
export interface LoadTarget {
  readonly url: string;
  readonly body: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly endMark: string;
}

const agent = new http.Agent({ keepAlive: true, maxSockets: 512 });

/** Sends one request and reads its answer. */
export function sendOnce(target: LoadTarget): Promise<Sample> {
  const startMs = performance.now();
  return new Promise((resolve) => {
    const fail = (): void => {
      resolve({ firstByteMs: 0, totalMs: performance.now() - startMs, isRight: false });
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
        response.on('error', fail);
        response.on('end', () => {
          const isRight = response.statusCode === 200 && text.includes(target.endMark);
          resolve({ firstByteMs, totalMs: performance.now() - startMs, isRight });
        });
      },
    );
    request.on('error', fail);
    request.end(target.body);
  });
}

/**
 * Sends requests to each of several targets at a fixed rate, spread evenly over time, and returns the
 * samples of each.
 */
export async function runAtRate(
  targets: readonly LoadTarget[],
  requestsPerSecond: number,
  durationMs: number,
): Promise<Sample[][]> {
  const results: Promise<Sample>[][] = targets.map(() => []);
  const startMs = performance.now();
  const total = Math.floor((requestsPerSecond * targets.length * durationMs) / 1_000);
  for (let i = 0; i < total; i += 1) {
    const dueMs = startMs + (i * 1_000) / (requestsPerSecond * targets.length);
    const waitMs = dueMs - performance.now();
    if (waitMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, waitMs);
      });
    }
    const t = i % targets.length;
    results[t]!.push(sendOnce(targets[t]!));
  }
  return Promise.all(results.map((samples) => Promise.all(samples)));
}

/** Keeps some workers busy for a time. */
export async function runWorkers(
  target: LoadTarget,
  workers: number,
  durationMs: number,
): Promise<Sample[]> {
  const samples: Sample[] = [];
  const endMs = performance.now() + durationMs;
  const work = async (): Promise<void> => {
    while (performance.now() < endMs) {
      samples.push(await sendOnce(target));
    }
  };
  await Promise.all(Array.from({ length: workers }, work));
  return samples;
}

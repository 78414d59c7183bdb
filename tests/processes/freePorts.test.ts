/**
 * Tests that test programs which run at the same time find different free ports.
 */
import { afterEach, expect, it } from 'vitest';
import { endProcess, type StartedProcess, startProgram } from '../stand-ins/processes.js';

const PROGRAM = 'tests/stand-ins/freePortsMain.js';
const FINDERS = 4;
const PORTS = 100;
const PORTS_PATTERN = /^ports (.+)$/m;

let finders: StartedProcess[] = [];

afterEach(() => Promise.all(finders.map((finder) => endProcess(finder))));

it('ports that are found free by processes at the same time are all different', async () => {
  const args = ['--count', String(PORTS)];
  finders = await Promise.all(
    Array.from({ length: FINDERS }, (_, i) => startProgram(`finder ${i}`, PROGRAM, args, 'ready')),
  );
  const ports = finders.flatMap(
    ({ getOutput }) => PORTS_PATTERN.exec(getOutput())?.[1]?.split(',') ?? [],
  );
  expect(ports).toHaveLength(FINDERS * PORTS);
  expect(new Set(ports).size).toBe(ports.length);
});

// Tells whether all failed tests of a run are listed in KNOWN-RED.txt, and prints those that are.
// Usage: node scripts/known-red.mjs REPORT.json; exits 1 if another test failed or none is named.
import { readFile } from 'node:fs/promises';

const [reportPath = ''] = process.argv.slice(2);
const report = JSON.parse(await readFile(reportPath, 'utf8'));
const list = await readFile('KNOWN-RED.txt', 'utf8');
const known = list
  .split('\n')
  .filter((line) => line.startsWith('test: '))
  .map((line) => line.slice('test: '.length).trim());

const failed = report.testResults.flatMap(({ assertionResults }) =>
  assertionResults.filter(({ status }) => status === 'failed').map(({ fullName }) => fullName),
);
const brokenFiles = report.testResults.filter(
  ({ assertionResults, status }) => status === 'failed' && assertionResults.length === 0,
);
const unknown = failed.filter((name) => !known.includes(name));
failed
  .filter((name) => known.includes(name))
  .forEach((name) => process.stdout.write(`known red: ${name}\n`));
unknown.forEach((name) => process.stdout.write(`red: ${name}\n`));
brokenFiles.forEach(({ name }) => process.stdout.write(`red: ${name} did not run\n`));
process.exitCode = failed.length === 0 || unknown.length + brokenFiles.length > 0 ? 1 : 0;

// Compares the failed tests of a run with KNOWN-RED.txt and prints each as "known red" or "red".
// Usage: node scripts/known-red.mjs REPORT.json
// A test that was left out, as all tests of a suite are whose hook fails, counts as failed. Exits with 1 if a failed test is not listed,
// if a test file did not run, or if the report has no failed test.
import { readFile } from 'node:fs/promises';

const [reportPath = ''] = process.argv.slice(2);
const report = JSON.parse(await readFile(reportPath, 'utf8'));
const list = await readFile('KNOWN-RED.txt', 'utf8');
const knownFailures = list
  .split('\n')
  .filter((line) => line.startsWith('test: '))
  .map((line) => line.slice('test: '.length).trim());

const failedTests = report.testResults.flatMap(({ assertionResults }) =>
  assertionResults.filter(({ status }) => status !== 'passed').map(({ fullName }) => fullName),
);
const brokenFiles = report.testResults.filter(
  ({ assertionResults, status }) => status === 'failed' && assertionResults.length === 0,
);
const unlistedFailures = failedTests.filter((name) => !knownFailures.includes(name));
failedTests
  .filter((name) => knownFailures.includes(name))
  .forEach((name) => process.stdout.write(`known red: ${name}\n`));
unlistedFailures.forEach((name) => process.stdout.write(`red: ${name}\n`));
brokenFiles.forEach(({ name }) => process.stdout.write(`red: ${name} did not run\n`));
process.exitCode =
  failedTests.length === 0 || unlistedFailures.length + brokenFiles.length > 0 ? 1 : 0;

import {spawnSync} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';

const judge = new URL('../harness/judge.js', import.meta.url).pathname;
const knownTest = 'streams › a known fault | npx ava | it fails | 1\n';

/** Judges the log of a test run that ended with an exit status; returns the exit code and the last line. */
function judgeRun(status: number, log: string): {readonly exitCode: number | null; readonly lastLine: string} { // eslint-disable-line @typescript-eslint/no-restricted-types
	const folder = mkdtempSync(path.join(tmpdir(), 'judge-'));
	writeFileSync(path.join(folder, 'KNOWN-RED.txt'), knownTest);
	writeFileSync(path.join(folder, 'run.txt'), log);
	const {status: exitCode, stdout} = spawnSync(process.execPath, [judge, String(status), 'run.txt'], {cwd: folder, encoding: 'utf8'});
	return {exitCode, lastLine: stdout.trim().split('\n').at(-1)!};
}

// Guards against a run that is red although only listed tests fail: the closing line then has no count of those that passed.
test('a run in which only listed tests fail passes', t => {
	const log = '  ✔ streams › works (1s)\n  ✔ streams › also works\n  ✘ [fail]: streams › a known fault Error thrown in test\n  ─\n  1 test failed\n';
	t.deepEqual(judgeRun(1, log), {exitCode: 0, lastLine: '2 passed, 1 failed'});
});

// Guards against faults that pass because a listed test fails beside them.
test('a run with another failure, a fault of the run itself or no passed test fails', t => {
	const listed = '  ✔ streams › works\n  ✘ [fail]: streams › a known fault\n';
	t.is(judgeRun(1, `${listed}  ✘ [fail]: streams › another one\n`).exitCode, 1);
	t.is(judgeRun(1, `${listed}  ✘ test/other.test.ts exited with a non-zero exit code: 1\n`).exitCode, 1);
	t.is(judgeRun(1, '  ✘ [fail]: streams › a known fault\n').exitCode, 1);
	t.is(judgeRun(1, '').exitCode, 1);
});

test('a run without failures passes', t => {
	t.deepEqual(judgeRun(0, '  ✔ streams › works\n  1 test passed\n'), {exitCode: 0, lastLine: '1 passed, 0 failed'});
});

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {type Mutation, mutations} from './mutation-list.js';

const testTimeoutMs = 120_000;

/** Applies a mutation to the compiled file, runs its test and restores the file. Whether the test failed, as it must. Throws if the file does not contain the code to replace. */
async function isDetected({file, find, replace, testFile, title}: Mutation): Promise<boolean> {
	const path = new URL(`../${file}`, import.meta.url).pathname;
	const original = readFileSync(path, 'utf8');
	if (!original.includes(find)) {
		throw new Error(`${file} does not contain "${find}"`);
	}

	writeFileSync(path, original.replaceAll(find, replace));
	try {
		const child = spawn('npx', ['ava', testFile, '--match', title], {stdio: 'ignore', timeout: testTimeoutMs});
		await once(child, 'close');
		return child.exitCode !== 0;
	} finally {
		writeFileSync(path, original);
	}
}

let survivors = 0;
for (const mutation of mutations) {
	const isRed = await isDetected(mutation); // eslint-disable-line no-await-in-loop
	survivors += isRed ? 0 : 1;
	console.log(`${isRed ? 'red, as it must be' : 'GREEN WITHOUT IT  '}  ${mutation.promise} (${mutation.testFile}, ${mutation.title})`);
}

console.log(`mutations: ${mutations.length - survivors} of ${mutations.length} found`);
process.exitCode = survivors === 0 ? 0 : 1;

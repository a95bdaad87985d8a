import {performance} from 'node:perf_hooks';

/** Monotonic time in milliseconds. */
export function now() {
	return performance.now();
}

/** Resolves after a delay in milliseconds. */
export async function sleep(delay) {
	return new Promise(resolve => {
		setTimeout(resolve, delay);
	});
}

/** Polls a condition until it holds. Throws after a time limit in milliseconds. */
export async function waitUntil(condition, what, limit = 20_000) {
	const endsAt = now() + limit;
	while (!(await condition())) { // eslint-disable-line no-await-in-loop
		if (now() > endsAt) {
			throw new Error(`not within ${limit} ms: ${what}`);
		}

		await sleep(20); // eslint-disable-line no-await-in-loop
	}
}

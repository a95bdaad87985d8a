import process from 'node:process';

const fixedSeed = 20_261_204;

/** Returns the seed of property tests: fixed by default, so that CI runs are reproducible; `SEED=N npx ava` sets another. */
export function seed(): number {
	return Number(process.env.SEED ?? fixedSeed);
}

/**
Returns the seeds of runs with real processes: fixed ones in CI. `SEED=N` takes another one, and `SEED=N SEEDS=50` that one and the next 49:

`SEED=1 SEEDS=50 npx ava test/accepted-requests-process.test.ts --timeout=2h`

@param fixed - the seeds of CI
*/
export function runSeeds(fixed: readonly number[]): readonly number[] {
	const {SEED: first, SEEDS: count} = process.env;
	return first === undefined ? fixed : Array.from({length: Number(count ?? 1)}, (_value, index) => Number(first) + index);
}

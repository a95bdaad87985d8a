import process from 'node:process';

const fixedSeed = 20_261_204;

/** Returns the seed of property tests: fixed by default, so that CI runs are reproducible; `SEED=N npx ava` sets another. */
export function seed(): number {
	return Number(process.env.SEED ?? fixedSeed);
}

import process from 'node:process';

const fixedSeed = 20_261_204;

/** The seed of property tests: fixed in CI; `SEED=N npx ava` explores others. */
export function seed(): number {
	return Number(process.env.SEED ?? fixedSeed);
}

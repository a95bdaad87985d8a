import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {getErrorMessage} from '../src/results/to-failure.js';
import {FaultInjector} from './fault-injector.js';
import {LoadGenerator} from './load-generator.js';
import {Audit, Monitor} from './monitor.js';
import {SoakEnvironment} from './soak-environment.js';

const minuteMs = 60_000;
const settleMs = 1000;
const graceMs = 90_000;

/** Runs one soak and prints its tally as a JSON line. Resolves to whether there was no violation. */
async function soak(seed: number, minutes: number, isQuiet: boolean): Promise<boolean> {
	const world = new SoakEnvironment(seed);
	try {
		await world.start();
		world.cluster.timers.after((minutes * minuteMs) + graceMs, () => {
			console.error('soak: it did not end in time');
			process.exitCode = 2;
			void world.cluster.stop();
			world.cluster.timers.after(settleMs, () => process.exit(2));
		});
		const load = new LoadGenerator(world);
		const work = [load.run(), new FaultInjector(world).run(), new Monitor(world).run()];
		await world.cluster.timers.sleep(minutes * minuteMs);
		world.isOver = true;
		await Promise.all(work);
		await world.cluster.timers.sleep(settleMs);
		const audit = new Audit(world);
		await audit.actions(load.actions);
		await audit.backends();
		await audit.usage();
		if (!isQuiet) {
			for (const note of world.tally.notes) {
				console.error(`soak: ${note}`);
			}
		}

		const {notes, ...counts} = world.tally;
		console.log(JSON.stringify({seed, ...counts, violations: world.tally.violations()}));
		return world.tally.violations() === 0;
	} finally {
		await world.cluster.stop();
	}
}

const {seed, minutes, quiet} = await yargs(hideBin(process.argv))
	.usage('soak --seed N --minutes M\n\nRuns real processes under load and a seeded schedule of faults; the last line is the tally as JSON.')
	.option('seed', {type: 'number', default: 1})
	.option('minutes', {type: 'number', default: 1})
	.option('quiet', {type: 'boolean', default: false, describe: 'no notes on violations'})
	.strict()
	.parseAsync();
try {
	process.exit(await soak(seed, minutes, quiet) ? 0 : 1);
} catch (error) {
	console.error(`soak: ${getErrorMessage(error)}`);
	process.exit(1);
}

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
const shutdownTimeoutMs = 90_000;

/** Runs one soak and prints its tally as a JSON line. Resolves to true if there were no violations. */
async function runSoak(seed: number, minutes: number, isQuiet: boolean): Promise<boolean> {
	const environment = new SoakEnvironment(seed);
	try {
		await environment.start();
		environment.cluster.timers.after((minutes * minuteMs) + shutdownTimeoutMs, () => {
			console.error('soak: the run did not end in time');
			process.exitCode = 2;
			void environment.cluster.stop();
			environment.cluster.timers.after(settleMs, () => process.exit(2));
		});
		const load = new LoadGenerator(environment);
		const work = [load.run(), new FaultInjector(environment).run(), new Monitor(environment).run()];
		await environment.cluster.timers.sleep(minutes * minuteMs);
		environment.isOver = true;
		await Promise.all(work);
		await environment.cluster.timers.sleep(settleMs);
		const audit = new Audit(environment);
		await audit.checkActions(load.actions);
		await audit.checkBackends();
		await audit.checkUsage();
		if (!isQuiet) {
			for (const note of environment.tally.notes) {
				console.error(`soak: ${note}`);
			}
		}

		const {notes, ...counts} = environment.tally;
		console.log(JSON.stringify({seed, ...counts, violations: environment.tally.countViolations()}));
		return environment.tally.countViolations() === 0;
	} finally {
		await environment.cluster.stop();
	}
}

const {seed, minutes, quiet} = await yargs(hideBin(process.argv))
	.usage('soak --seed N --minutes M\n\nRuns real processes under load and a seeded schedule of faults; the last line is the tally as JSON.')
	.option('seed', {type: 'number', default: 1})
	.option('minutes', {type: 'number', default: 1})
	.option('quiet', {type: 'boolean', default: false, describe: 'do not print details of violations'})
	.strict()
	.parseAsync();
try {
	process.exit(await runSoak(seed, minutes, quiet) ? 0 : 1);
} catch (error) {
	console.error(`soak: ${getErrorMessage(error)}`);
	process.exit(1);
}

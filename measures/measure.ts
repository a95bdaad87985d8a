import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {getErrorMessage} from '../src/results/to-failure.js';
import {measureActions} from './actions.js';
import {measureControl} from './control.js';
import {measurePipelines} from './pipelines.js';
import {measureRecovery} from './recovery.js';
import {measureRelay} from './relay.js';
import {printReport, type Report} from './report.js';
import {measureSpread} from './spread.js';
import {measureThroughput} from './throughput.js';

const measures: Readonly<Record<string, (seed: number) => Promise<Report>>> = {
	throughput: measureThroughput,
	recovery: measureRecovery,
	spread: measureSpread,
	control: measureControl,
	relay: measureRelay,
	actions: measureActions,
	pipelines: measurePipelines,
};

const {name, seed} = await yargs(hideBin(process.argv))
	.usage('measure NAME --seed N\n\nPrints a table and, as the last line, the figures as JSON.')
	.command('$0 NAME', 'run a measurement', command => command.positional('NAME', {choices: Object.keys(measures), demandOption: true}))
	.option('seed', {type: 'number', default: 1})
	.strict()
	.parseAsync()
	.then(argv => ({name: String(argv.NAME), seed: argv.seed}));
try {
	printReport(name, seed, await measures[name](seed));
	process.exit(0);
} catch (error) {
	console.error(`measure: ${getErrorMessage(error)}`);
	process.exit(1);
}

#!/usr/bin/env node
import process from 'node:process';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {stopYoungGeneration} from './network/process-limits.js';
import {ResultCode} from './results/result-code.js';
import {getErrorMessage} from './results/to-failure.js';
import {SettingsError} from './settings/settings-error.js';
import {readSettings} from './settings/settings-reader.js';

const {settings: file, check} = await yargs(hideBin(process.argv))
	.scriptName('siskinnotchd')
	.usage('$0 --settings FILE\n\nRuns an entry instance.')
	.option('settings', {type: 'string', demandOption: true, describe: 'INI file; see docs/OPERATORS.md'})
	.option('check', {type: 'boolean', default: false, describe: 'check the settings and exit'})
	.example('$0 --settings entry-a.ini', 'run an instance')
	.strict()
	.parseAsync();

try {
	const settings = readSettings(file);
	if (check) {
		console.log(`${file}: the settings are valid`);
		process.exit(ResultCode.Success);
	}

	// While the other modules load, the young generation of the heap must not grow beyond what a small machine has room for.
	stopYoungGeneration();
	const {wire} = await import('./wiring.js');
	const instance = wire(settings);
	await instance.start();
	const stop = () => {
		instance.requestStop();
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
	const isDrained = await instance.waitUntilStopped();
	process.exit(isDrained ? ResultCode.Success : ResultCode.InternalError);
} catch (error) {
	console.error(`siskinnotchd: ${getErrorMessage(error)}`);
	process.exit(error instanceof SettingsError ? error.code : ResultCode.InternalError);
}

import path from 'node:path';
import process from 'node:process';
import {Record} from './record.js';

/**
Runs a case. Its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

@param folder - folder of the case
@param run - plays the case with a record and whether to disrupt; returns whether the rule was broken
*/
export async function runCase(folder, run) {
	const record = new Record(path.join(folder, 'record.txt'));
	const isDisrupted = process.env.TROUBLE !== '0';
	record.say(isDisrupted ? 'with the disruption' : 'without the disruption');
	try {
		const isBroken = await run(record, isDisrupted);
		record.say(isBroken ? 'the rule was broken' : 'the rule held');
		process.exitCode = isBroken ? 1 : 0;
	} catch (error) {
		record.say(`the case could not run: ${error.stack}`);
		process.exitCode = 2;
	}

	record.save();
	// Also ends what a case that could not run left open.
	process.exit(); // eslint-disable-line unicorn/no-process-exit
}

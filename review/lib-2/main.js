import path from 'node:path';
import process from 'node:process';
import {Record} from './record.js';
import {endAll} from './router.js';

/** Exit codes, which `run.sh` translates: the runtime itself ends with 1 for errors of a program, and these are no broken rule. */
const exitCodes = {held: 0, broken: 10, notRun: 20};
/** Time after which a case ends in any event. */
const maxMs = 115_000;

/**
Runs a case. `run.sh` then exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. All processes that it started are ended before.

@param folder - folder of the case
@param run - plays the case with a record and whether to disrupt; returns whether the rule was broken
*/
export async function runCase(folder, run) {
	const record = new Record(path.join(folder, 'record.txt'));
	const isDisrupted = process.env.TROUBLE !== '0';
	const end = (code, text) => {
		record.say(text);
		record.save();
		endAll();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	const giveUp = reason => {
		end(exitCodes.notRun, `the case could not run: ${reason}`);
	};

	setTimeout(giveUp, maxMs, `it took more than ${maxMs} ms`).unref();
	for (const event of ['uncaughtException', 'unhandledRejection']) {
		process.on(event, error => {
			giveUp(error?.stack ?? error);
		});
	}

	for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
		process.on(signal, giveUp);
	}

	record.say(isDisrupted ? 'with the disruption' : 'without the disruption');
	try {
		const isBroken = await run(record, isDisrupted);
		end(isBroken ? exitCodes.broken : exitCodes.held, isBroken ? 'the rule was broken' : 'the rule held');
	} catch (error) {
		giveUp(error.stack);
	}
}

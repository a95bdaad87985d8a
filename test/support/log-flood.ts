// Writes far more log lines than its reader consumes, and reports the result on standard error.
import process from 'node:process';
import {BoundedWriter} from '../../src/observation/bounded-writer.js';
import {ClockTimerService} from '../../src/time/clock-timer-service.js';

const standardOutput = 1;
const capacity = 65_536;
const lines = 20_000;
const timers = new ClockTimerService();
const writer = new BoundedWriter(standardOutput, capacity);
let turns = 0;
const ticker = timers.repeat(1, () => {
	turns++;
});
for (let line = 0; line < lines; line++) {
	writer.write(`${'x'.repeat(200)}\n`);
	if (line % 1000 === 0) {
		await timers.sleep(2); // eslint-disable-line no-await-in-loop
	}
}

ticker.cancel();
console.error(JSON.stringify({turns, dropped: writer.dropped}));
// The pending write, which is never read, would keep the process alive.
process.exit(0); // eslint-disable-line unicorn/no-process-exit

import {writeFileSync} from 'node:fs';
import {now} from './clock.js';

/** Collects what was sent, answered and run, and writes it to a file. */
export class Record {
	lines = [];

	constructor(file) {
		this.file = file;
		this.startedAt = now();
	}

	/** Seconds since the start of the record. */
	get seconds() {
		return (now() - this.startedAt) / 1000;
	}

	/** Adds a line. */
	add(text) {
		this.lines.push(`${this.seconds.toFixed(3)} ${text}`);
	}

	/** Adds a line and prints it. */
	say(text) {
		this.add(text);
		console.log(this.lines.at(-1));
	}

	/** Writes all lines. */
	save() {
		writeFileSync(this.file, `${this.lines.join('\n')}\n`);
	}
}

import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** A program of the project that runs as a process of its own. */
export class Program {
	/** Starts a compiled program, such as `stand-ins/platform.js`. */
	static start(name: string, file: string, parameters: readonly string[]): Program {
		const path = new URL(`../${file}`, import.meta.url).pathname;
		const child = spawn(process.execPath, [path, ...parameters], {stdio: ['ignore', 'pipe', 'pipe']});
		return new Program(name, child);
	}

	/** What it wrote to standard error. */
	readonly errors: string[] = [];
	private hasExited = false;

	private constructor(readonly name: string, private readonly child: ChildProcess) {
		child.once('exit', () => {
			this.hasExited = true;
		});
		createInterface({input: child.stderr!}).on('line', line => {
			this.errors.push(line);
		});
	}

	get pid(): number {
		return this.child.pid ?? 0;
	}

	get isRunning(): boolean {
		return !this.hasExited;
	}

	/** The first line of standard output that starts with a word; rejects when the program ends before. */
	async line(word: string): Promise<string> {
		return new Promise((resolve, reject) => {
			createInterface({input: this.child.stdout!}).on('line', line => {
				if (line.startsWith(word)) {
					resolve(line);
				}
			});
			this.child.once('exit', code => {
				reject(new Error(`${this.name} ended with ${code}: ${this.errors.join('\n')}`));
			});
		});
	}

	signal(name: NodeJS.Signals): void {
		this.child.kill(name);
	}

	/** Resolves to the exit code; -1 after a signal. */
	async exited(): Promise<number> {
		if (!this.hasExited) {
			await once(this.child, 'exit');
		}

		return this.child.exitCode ?? -1;
	}

	/** Kills it and resolves when it is gone. */
	async kill(): Promise<void> {
		if (!this.hasExited) {
			this.child.kill('SIGKILL');
			await this.exited();
		}
	}
}

import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';

/** A compiled program of this project that runs as a child process. */
export class Program {
	/** Starts a compiled program by its path below `dist/`. */
	static start(name: string, file: string, parameters: readonly string[]): Program {
		const path = new URL(`../${file}`, import.meta.url).pathname;
		const child = spawn(process.execPath, [path, ...parameters], {stdio: ['ignore', 'pipe', 'pipe']});
		return new Program(name, child);
	}

	/** Lines that the program wrote to standard error. */
	readonly errorLines: string[] = [];
	private hasExited = false;

	private constructor(readonly name: string, private readonly child: ChildProcess) {
		child.once('exit', () => {
			this.hasExited = true;
		});
		createInterface({input: child.stderr!}).on('line', line => {
			this.errorLines.push(line);
		});
	}

	get pid(): number {
		return this.child.pid ?? 0;
	}

	get isRunning(): boolean {
		return !this.hasExited;
	}

	/** Waits for the first line of standard output that starts with a word. Rejects if the program exits before. */
	async waitForLine(word: string): Promise<string> {
		return new Promise((resolve, reject) => {
			createInterface({input: this.child.stdout!}).on('line', line => {
				if (line.startsWith(word)) {
					resolve(line);
				}
			});
			this.child.once('exit', code => {
				reject(new Error(`${this.name} exited with code ${code}: ${this.errorLines.join('\n')}`));
			});
		});
	}

	sendSignal(name: NodeJS.Signals): void {
		this.child.kill(name);
	}

	/** Waits until the program exits. Resolves to its exit code, or -1 if a signal ended it. */
	async waitForExit(): Promise<number> {
		if (!this.hasExited) {
			await once(this.child, 'exit');
		}

		return this.child.exitCode ?? -1;
	}

	/** Kills the program with SIGKILL and resolves when it has exited. */
	async kill(): Promise<void> {
		if (!this.hasExited) {
			this.child.kill('SIGKILL');
			await this.waitForExit();
		}
	}
}

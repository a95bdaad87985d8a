import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {operatorSecret} from './cluster.js';

/** Exit code and output of a program that has exited. */
export type CommandRun = {
	readonly code: number;
	readonly output: string;
	readonly errors: string;
};

/** Runs a compiled program, by its path below `dist/`, until it exits. */
export async function runProgram(file: string, parameters: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<CommandRun> {
	const path = new URL(`../${file}`, import.meta.url).pathname;
	const child = spawn(process.execPath, [path, ...parameters], {env: {...process.env, ...environment}, stdio: ['ignore', 'pipe', 'pipe']});
	const [output, errors] = await Promise.all([text(child.stdout), text(child.stderr), once(child, 'close')]);
	return {code: child.exitCode ?? -1, output: output.trim(), errors: errors.trim()};
}

/** Runs the `siskinnotch` command against the peer address of an instance, with the operator secret. */
export async function runCommand(instance: string, parameters: readonly string[], secret = operatorSecret): Promise<CommandRun> {
	return runProgram('src/command/main.js', parameters, Object.fromEntries([['SISKINNOTCH_SECRET', secret], ['SISKINNOTCH_INSTANCE', instance]]));
}

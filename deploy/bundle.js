// Bundles the router for the users' platform into `target/`, with a code cache for the JavaScript engine: an instance that restarts serves nobody until its code is loaded.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {copyFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const placeOf = name => fileURLToPath(new URL(name, import.meta.url));
const starter = placeOf('../target/start.cjs');

/** Settings of an instance that starts and stops alone. */
const settings = `[instance]
id = bundle
availability_zone = none
callers = 127.0.0.1:0
readiness = 127.0.0.1:0
peers = 127.0.0.1:0
metrics = 127.0.0.1:0
[store]
address = 127.0.0.1:1
[stop]
notice = 1 ms
`;

/** Starts the router once, so that what runs at a start is compiled and goes into the cache. */
async function writeCodeCache() {
	const file = placeOf('../target/bundle.ini');
	writeFileSync(file, settings);
	const router = spawn(process.execPath, [...process.execArgv, starter, '--write-code-cache'], {
		stdio: ['ignore', 'pipe', 'inherit'],
		env: {...process.env, SISKINNOTCH_NODE_FILE: file},
	});
	createInterface({input: router.stdout}).on('line', line => {
		// By then the handlers of signals are in place.
		if (line.includes('"dependency.lost"')) {
			router.kill('SIGTERM');
		}
	});
	await once(router, 'exit');
	if (router.exitCode !== 0) {
		console.error('bundle: no code cache was written; starts take longer');
	}
}

await build({
	entryPoints: [placeOf('../platform/main.ts')],
	outfile: placeOf('../target/siskinnotch.cjs'),
	bundle: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	// Some libraries load parts for developers elsewhere.
	define: {'process.env.NODE_ENV': '"production"'},
	logLevel: 'warning',
});
copyFileSync(placeOf('start.cjs'), starter);
await writeCodeCache();

// Bundles the router for deployment into `target/`, with a V8 code cache: a restarting instance serves no requests until its code is loaded.
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {copyFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const resolveFile = name => fileURLToPath(new URL(name, import.meta.url));
const startScript = resolveFile('../target/start.cjs');

/** Settings of an instance that starts and stops without a platform. */
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

/** Starts the router once, so that the functions that run at startup are compiled and included in the cache. */
async function writeCodeCache() {
	const file = resolveFile('../target/bundle.ini');
	writeFileSync(file, settings);
	const router = spawn(process.execPath, [...process.execArgv, startScript, '--write-code-cache'], {
		stdio: ['ignore', 'pipe', 'inherit'],
		env: {...process.env, SISKINNOTCH_NODE_FILE: file},
	});
	createInterface({input: router.stdout}).on('line', line => {
		// The signal handlers are installed by the time of this line.
		if (line.includes('"dependency.lost"')) {
			router.kill('SIGTERM');
		}
	});
	await once(router, 'exit');
	if (router.exitCode !== 0) {
		console.error('bundle: writing the code cache failed; startup will be slower');
	}
}

await build({
	entryPoints: [resolveFile('../platform/main.ts')],
	outfile: resolveFile('../target/siskinnotch.cjs'),
	bundle: true,
	platform: 'node',
	format: 'cjs',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	// With any other value some libraries load their development code.
	define: {'process.env.NODE_ENV': '"production"'},
	logLevel: 'warning',
});
copyFileSync(resolveFile('start.cjs'), startScript);
await writeCodeCache();

// Starts the bundled router, from the V8 code cache if the cache matches this runtime.
'use strict';
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const {setFlagsFromString} = require('node:v8');
const {Script} = require('node:vm');

// While the router starts, the young generation of the heap must not grow beyond what the smallest machine has room for. The router lets it grow later on a larger one.
setFlagsFromString('--semi-space-growth-factor=1');

const bundle = path.join(__dirname, 'siskinnotch.cjs');
const cache = path.join(__dirname, 'siskinnotch.cache');
const isWriting = process.argv.includes('--write-code-cache');

// The bundle is plain ASCII; Latin-1 is the fastest encoding to decode it with.
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, 'latin1')}\n})`;
const cachedData = !isWriting && existsSync(cache) ? readFileSync(cache) : undefined;
const script = new Script(source, {filename: bundle, cachedData});
if (script.cachedDataRejected) {
	process.emitWarning('the code cache does not match this runtime; startup is slower');
}

if (isWriting) {
	process.on('exit', () => {
		writeFileSync(cache, script.createCachedData());
	});
}

script.runInThisContext()(exports, require, module, bundle, __dirname);

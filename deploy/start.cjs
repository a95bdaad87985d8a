// Starts the bundled router from the engine's code cache, where that fits this runtime.
'use strict';
const {existsSync, readFileSync, writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const {Script} = require('node:vm');

const bundle = path.join(__dirname, 'siskinnotch.cjs');
const cache = path.join(__dirname, 'siskinnotch.cache');
const isWriting = process.argv.includes('--write-code-cache');

// The bundle is plain ASCII, which this encoding reads fastest.
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundle, 'latin1')}\n})`;
const cachedData = !isWriting && existsSync(cache) ? readFileSync(cache) : undefined;
const script = new Script(source, {filename: bundle, cachedData});
if (script.cachedDataRejected) {
	process.emitWarning('the code cache does not fit this runtime, so the start takes longer');
}

if (isWriting) {
	process.on('exit', () => {
		writeFileSync(cache, script.createCachedData());
	});
}

script.runInThisContext()(exports, require, module, bundle, __dirname);

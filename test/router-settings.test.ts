import {readFileSync} from 'node:fs';
import test from 'ava';
import {ResultCode} from '../src/results/result-code.js';
import {SettingsError} from '../src/settings/settings-error.js';
import {parseRouterSettings, readRouterSettings} from '../src/settings/settings-reader.js';

const requiredLines = [
	'[instance]',
	'id = entry-a',
	'availability_zone = zone-a',
	'callers = 10.0.0.1:8080',
	'readiness = 10.0.0.1:8081',
	'peers = 10.0.0.1:8082',
	'metrics = 10.0.0.1:8083',
	'[store]',
	'address = 10.0.0.9:7000',
];

function getProblem(text: string): string {
	try {
		parseRouterSettings('entry.ini', text);
		return '';
	} catch (error) {
		return error instanceof SettingsError ? error.message : 'another error';
	}
}

test('router settings: parses defaults, units and seeds, and ignores unknown keys of a newer platform', t => {
	const settings = parseRouterSettings('entry.ini', [...requiredLines, 'list_wait = 3 s', 'from_the_future = 1', '[seeds]', 'peers = 10.0.0.2:8082, 10.0.0.3:8082', '[unknown]', 'a = 1'].join('\n'));
	t.is(settings.store.list_wait, 3000);
	t.is(settings.placement.room, 0.6);
	t.deepEqual(settings.seeds.peers, ['10.0.0.2:8082', '10.0.0.3:8082']);
});

test('an incomplete or invalid settings file is rejected with file, section, key and the expected value', t => {
	t.regex(getProblem(requiredLines.filter(line => !line.startsWith('callers')).join('\n')), /entry\.ini: \[instance\] callers: found nothing; a value is required/v);
	t.regex(getProblem([...requiredLines, 'timeout = soon'].join('\n')), /entry\.ini: \[store\] timeout: found "soon"; expected a number with one of the units/v);
	t.regex(getProblem(requiredLines.join('\n').replace('10.0.0.1:8080', 'somewhere')), /\[instance\] callers: found "somewhere"; expected an IP address and a port/v);
	const missing = t.throws(() => readRouterSettings('no-such.ini'), {instanceOf: SettingsError});
	t.is(missing.code, ResultCode.SettingsMissing);
});

test('the deployment template, filled in, is a valid settings file', t => {
	const template = readFileSync('deploy/entry.ini', 'utf8');
	const filled = template
		.replaceAll('{{ipAddress}}', '10.0.0.1')
		.replaceAll('{{seedNodes}}', '10.0.0.2:80')
		.replaceAll('{{isBootstrap}}', 'true')
		.replaceAll(/\{\{(?:listenAddresses\.\w+|platform\.address)\}\}/gv, '10.0.0.1:80')
		.replaceAll(/\{\{[^\}]*\}\}/gv, '1');
	t.notThrows(() => parseRouterSettings('entry.ini', filled));
});

test('quantities of the platform may be fractions', t => {
	const settings = parseRouterSettings('entry.ini', [
		...requiredLines, '[limits]', 'retry_allowance = 47.833333333333336', 'retry_ratio = 0.2', 'retry_window = 1.5e+1 s', 'stall = 1999.5 ms', '[stop]', 'grace = 7.5 s',
	].join('\n'));
	t.is(settings.limits.retry_allowance, 47.833_333_333_333_336);
	t.is(settings.limits.retry_window, 15_000);
	t.is(settings.limits.stall, 1999.5);
	t.is(settings.stop.grace, 7500);
	t.regex(getProblem([...requiredLines, '[limits]', 'retry_allowance = -1'].join('\n')), /retry_allowance: found "-1"; expected a number from 0/v);
});

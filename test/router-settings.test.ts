import {readFileSync} from 'node:fs';
import test from 'ava';
import {ResultCode} from '../src/results/result-code.js';
import {SettingsError} from '../src/settings/settings-error.js';
import {parseRouterSettings, readRouterSettings} from '../src/settings/settings-reader.js';

const lines = [
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

function problemOf(text: string): string {
	try {
		parseRouterSettings('entry.ini', text);
		return '';
	} catch (error) {
		return error instanceof SettingsError ? error.message : 'another error';
	}
}

test('settings of a router: defaults, units, seeds, and unknown keys of a newer platform', t => {
	const settings = parseRouterSettings('entry.ini', [...lines, 'list_wait = 3 s', 'from_the_future = 1', '[seeds]', 'peers = 10.0.0.2:8082, 10.0.0.3:8082', '[unknown]', 'a = 1'].join('\n'));
	t.is(settings.store.list_wait, 3000);
	t.is(settings.placement.room, 0.6);
	t.deepEqual(settings.seeds.peers, ['10.0.0.2:8082', '10.0.0.3:8082']);
});

test('a partial or wrong settings file is refused with file, section, key and what is allowed', t => {
	t.regex(problemOf(lines.filter(line => !line.startsWith('callers')).join('\n')), /entry\.ini: \[instance\] callers: found nothing; a value is required/v);
	t.regex(problemOf([...lines, 'timeout = soon'].join('\n')), /entry\.ini: \[store\] timeout: found "soon"; allowed is a number with one of the units/v);
	t.regex(problemOf(lines.join('\n').replace('10.0.0.1:8080', 'somewhere')), /\[instance\] callers: found "somewhere"; allowed is an IP address and a port/v);
	const missing = t.throws(() => readRouterSettings('no-such.ini'), {instanceOf: SettingsError});
	t.is(missing.code, ResultCode.SettingsMissing);
});

test('the template that the platform fills in names only keys that are known', t => {
	const template = readFileSync('deploy/entry.ini', 'utf8');
	const filled = template
		.replaceAll('{{ipAddress}}', '10.0.0.1')
		.replaceAll('{{seedNodes}}', '10.0.0.2:80')
		.replaceAll(/\{\{(?:listenAddresses\.\w+|platform\.address)\}\}/gv, '10.0.0.1:80')
		.replaceAll(/\{\{[^\}]*\}\}/gv, '1');
	t.notThrows(() => parseRouterSettings('entry.ini', filled));
});

import test from 'ava';
import {ResultCode} from '../src/results/result-code.js';
import {parseSettings} from '../src/settings/settings-reader.js';
import {SettingsError} from '../src/settings/settings-error.js';

const valid = `[instance]
id = entry-a
availability_zone = brescia
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
[platform]
url = http://127.0.0.1:7000
timeout = 0.5 s
[secrets]
peers = peers-secret-of-length
operators = operators-secret-of-length
`;

function getErrorText(text: string): string {
	try {
		parseSettings('entry.ini', text);
		return '';
	} catch (error) {
		return error instanceof SettingsError ? `${error.code} ${error.message}` : String(error);
	}
}

test('values with units are parsed and defaults are applied', t => {
	const settings = parseSettings('entry.ini', `${valid}[limits]\nbody = 64 kB\n`);
	t.is(settings.platform.timeout, 500);
	t.is(settings.limits.body, 64_000);
	t.is(settings.backends.stall, 300);
});

const faulty: ReadonlyArray<[title: string, text: string, expected: RegExp]> = [
	['unknown key', `${valid}[limits]\nbodies = 1 kB\n`, /entry\.ini: \[limits\] bodies: unknown key/v],
	['unknown section', `${valid}[colours]\nred = 1\n`, /entry\.ini: colours: unknown section/v],
	['invalid unit', `${valid}[limits]\nbody = 5 ms\n`, /\[limits\] body: found "5 ms"; expected a number with one of the units B, kB, MB/v],
	['missing value', valid.replace('id = entry-a\n', ''), /\[instance\] id: found nothing; a value is required/v],
	['missing section', valid.slice(0, valid.indexOf('[secrets]')), /\[secrets\]: found nothing/v],
	['duplicate key', `${valid}peers = another-secret-of-length\n`, /line 12: \[secrets\] peers is defined twice/v],
	['duplicate section', `${valid}[platform]\n`, /line 12: \[platform\] is defined twice/v],
	['value out of range', `${valid}[limits]\nretry_ratio = 2\n`, /retry_ratio: found "2"; expected a number from 0 to 1/v],
];

for (const [title, text, expected] of faulty) {
	test(`the error for a settings file with a fault names its location and the expected value: ${title}`, t => {
		const message = getErrorText(text);
		t.regex(message, expected);
		t.true(message.startsWith(`${ResultCode.SettingsInvalid} `));
	});
}

test('an error message does not contain the value of a secret', t => {
	const message = getErrorText(valid.replace('peers-secret-of-length', 'short-one'));
	t.regex(message, /\[secrets\] peers/v);
	t.notRegex(message, /short-one/v);
});

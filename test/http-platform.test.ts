import {createServer} from 'node:http';
import test from 'ava';
import {getListeningPort} from '../simulators/json-server.js';
import {listen} from '../src/network/listen.js';
import {HttpPlatform} from '../src/store/http-platform.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';

const sound = JSON.stringify({
	id: 'engine-1', role: 'engine', state: 'live', address: '10.0.0.1:8000', zone: 'zone-a', service: 'model',
});
const oddEntries = [
	'null',
	'7',
	'{"id":"engine-2"}',
	sound.replace('"live"', '"unknown"'),
	sound.replace('}', ',"tokenRate":1e999}'),
	sound.replace('}', ',"endLayer":9223372036854775808}'),
	`${'['.repeat(500_000)}${']'.repeat(500_000)}`,
	sound.replace('"zone-a"', `${'['.repeat(500_000)}${']'.repeat(500_000)}`),
];

// Guards against instances that no longer follow the instance list because one entry of it is malformed.
test('a malformed entry of the instance list is skipped, and the others are used', async t => {
	const server = createServer((_request, response) => {
		response.end(`{"revision":4,"changed":[${[...oddEntries, sound].join(',')}]}`);
	});
	await listen(server, '127.0.0.1', 0);
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	const platform = new HttpPlatform(`http://127.0.0.1:${getListeningPort(server)}`, 5000, new ClockTimerService());
	const {revision, changed} = await platform.instances.changesSince(0);
	t.is(revision, 4);
	t.deepEqual(changed.map(({id}) => id), ['engine-1']);
});

import {Socket} from 'node:net';
import test from 'ava';
import {PlatformCodec} from '../platform/platform-codec.js';
import {BackendAgent} from '../src/relay/backend-agent.js';
import {BackendClient} from '../src/relay/backend-client.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {StreamExchangeFixture} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';

const range = {from: 0, to: 80};
const first = sampleServer('first', 'large', range);

// Guards against a request that is given up, and counted as executed, while its connection is still being opened.
test('an attempt without a connection does not count as one on the own path', t => {
	const timers = new ClockTimerService();
	const connector = {
		async connect() {
			await timers.sleep(1000);
			return new Socket();
		},
	};
	const fixture = new StreamExchangeFixture();
	fixture.pipeline = [{server: first, range}];
	const client = new BackendClient({
		codec: new PlatformCodec(), agent: new BackendAgent(timers, 1000, connector), timers, connectTimeout: 300,
	});
	Object.assign(fixture.dependencies, {client});
	fixture.start();
	t.false(fixture.exchange.usesOwnPath);
	fixture.exchange.abort('over');
});

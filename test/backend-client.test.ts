import test from 'ava';
import {freePort} from '../harness/ports.js';
import {PlatformCodec} from '../platform/platform-codec.js';
import {AttemptFailureReason, type AttemptFailure} from '../src/relay/attempt-failure.js';
import {BackendAgent} from '../src/relay/backend-agent.js';
import {BackendClient} from '../src/relay/backend-client.js';
import {ClockTimerService} from '../src/time/clock-timer-service.js';
import {ExchangeFixture, sampleStreamRoute} from './support/exchange-fixture.js';
import {sampleServer} from './support/sample-fleet.js';

// Guards against taking a server that is only unreachable for one that has ended: both are failures before anything was sent.
test('a refused connection is told apart from one that cannot be established', async t => {
	const timers = new ClockTimerService();
	const client = new BackendClient({
		codec: new PlatformCodec(), agent: new BackendAgent(timers, 1000), timers, connectTimeout: 1000,
	});
	const server = sampleServer('a', '', undefined, {address: `127.0.0.1:${await freePort()}`});
	const failure = await new Promise<AttemptFailure>(resolve => {
		client.send({
			request: new ExchangeFixture().createRequest(sampleStreamRoute), server, remaining: 1000, needsNewConnection: true,
		}, {
			onHead() {
				t.fail();
			},
			onData() {
				t.fail();
			},
			onEnd() {
				t.fail();
			},
			onFailure: resolve,
		});
	});
	t.is(failure.reason, AttemptFailureReason.Refused);
});

import test from 'ava';
import {Membership} from '../src/membership/membership.js';
import {RandomSource} from '../src/routing/random-source.js';

// Guards against an instance that is not ready during an outage of the platform, because the list did not show the one that probes it before.
test('an instance that is probed by one which the list does not show probes it too', t => {
	const membership = new Membership('entry-a', 5000, new RandomSource(1));
	membership.recordProbe('entry-b', '10.0.0.2:7000', 100);
	t.is(membership.countAlive(), 1);
	t.is(membership.startPeriod(1000)?.target, 'entry-b');
	membership.recordAcknowledgement('entry-b', 1000, 1005);
	t.is(membership.getLastAcknowledgedAt(), 1000);
	membership.recordProbe('entry-a', '10.0.0.1:7000', 1100);
	t.is(membership.all().length, 1);
	membership.applyList(new Map([['entry-c', '10.0.0.3:7000']]), 2000);
	t.deepEqual(membership.all().map(({id}) => id), ['entry-c']);
});

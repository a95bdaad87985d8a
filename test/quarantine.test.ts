import test from 'ava';
import {Quarantine} from '../src/quarantine/quarantine.js';

// Guards against requests that are refused after the quarantine of their part is over, or not refused before.
test('a part is found until its quarantine expires', t => {
	const quarantine = new Quarantine(10);
	t.true(quarantine.add('deadly', 1000));
	t.deepEqual(quarantine.findQuarantined(['preamble', 'deadly'], 999), {part: 'deadly', expiresAt: 1000});
	t.is(quarantine.findQuarantined(['preamble', 'deadly'], 1000), undefined);
	t.is(quarantine.findQuarantined(['preamble'], 0), undefined);
	t.is(quarantine.findQuarantined([], 0), undefined);
});

// Guards against a refusal that names another part than the first quarantined one.
test('the first quarantined part of a request is found', t => {
	const quarantine = new Quarantine(10);
	quarantine.add('first', 1000);
	quarantine.add('second', 2000);
	t.is(quarantine.findQuarantined(['second', 'first'], 0)?.part, 'second');
	t.is(quarantine.findQuarantined(['second', 'first'], 1500)?.part, 'second');
	t.is(quarantine.findQuarantined(['first', 'second'], 1500)?.part, 'second');
});

// Guards against a late message of another instance that shortens a quarantine, and against announcing a part twice.
test('the later expiry wins, and only the first addition is new', t => {
	const quarantine = new Quarantine(10);
	t.true(quarantine.add('deadly', 1000));
	t.false(quarantine.add('deadly', 500));
	t.is(quarantine.findQuarantined(['deadly'], 0)?.expiresAt, 1000);
	t.false(quarantine.add('deadly', 3000));
	t.is(quarantine.findQuarantined(['deadly'], 0)?.expiresAt, 3000);
});

// Guards against a part that is never released, or is released twice.
test('expired parts are released once and can be quarantined again', t => {
	const quarantine = new Quarantine(10);
	quarantine.add('early', 1000);
	quarantine.add('late', 2000);
	t.deepEqual(quarantine.removeExpired(999), []);
	t.deepEqual(quarantine.removeExpired(1000), ['early']);
	t.deepEqual(quarantine.removeExpired(1000), []);
	t.deepEqual(quarantine.all(), [{part: 'late', expiresAt: 2000}]);
	t.true(quarantine.add('early', 3000));
});

// Guards against unbounded memory, and against a dropped part that the analysis still takes for quarantined.
test('too many parts: the one that expires first is dropped and reported as released', t => {
	const quarantine = new Quarantine(3);
	for (const [part, expiresAt] of [['b', 2000], ['a', 1000], ['c', 3000], ['d', 4000]] as const) {
		t.true(quarantine.add(part, expiresAt));
	}

	t.deepEqual(quarantine.all().map(({part}) => part), ['b', 'c', 'd']);
	t.is(quarantine.findQuarantined(['a'], 0), undefined);
	t.deepEqual(quarantine.removeExpired(0), ['a']);
	t.deepEqual(quarantine.removeExpired(0), []);
	for (let index = 0; index < 1000; index++) {
		quarantine.add(`part-${index}`, 5000 + index);
	}

	t.is(quarantine.all().length, 3);
	t.is(quarantine.removeExpired(0).length, 3);
});

// Guards against a release of a part that was dropped but is quarantined again.
test('a dropped part that is added again is not released', t => {
	const quarantine = new Quarantine(1);
	quarantine.add('a', 1000);
	quarantine.add('b', 2000);
	t.true(quarantine.add('a', 3000));
	t.deepEqual(quarantine.removeExpired(0), ['b']);
	t.is(quarantine.findQuarantined(['a'], 0)?.expiresAt, 3000);
});

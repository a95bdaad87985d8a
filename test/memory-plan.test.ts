import test from 'ava';
import {planMemory} from '../src/network/memory-plan.js';

// Guards against processes that promise more memory to callers than their machine has.
test('what callers may occupy fits into the memory, and a large machine is bounded by its descriptors', t => {
	const baseMemory = 76_000_000;
	for (const memory of [112_000_000, 160_000_000, 202_000_000, 350_000_000, 602_000_000]) {
		const plan = planMemory({memory, baseMemory, descriptors: 4100});
		t.true(plan.requestBytes + (plan.connections * 16_384) < memory - baseMemory, `${memory} bytes`);
	}

	t.is(planMemory({memory: 602_000_000, baseMemory, descriptors: 4100}).connections, 1950);
});

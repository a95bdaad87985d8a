// Uses the admission queue as a library, without the daemon. Packages that depend on siskinnotch
// import the same paths.
import {Admission} from 'siskinnotch/admission/admission.js';
import {Priority} from 'siskinnotch/configuration/priority.js';
import {Invariants} from 'siskinnotch/observation/invariants.js';
import {ManualTimerService} from 'siskinnotch/time/manual-timer-service.js';

const slots = 2;
const timers = new ManualTimerService();
const admission = new Admission({queue: 3, queueTime: 500}, new Invariants());

for (let number = 1; number <= 7; number++) {
	const {admitted, refused} = admission.request({
		id: `request-${number}`,
		workspace: number % 2 === 0 ? 'even' : 'odd',
		priority: Priority.Normal,
		share: 50,
		cost: 100,
		deadline: timers.now() + 10_000,
		expectedDuration: 200,
	}, slots, timers.now());
	const outcome = refused.length > 0 ? `refused: ${refused[0].failure.message}` : (admitted.length > 0 ? 'runs' : 'waits');
	console.log(`request-${number} ${outcome}`);
}

timers.advance(200);
const {admitted} = admission.end('request-1', slots, timers.now(), 200);
console.log(`after request-1 has ended: ${admitted.map(({id}) => id).join(', ')} runs`);

import test from 'ava';
import {runProgram} from '../harness/run-command.js';

test('the example embeds a module through the subpath exports', async t => {
	const {code, output, errors} = await runProgram('examples/embed-admission.js', []);
	t.is(code, 0);
	t.is(errors, '');
	t.regex(output, /request-2 runs\nrequest-3 waits/v);
	t.regex(output, /request-6 refused: 3 requests wait already/v);
	t.regex(output, /after request-1 has ended: request-3 runs/v);
});

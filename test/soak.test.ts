import test from 'ava';
import {runProgram} from '../harness/run-command.js';

test('a short soak run with a fixed seed finds no violations', async t => {
	const {code, output, errors} = await runProgram('soak/soak.js', ['--seed', '20261204', '--minutes', '0.15']);
	t.log(output, errors);
	t.is(code, 0);
});

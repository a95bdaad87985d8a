import {createProcedureClient, type ProcedureClient} from '../peers/trpc-peers.js';
import {type Reply} from '../peers/operator-request-handler.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type CommandResult, failure} from './output.js';

/** Where and as whom a command calls. */
export type ConnectionOptions = {
	readonly instance: string;
	readonly secret: string;
};

/** Calls an instance; a call that fails becomes the command's result. */
export async function callInstance(
	{instance, secret}: ConnectionOptions,
	work: (client: ProcedureClient) => Promise<CommandResult>,
): Promise<CommandResult> {
	if (instance === '' || secret === '') {
		return failure(ResultCode.UsageError, 'name the peer address with --instance or SISKINNOTCH_INSTANCE, and set SISKINNOTCH_SECRET to the operators\' secret');
	}

	try {
		return await work(createProcedureClient(instance, secret));
	} catch (error) {
		const message = getErrorMessage(error);
		const code = message.includes('secret is wrong') ? ResultCode.PeerUnauthorized : ResultCode.InternalError;
		return failure(code, `${instance}: ${message}`);
	}
}

/** Makes a result of an instance's reply. */
export function toCommandResult<Value>(reply: Reply<Value>, work: (value: Value) => CommandResult): CommandResult {
	return 'failure' in reply ? failure(reply.failure.code, reply.failure.message) : work(reply.value);
}

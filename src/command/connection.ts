import {createProcedureClient, type ProcedureClient} from '../peers/trpc-peers.js';
import {type Reply} from '../peers/operator-request-handler.js';
import {ResultCode} from '../results/result-code.js';
import {getErrorMessage} from '../results/to-failure.js';
import {type CommandResult, failure} from './output.js';

/** The peer address of the instance that a command calls, and the operators' secret. */
export type ConnectionOptions = {
	readonly instance: string;
	readonly secret: string;
};

/** Calls an instance. A call that fails becomes a failed command result. */
export async function callInstance(
	{instance, secret}: ConnectionOptions,
	work: (client: ProcedureClient) => Promise<CommandResult>,
): Promise<CommandResult> {
	if (instance === '' || secret === '') {
		return failure(ResultCode.UsageError, 'set the peer address with --instance or SISKINNOTCH_INSTANCE, and the operators\' secret with SISKINNOTCH_SECRET');
	}

	try {
		return await work(createProcedureClient(instance, secret));
	} catch (error) {
		const message = getErrorMessage(error);
		const code = message.includes('secret is wrong') ? ResultCode.PeerUnauthorized : ResultCode.InternalError;
		return failure(code, `${instance}: ${message}`);
	}
}

/** Turns an instance's reply into a command result; `work` is called with the value of a successful reply. */
export function toCommandResult<Value>(reply: Reply<Value>, work: (value: Value) => CommandResult): CommandResult {
	return 'failure' in reply ? failure(reply.failure.code, reply.failure.message) : work(reply.value);
}

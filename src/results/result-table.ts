import {ResultCode} from './result-code.js';
import {type ResultDescription} from './result-description.js';

function row(status: number, exitCode: number, meaning: string, retryAfterSeconds?: number): ResultDescription {
	return {
		status, exitCode, meaning, retryAfterSeconds,
	};
}

/** Every result code with its HTTP status, exit code, meaning and default retry delay. */
export const resultTable: Readonly<Record<ResultCode, ResultDescription>> = {
	[ResultCode.Success]: row(200, 0, 'The request was carried out.'),
	[ResultCode.InternalError]: row(500, 1, 'An internal error occurred.'),
	[ResultCode.UsageError]: row(400, 2, 'The command line was not understood.'),
	[ResultCode.SettingsInvalid]: row(500, 10, 'A setting is invalid.'),
	[ResultCode.SettingsMissing]: row(500, 11, 'The settings file or a required setting is missing.'),
	[ResultCode.AddressUnavailable]: row(500, 12, 'The listening address is unavailable.'),
	[ResultCode.SheetInvalid]: row(422, 20, 'The sheet has errors; nothing of it is in force.'),
	[ResultCode.SheetConflict]: row(409, 21, 'Another sheet was accepted since the version that the planner saw.'),
	[ResultCode.SheetOutcomeUnknown]: row(503, 22, 'It is unknown whether the sheet was accepted; submit the same sheet again.', 5),
	[ResultCode.KeyMissing]: row(401, 30, 'No bearer key was sent.'),
	[ResultCode.KeyUnknown]: row(401, 31, 'The bearer key belongs to no workspace.'),
	[ResultCode.ServiceNotGranted]: row(403, 32, 'The workspace has no grant for the service.'),
	[ResultCode.BodyMalformed]: row(400, 40, 'The body is not what the interface expects.'),
	[ResultCode.BodyTooLarge]: row(413, 41, 'The body is larger than allowed.'),
	[ResultCode.ModelUnknown]: row(404, 42, 'No service of the sheet serves the model.'),
	[ResultCode.OperationUnknown]: row(404, 43, 'The sheet has no such service or operation.'),
	[ResultCode.IdempotencyKeyMissing]: row(400, 44, 'The operation is not idempotent and needs an Idempotency-Key header.'),
	[ResultCode.IdempotencyKeyInvalid]: row(400, 45, 'The Idempotency-Key is empty, too long or has characters outside visible ASCII.'),
	[ResultCode.DeadlineInvalid]: row(400, 46, 'The deadline header is not a positive number of milliseconds.'),
	[ResultCode.DeadlinePassed]: row(504, 47, 'The deadline has passed.'),
	[ResultCode.PathUnknown]: row(404, 48, 'There is no such path or method.'),
	[ResultCode.PriorityInvalid]: row(400, 49, 'The priority header is unknown.'),
	[ResultCode.HeadMalformed]: row(400, 50, 'The head of the request is not valid HTTP.'),
	[ResultCode.BodyTooSlow]: row(408, 51, 'The body arrived too slowly, or stopped.'),
	[ResultCode.NotReady]: row(503, 60, 'The instance has no configuration yet.', 1),
	[ResultCode.ConfigurationUnconfirmed]: row(503, 61, 'The instance cannot tell whether its configuration is the newest.', 2),
	[ResultCode.Draining]: row(503, 62, 'The instance is stopping.', 1),
	[ResultCode.PlatformUnavailable]: row(503, 63, 'The platform\'s table cannot be reached.', 5),
	[ResultCode.NoPipeline]: row(503, 64, 'No pipeline of live backend servers covers the layers.', 2),
	[ResultCode.Overloaded]: row(503, 65, 'The queue is full.', 1),
	[ResultCode.TokenLimitReached]: row(429, 66, 'The workspace has used its tokens.', 5),
	[ResultCode.StreamLimitReached]: row(429, 67, 'The workspace has too many concurrent streams.', 1),
	[ResultCode.DeadlineUnreachable]: row(503, 68, 'The work cannot be done before its deadline.', 1),
	[ResultCode.RetryBudgetSpent]: row(503, 69, 'A backend server failed and the retry budget is spent.', 2),
	[ResultCode.RequestQuarantined]: row(503, 70, 'The request or a part of its prompt is quarantined, since backend servers crashed on it.', 60),
	[ResultCode.BodyMemoryShort]: row(503, 71, 'The memory or the processing time for request bodies is used up.', 1),
	[ResultCode.ActionConflict]: row(422, 80, 'The Idempotency-Key was used with another body.'),
	[ResultCode.ActionInProgress]: row(409, 81, 'A request with this Idempotency-Key is in progress.', 1),
	[ResultCode.ActionOutcomeUnknown]: row(502, 82, 'The action was sent and its outcome is unknown; look it up.'),
	[ResultCode.ActionUnknown]: row(404, 83, 'No action with this key is known.'),
	[ResultCode.StreamInterrupted]: row(502, 84, 'The stream ended before the answer was whole.', 1),
	[ResultCode.BackendFailed]: row(502, 85, 'The backend server failed.', 1),
	[ResultCode.CallerGone]: row(499, 86, 'The caller closed the connection.'),
	[ResultCode.PeerUnauthorized]: row(401, 90, 'The peer or operator secret is wrong.'),
	[ResultCode.LeaseLost]: row(409, 91, 'The lease belongs to another holder.', 5),
};

/** A change of a compiled file that disables one mechanism, and the test that must then fail. */
export type Mutation = {
	/** The guarantee that the mechanism gives. */
	readonly promise: string;
	/** Path of the compiled file below `dist/`. */
	readonly file: string;
	readonly find: string;
	readonly replace: string;
	readonly testFile: string;
	/** Pattern of the test title, as `ava --match` takes it. */
	readonly title: string;
};

function mutation(promise: string, [file, find, replace]: readonly [string, string, string], [testFile, title]: readonly [string, string]): Mutation {
	return {
		promise, file, find, replace, testFile, title,
	};
}

/** One mutation for each guarantee; they are applied one at a time. */
export const mutations: readonly Mutation[] = [
	mutation(
		'a key that was sent is not sent again by another instance',
		['src/actions/action-decision.js', 'record.state === ActionState.Sent)', 'false)'],
		['test/action-model.test.ts', 'at most once*'],
	),
	mutation(
		'an action is recorded as sent before it is sent',
		['src/actions/action-decision.js', 'ActionStepKind.MarkSent : ActionStepKind.Send', 'ActionStepKind.Send : ActionStepKind.Send'],
		['test/action-model.test.ts', 'at most once*'],
	),
	mutation(
		'a connection reset after the request was written does not prove that it was not run',
		['src/backends/http-plain-service.js', '\'ECONNREFUSED\',', '\'ECONNREFUSED\', \'ECONNRESET\','],
		['test/action-failures.test.ts', 'records answers reset_after*'],
	),
	mutation(
		'another body under a key is a conflict',
		['src/actions/action-decision.js', 'record.fingerprint !== action.fingerprint', 'false'],
		['test/action-model.test.ts', 'the same key with another body*'],
	),
	mutation(
		'late frames are dropped',
		['src/routing/frame-validator.js', 'frame.attempt !== attempt || frame.index < this.expectedIndex', 'false'],
		['test/stream-recovery.test.ts', '*'],
	),
	mutation(
		'receipts are checked against the layers of the route',
		['src/routing/frame-validator.js', 'findInvalidStage(frame.receipts, route, this.layers) !== undefined', 'false'],
		['test/stream-recovery.test.ts', 'a stage that changed its version*'],
	),
	mutation(
		'a gap in the frame indexes is detected',
		['src/routing/frame-validator.js', 'frame.index > this.expectedIndex', 'false'],
		['test/stream-recovery.test.ts', 'whatever happens*'],
	),
	mutation(
		'a silent connection is distinguished from a lost server',
		['src/routing/stall-diagnosis.js', 'answered.at(-1).emitted > delivered', 'false'],
		['test/stream-recovery.test.ts', 'a silent connection*'],
	),
	mutation(
		'a killed stage is replaced',
		['src/routing/stream-recovery.js', 'const refusal = this.running.silent', 'return this.fail(65, \'\'); const refusal = this.running.silent'],
		['test/stream-failures.test.ts', 'the middle stage is killed*'],
	),
	mutation(
		'engines are cancelled when the caller disconnects',
		['src/callers/chat-exchange.js', 'if (!this.isEnded) {', 'if (false) {'],
		['test/stream-failures.test.ts', 'the caller goes away*'],
	),
	mutation(
		'no caller is refused for good by a sheet that is known not to be the newest',
		['src/callers/caller-authenticator.js', 'configuration.version < newest', 'false'],
		['test/caller-refusals.test.ts', 'a newer sheet of which*'],
	),
	mutation(
		'no caller is refused for good by a sheet that was not confirmed for long',
		['src/callers/caller-authenticator.js', '!this.freshness.isReadRecent(this.timers.now())', 'false'],
		['test/caller-refusals.test.ts', 'a sheet that no reading*'],
	),
	mutation(
		'configuration versions only increase',
		['src/configuration/active-configuration.js', 'candidate.version <= configuration.version', 'false'],
		['test/decisions.test.ts', 'version*'],
	),
	mutation(
		'an instance that resumes after a pause is not ready',
		['src/configuration/configuration-freshness.js', 'now - lastContactAt <= this.maxAgeMs', 'true'],
		['test/decisions.test.ts', 'freshness*'],
	),
	mutation(
		'a version spreads between peers without the table',
		['src/configuration/configuration-watcher.js', 'this.applyUpdate(update, address)', 'undefined'],
		['test/configuration-failures.test.ts', 'an instance that starts in an outage*'],
	),
	mutation(
		'a submission whose answer was lost is found when it is repeated',
		['src/configuration/sheet-submission-service.js', 'head.submission !== submission.id', 'true'],
		['test/configuration-failures.test.ts', 'an accepted write whose answer*'],
	),
	mutation(
		'a leaving server gets no new work',
		['src/routing/fleet.js', 'server.listed.state === InstanceState.Live && !server.isLeaving', 'true'],
		['test/stream-failures.test.ts', 'a leaving server*'],
	),
	mutation(
		'a planned stop waits for requests in flight',
		['src/instance.js', 'dependencies.callers.inFlight > 0 && dependencies.timers.now() < drainDeadline', 'false'],
		['test/stream-failures.test.ts', 'entry instances are stopped in turn*'],
	),
	mutation(
		'a lease is taken over only after its duration',
		['src/leases/lease.js', 'now - this.seenAt >= this.duration', 'true'],
		['test/leases.test.ts', 'at any time*'],
	),
	mutation(
		'suspicion comes before removal',
		['src/membership/membership.js', 'now - member.since >= limit', 'true'],
		['test/decisions.test.ts', 'membership*'],
	),
	mutation(
		'grants stay within the limit',
		['src/usage/grant-request.js', 'Math.min(request.tokens, tokensLeft)', 'request.tokens'],
		['test/decisions.test.ts', 'usage*'],
	),
	mutation(
		'the queue is bounded',
		['src/admission/admission.js', 'this.queue.size >= this.limits.queue', 'false'],
		['test/decisions.test.ts', 'admission*'],
	),
	mutation(
		'workspaces are served in proportion to their shares',
		['src/admission/fair-queue.js', 'request.cost / request.share', '0'],
		['test/decisions.test.ts', 'admission*shares*'],
	),
	mutation(
		'retries stay within the budget',
		['src/admission/retry-budget.js', 'this.retries.length + 1 > limit', 'false'],
		['test/decisions.test.ts', 'retry budget*'],
	),
	mutation(
		'a lender does without what it lent until no loan can be in use',
		['src/admission/retry-budget.js', 'now + lifetime + this.window', 'now + this.window'],
		['test/retry-loans.test.ts', 'an instance lends*'],
	),
	mutation(
		'an instance uses only its share of a limit that a server names',
		['src/backpressure/limit-share.js', 'computeWeight(own) / sharing', '1; void sharing'],
		['test/server-limits.test.ts', 'all instances together*'],
	),
	mutation(
		'a low limit is shared by few instances',
		['src/backpressure/limit-share.js', 'instances.length <= count', 'true'],
		['test/server-limits.test.ts', 'all instances together*'],
	),
	mutation(
		'a first stage that reached its limit gets no stream',
		['src/pipelines/pipeline-selector.js', '&& this.dependencies.backpressure.limits.allows(server, now)', ''],
		['test/pipelines.test.ts', 'a first stage that reached*'],
	),
	mutation(
		'streams count against the limit of their first stage',
		['src/relay/streams/stream-sender.js', 'backpressure.limits.recordRequest(server, now);', ''],
		['test/server-limits-process.test.ts', 'a first stage gets*'],
	),
	mutation(
		'limits are learned from other instances',
		['src/peers/limit-exchange.js', 'this.limits.apply(', 'void ('],
		['test/server-limits.test.ts', 'a limit and its end*'],
	),
	mutation(
		'servers that die at one moment do not make a request a cause',
		['src/quarantine/request-crashes.js', 'sequence >= minSequence', 'true'],
		['test/request-crashes.test.ts', 'servers that die at one moment*'],
	),
	mutation(
		'a prompt part is no cause while one request explains its crashes',
		['src/quarantine/crash-analysis.js', 'hasRival || this.requests.explainsAll(first.suspicions)', 'hasRival'],
		['test/request-crashes.test.ts', 'a prompt part is not*'],
	),
	mutation(
		'a silent attempt is kept beside the one that takes over',
		['src/relay/streams/stream-attempts.js', 'const ended = this.findEnded();', 'const ended = this.attempts;'],
		['test/silent-streams.test.ts', 'a stream whose server falls silent*'],
	),
	mutation(
		'a complete response clears a plain request',
		['src/relay/plain/plain-attempts.js', 'evidence.recordHarmless();', ''],
		['test/plain-exchange.test.ts', 'a complete response*'],
	),
	mutation(
		'a silent attempt of a plain request is kept beside a second one',
		['src/relay/plain/plain-hedger.js', 'attempts.recordSilence();', 'attempts.cancel(attempts.all);'],
		['test/plain-exchange.test.ts', 'a lookup whose server is silent is answered*'],
	),
	mutation(
		'of two attempts of a plain request, the one that did not decide is cancelled',
		['src/relay/plain/plain-delivery.js', 'this.attempts.cancel(this.attempts.all.filter(other => other !== attempt));', ''],
		['test/hedged-lookups.test.ts', 'of two answers*'],
	),
	mutation(
		'quarantines are learned from other instances',
		['src/peers/quarantine-exchange.js', '!this.quarantine.has(part)', 'false'],
		['test/crash-gossip.test.ts', 'a quarantine reaches*'],
	),
	mutation(
		'an attempt is kept while no other route can take it over',
		['src/routing/route-attempt.js', 'return this.isConnectionOpen && isWithinTimeout', 'return false && isWithinTimeout'],
		['test/stream-recovery.test.ts', 'an attempt whose stage does not respond to*'],
	),
	mutation(
		'a silent attempt is kept until another one has delivered',
		['src/routing/attempt-pair.js', 'return this.startBeside(attempt, suspects, now);', 'return this.replace(attempt, suspects, now);'],
		['test/silent-attempts.test.ts', 'a silent attempt goes on if*'],
	),
	mutation(
		'a living server that closes two connections of a request counts as one server',
		['src/relay/crash-evidence.js', 'if (this.fates.hasEnded(server))', 'if (true)'],
		['test/lost-connections.test.ts', 'a stream that lost two connections of one server*'],
	),
	mutation(
		'a stream resumes at another first stage than the one that has just failed it',
		['src/relay/streams/stream-resumption.js', 'selector.recordFailure(attempt.firstServer);', ''],
		['test/lost-connections.test.ts', 'a stream whose attempt was lost before an event*'],
	),
	mutation(
		'a complete response is not dropped because its server closes the connection',
		['src/relay/backend-client.js', 'else if (!this.message.complete)', 'else if (true)'],
		['test/backend-client.test.ts', '*that reads slowly*'],
	),
];

import {initTRPC, TRPCError} from '@trpc/server';
import * as z from 'zod';
import {gossipMessageSchema, type GossipMessage} from './gossip-message.js';
import {type SelectionRequestHandler} from './selection-request-handler.js';

/** Longest lifetime of a loan in milliseconds, since a lender does without its retries for that time. */
const maxLoanLifetimeMs = 10_000;

/** Handles the calls of other instances. */
export type GossipReceiver = {
	/** Applies a message of another instance and returns the answer to it. */
	exchange(message: GossipMessage): GossipMessage;
};

const loanRequestSchema = z.object({
	service: z.string(),
	retries: z.number().int().positive(),
	/** Milliseconds within which the borrower uses the retries. */
	lifetime: z.number().nonnegative().max(maxLoanLifetimeMs),
});

/** The answer to a request for retries. */
export const loanAnswerSchema = z.object({retries: z.number().int().nonnegative()});

/** A request of another instance for retries of a service. */
export type LoanCall = z.infer<typeof loanRequestSchema>;

/** Answers the requests of other instances for retries. */
export type RetryLender = {
	/** Lends retries of this instance's share; returns how many. */
	lend(call: LoanCall): number;
};

const selectionQuerySchema = z.object({
	route: z.string(),
	promptTokens: z.number().int().nonnegative().optional(),
	answerTokens: z.number().int().nonnegative().optional(),
	workspace: z.string().optional(),
});

const trpc = initTRPC.context<{readonly authorization?: string}>().create();

/** Creates the procedures that pipeline routers offer to each other, and to operators. */
export function createGossipProcedures(receiver: GossipReceiver, lender: RetryLender, selections?: SelectionRequestHandler) {
	return trpc.router({
		exchange: trpc.procedure.input(gossipMessageSchema).mutation(({input}) => receiver.exchange(input)),
		lendRetries: trpc.procedure.input(loanRequestSchema).mutation(({input}) => ({retries: lender.lend(input)})),
		explainSelection: trpc.procedure.input(selectionQuerySchema).query(async ({ctx, input}) => {
			if (!selections?.isOperator(ctx.authorization)) {
				throw new TRPCError({code: 'UNAUTHORIZED', message: 'the operator secret is wrong'});
			}

			return selections.explain(input);
		}),
	});
}

/** The type of the procedures, for clients. */
export type GossipProcedures = ReturnType<typeof createGossipProcedures>;

import {initTRPC} from '@trpc/server';
import {instanceNewsSchema, type InstanceNews} from './instance-news.js';

/** What an instance does with calls of others. */
export type NewsReceiver = {
	/** Takes over what another instance tells. */
	receive(news: InstanceNews): void;
	/** The text of the catalog in force, where its version is newer than the one asked with. */
	catalogAfter(version: number): string | undefined;
};

const trpc = initTRPC.create();

/** The procedures that pipeline routers offer to each other. */
export function createNewsProcedures(receiver: NewsReceiver) {
	return trpc.router({
		tell: trpc.procedure.input(instanceNewsSchema).mutation(({input}) => {
			receiver.receive(input);
		}),
		catalog: trpc.procedure.input(instanceNewsSchema.pick({version: true})).query(({input}) => receiver.catalogAfter(input.version)),
	});
}

/** The type of the procedures, for clients. */
export type NewsProcedures = ReturnType<typeof createNewsProcedures>;

import {initTRPC} from '@trpc/server';
import {type InstanceSnapshot} from './instance-snapshot.js';
import {gossipMessageSchema, type GossipMessage} from './gossip-message.js';

/** What an instance does with calls of others. */
export type GossipReceiver = {
	/** Takes over what another instance tells. */
	receive(news: GossipMessage): void;
	/** What this instance knows; the catalog only where it is newer than a version. */
	createSnapshot(version: number): InstanceSnapshot;
};

const trpc = initTRPC.create();

/** The procedures that pipeline routers offer to each other. */
export function createGossipProcedures(receiver: GossipReceiver) {
	return trpc.router({
		tell: trpc.procedure.input(gossipMessageSchema).mutation(({input}) => {
			receiver.receive(input);
		}),
		snapshot: trpc.procedure.input(gossipMessageSchema.pick({version: true})).query(({input}) => receiver.createSnapshot(input.version)),
	});
}

/** The type of the procedures, for clients. */
export type GossipProcedures = ReturnType<typeof createGossipProcedures>;

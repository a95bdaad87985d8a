import {initTRPC} from '@trpc/server';
import {type InstanceSnapshot} from './instance-snapshot.js';
import {gossipMessageSchema, type GossipMessage} from './gossip-message.js';

/** Handles the calls of other instances. */
export type GossipReceiver = {
	/** Applies a message of another instance. */
	receive(message: GossipMessage): void;
	/** Returns the state of this instance, with the catalog only if it is newer than a version. */
	createSnapshot(version: number): InstanceSnapshot;
};

const trpc = initTRPC.create();

/** Creates the procedures that pipeline routers offer to each other. */
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

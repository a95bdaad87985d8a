import {initTRPC} from '@trpc/server';
import {gossipMessageSchema, type GossipMessage} from './gossip-message.js';

/** Handles the calls of other instances. */
export type GossipReceiver = {
	/** Applies a message of another instance and returns the answer to it. */
	exchange(message: GossipMessage): GossipMessage;
};

const trpc = initTRPC.create();

/** Creates the procedures that pipeline routers offer to each other. */
export function createGossipProcedures(receiver: GossipReceiver) {
	return trpc.router({
		exchange: trpc.procedure.input(gossipMessageSchema).mutation(({input}) => receiver.exchange(input)),
	});
}

/** The type of the procedures, for clients. */
export type GossipProcedures = ReturnType<typeof createGossipProcedures>;

import {initTRPC, TRPCError} from '@trpc/server';
import * as z from 'zod';
import {probeMessageSchema} from './probe-message.js';
import {type PeerRequestHandler} from './peer-request-handler.js';
import {type OperatorRequestHandler} from './operator-request-handler.js';

/** Role of the caller of a procedure. */
export enum Role {
	Nobody = 'nobody',
	Peer = 'peer',
	Operator = 'operator',
}

/** Context that each procedure receives. */
export type CallContext = {
	readonly role: Role;
};

const trpc = initTRPC.context<CallContext>().create();

/** Creates a procedure that only callers with a role may call. */
function createProcedureFor(role: Role) {
	return trpc.procedure.use(async ({ctx, next}) => {
		if (ctx.role !== role) {
			throw new TRPCError({code: 'UNAUTHORIZED', message: `the ${role} secret is wrong`});
		}

		return next();
	});
}

const peer = createProcedureFor(Role.Peer);
const operator = createProcedureFor(Role.Operator);

/** Creates the procedures that instances offer to each other and to the command line. */
export function createProcedures(peerHandler: PeerRequestHandler, operatorHandler: OperatorRequestHandler) {
	return trpc.router({
		probe: peer.input(probeMessageSchema).mutation(async ({input}) => peerHandler.handleProbe(input)),
		probeThrough: peer.input(z.object({target: z.string()})).mutation(async ({input}) => peerHandler.probeOnBehalf(input.target)),
		update: peer.input(z.object({version: z.number().int()})).query(({input}) => peerHandler.getUpdate(input.version)),
		announce: peer.input(z.object({address: z.string(), version: z.number().int()})).mutation(async ({input}) => peerHandler.handleAnnouncement(input.address, input.version)),
		listing: peer.query(() => [...peerHandler.listing()]),
		submitSheet: operator
			.input(z.object({
				text: z.string(), seen: z.number().int(), planner: z.string(), id: z.string(),
			}))
			.mutation(async ({input}) => operatorHandler.submitSheet(input)),
		showSheet: operator.query(() => operatorHandler.showSheet()),
		history: operator.query(async () => operatorHandler.history()),
		usage: operator.query(async () => operatorHandler.usage()),
		instances: operator.query(() => operatorHandler.instances()),
		drain: operator.mutation(() => operatorHandler.drain()),
		explainRoute: operator.input(z.object({model: z.string()})).query(({input}) => operatorHandler.explainRoute(input.model)),
		lookUpAction: operator
			.input(z.object({workspace: z.string(), key: z.string()}))
			.query(async ({input}) => operatorHandler.lookUpAction(input.workspace, input.key)),
	});
}

/** The type of the procedures, for clients. */
export type Procedures = ReturnType<typeof createProcedures>;

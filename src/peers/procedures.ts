import {initTRPC, TRPCError} from '@trpc/server';
import * as z from 'zod';
import {probeMessageSchema} from './probe-message.js';
import {type PeerRequestHandler} from './peer-request-handler.js';
import {type OperatorRequestHandler} from './operator-request-handler.js';

/** Who calls a procedure. */
export enum Role {
	Nobody = 'nobody',
	Peer = 'peer',
	Operator = 'operator',
}

/** What each procedure is given. */
export type CallContext = {
	readonly role: Role;
};

const trpc = initTRPC.context<CallContext>().create();

function procedureFor(role: Role) {
	return trpc.procedure.use(async ({ctx, next}) => {
		if (ctx.role !== role) {
			throw new TRPCError({code: 'UNAUTHORIZED', message: `the ${role} secret is wrong`});
		}

		return next();
	});
}

const peer = procedureFor(Role.Peer);
const operator = procedureFor(Role.Operator);

/** The procedures that instances offer to each other and to the command line. */
export function createProcedures(peerDesk: PeerRequestHandler, operatorDesk: OperatorRequestHandler) {
	return trpc.router({
		probe: peer.input(probeMessageSchema).mutation(async ({input}) => peerDesk.handleProbe(input)),
		probeThrough: peer.input(z.object({target: z.string()})).mutation(async ({input}) => peerDesk.probeOnBehalf(input.target)),
		update: peer.input(z.object({version: z.number().int()})).query(({input}) => peerDesk.getUpdate(input.version)),
		announce: peer.input(z.object({address: z.string(), version: z.number().int()})).mutation(async ({input}) => peerDesk.handleAnnouncement(input.address, input.version)),
		listing: peer.query(() => [...peerDesk.listing()]),
		submitSheet: operator
			.input(z.object({
				text: z.string(), seen: z.number().int(), planner: z.string(), id: z.string(),
			}))
			.mutation(async ({input}) => operatorDesk.submitSheet(input)),
		showSheet: operator.query(() => operatorDesk.showSheet()),
		history: operator.query(async () => operatorDesk.history()),
		usage: operator.query(async () => operatorDesk.usage()),
		instances: operator.query(() => operatorDesk.instances()),
		drain: operator.mutation(() => operatorDesk.drain()),
		explainRoute: operator.input(z.object({model: z.string()})).query(({input}) => operatorDesk.explainRoute(input.model)),
		lookUpAction: operator
			.input(z.object({workspace: z.string(), key: z.string()}))
			.query(async ({input}) => operatorDesk.lookUpAction(input.workspace, input.key)),
	});
}

/** The type of the procedures, for clients. */
export type Procedures = ReturnType<typeof createProcedures>;

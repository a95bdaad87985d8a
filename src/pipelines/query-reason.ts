/** Why a backend server is queried. */
export enum QueryReason {
	/** To learn how slow it is, since streams through it are silent. */
	Slowness = 'slowness',
	/** To learn for which stage its requests wait, since they are silent or were lost. */
	Silence = 'silence',
	/** To learn whether it is leaving or fails, since it rejects requests. */
	Rejections = 'rejections',
	/** To learn whether it still accepts connections, since it lost requests. */
	LostRequests = 'lost_requests',
	/** To learn which layers it holds. */
	Placement = 'placement',
}

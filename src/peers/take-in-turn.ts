/**
Returns some of the entries; consecutive turns go through all of them.

@param turn - number of the turn, from 0
*/
export function takeInTurn<Entry>(entries: readonly Entry[], count: number, turn: number): readonly Entry[] {
	const first = entries.length === 0 ? 0 : (turn * count) % entries.length;
	return entries.slice(first, first + count);
}

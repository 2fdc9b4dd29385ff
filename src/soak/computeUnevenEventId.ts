const STEP = 6;
const CYCLE = 3;

/** Computes the identifier of an event with a number from 1 on; identifiers increase by 5 or 8. */
export function computeUnevenEventId(event: number): number {
    return STEP * event - event % CYCLE;
}

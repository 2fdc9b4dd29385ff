const NUMBERINGS: Readonly<Record<string, (event: number) => number>> = {
    stepped: event => 6 * event,
    uneven: event => 5 * event + event ** 2 % 7,
};

/** Returns the identifier of an event of a stream, counted from 1; the last part of the path names how they increase. */
export function computeEventId(path: string, event: number): number {
    return NUMBERINGS[path.split("/").at(-1) ?? ""]?.(event) ?? event;
}

/** Returns the key of a pool in maps and in rendezvous hashing, so it must be the same on all instances. */
export function buildPoolKey(service: string, dataCentre: string): string {
    return `${service}@${dataCentre}`;
}

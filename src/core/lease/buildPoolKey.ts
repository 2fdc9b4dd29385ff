/** Returns the key of a pool in maps. */
export function buildPoolKey(service: string, dataCentre: string): string {
    return `${service}@${dataCentre}`;
}

/** Returns the key under which instances are ranked for a pool. */
export function buildPoolKey(service: string, dataCentre: string): string {
    return `pool:${service}@${dataCentre}`;
}

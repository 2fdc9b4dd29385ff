/** Returns the key of a queue in maps. */
export function buildQueueKey(account: string, service: string): string {
    return `${account}/${service}`;
}

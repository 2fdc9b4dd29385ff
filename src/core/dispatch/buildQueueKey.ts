/** Returns the map key of an account's queue and cost history for a service. */
export function buildQueueKey(account: string, service: string): string {
    return `${account}/${service}`;
}

/** Requests per second for a service, and those of them that were refused because no target could take them. */
export type ServiceDemand = readonly [service: string, perSecond: number, refusedPerSecond: number];

interface RouterSettingsValues {
    /** Loopback address of the instance, and of the first instance of its fleet. */
    readonly host: string;
    readonly firstHost: string;
    /** Ports for callers, readiness checks, directory lookups, peers and relayed connections. */
    readonly ports: readonly number[];
    /** host:port. */
    readonly storeAddress: string;
    readonly stopTimeoutSeconds: number;
    /** Time in milliseconds for which keys are accepted without a new confirmation. */
    readonly revocationMs: number;
    /** Limit of the resident memory in MiB. @default 256 */
    readonly memoryMb?: number;
}

/** Builds the settings of a router process of a test fleet. */
export function buildRouterSettings(values: RouterSettingsValues): object {
    const { host, firstHost, storeAddress, stopTimeoutSeconds, revocationMs } = values;
    const [callers, ready, directory, peers, relay] = values.ports;
    return {
        instance: `instance-${host}`,
        dataCentre: "a",
        region: "r",
        dataCentres: { a: "r" },
        callerAddress: `${host}:${callers}`,
        readinessAddress: `${host}:${ready}`,
        directoryAddress: `${host}:${directory}`,
        host,
        peerPort: peers,
        relayPort: relay,
        seedAddresses: [`${firstHost}:1`],
        storeAddress,
        processorShare: 1,
        processorSpeed: 1,
        memoryMb: values.memoryMb ?? 256,
        stopTimeoutSeconds,
        strictRevocation: true,
        revocationMs,
        catchUpMs: 4000,
        targetChangeMs: 4000,
        configurationChangeMs: 4000,
        retryRatio: 4,
        retryWindowSeconds: 10,
        coldFactor: 1,
        coldSlack: 5,
        maxAddressTermSeconds: 5,
    };
}

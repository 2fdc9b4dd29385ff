/** One daemon as the platform lists it. */
export interface Instance {
    readonly name: string;
    readonly dataCentre: string;
    /** Address for callers, host:port. */
    readonly callerAddress: string;
    /** Address for other daemons, host:port. */
    readonly peerAddress: string;
    /** Address for callers' connections that busy peers relay, host:port; absent if it accepts none. */
    readonly relayAddress?: string | undefined;
    /** Address for operators, host:port. */
    readonly operatorAddress: string;
    readonly state: "live" | "leaving";
}

import type { resolveRequest } from "../core/routing/resolveRequest.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import type { ListenAddress } from "../shared/listenAddress.js";
import type { PortBinder } from "../shared/portBinder.js";
import type { CallerExchange } from "./callerExchange.js";
import type { CallerLimits } from "./callerLimits.js";
import type { ErrorBoundary } from "./errorBoundary.js";
import type { LogSink } from "./logSink.js";
import type { RequestHead } from "./requestHead.js";
import type { RequestMemory } from "./requestMemory.js";
import type { WireFormat } from "./wireFormat.js";

type LimitOptions = Parameters<typeof CallerLimits.create>[0];

export interface IngressOptions extends Pick<LimitOptions, "connectionLimits" | "countTargetConnections"> {
    readonly callerAddress: ListenAddress;
    /** Address for connections that peers relay; `undefined` if they relay none. */
    readonly relayAddress: ListenAddress | undefined;
    readonly ports: Pick<PortBinder, "openServer">;
    readonly wire: WireFormat;
    readonly log: LogSink;
    readonly errorBoundary: ErrorBoundary;
    readonly memory: RequestMemory;
    readonly getNow: () => number;
    /** Finds the route and client account of a request, or the reason why it is refused. */
    readonly resolve: (
        head: RequestHead,
        path: string,
        receivedAt: number,
    ) => ReturnType<typeof resolveRequest>;
    /** Returns the client account of a key; empty if it is none that is known, or there is none. */
    readonly findAccount: (key: string | undefined) => string;
    /** Size limits and timeouts for callers; `undefined` until a configuration is known. */
    readonly getLimits: () => RouterConfiguration["limits"] | undefined;
    /** Longest time in milliseconds for which no byte of a body arrives. */
    readonly getMaxBodyIdleMs: () => number;
    readonly isStopping: () => boolean;
    /** Finds an instance that has room for a connection, by an address of its caller; `undefined` if there is none. */
    readonly findPeer: (caller: string) => ListenAddress | undefined;
    readonly serve: (exchange: CallerExchange) => void;
    readonly onRefused: (reason: string) => void;
}

import type { ClusterView } from "../../core/membership/clusterView.js";
import type { CallerRequest } from "../../core/request/callerRequest.js";
import type { FinishedRequest } from "../../core/request/finishedRequest.js";
import type { RequestResult } from "../../core/request/requestResult.js";
import type { ResponseWriter } from "../../core/request/responseWriter.js";
import type { ListenAddress } from "../../shared/listenAddress.js";
import type { OverloadReport } from "../../shared/overloadReport.js";
import type { PortBinder } from "../../shared/portBinder.js";

/** Settings, dependencies and callbacks of the caller server. */
export interface CallerServerOptions {
    /** host:port; port 0 takes a free port. */
    readonly address: string;
    /** host:port for connections that busy peers relay; port 0 takes a free port. @default they relay none */
    readonly relayAddress?: string | undefined;
    /** Finds an instance that has room for a connection, by an address of its caller. @default none has */
    readonly findPeer?: (caller: string) => ListenAddress | undefined;
    readonly ports: Pick<PortBinder, "openServer">;
    /** Data centre of this instance, whose entries are listed first. */
    readonly dataCentre: string;
    /** Time for which a response to `GET /v1/entries` is valid, in milliseconds. */
    readonly entriesTermMs: number;
    /** Limit of the bodies of all requests in flight together, in bytes. @default 40,000,000 */
    readonly maxHeldBytes?: number;
    /** Longest time in milliseconds for which no byte of a body arrives. @default 15,000 */
    readonly bodyIdleTimeoutMs?: number;
    /** Connections that are served, and further ones that are open until they are refused. @default no limit, and 4096 */
    readonly connectionLimits?: { readonly maxServed: number; readonly maxRefused: number; };
    readonly getView: () => ClusterView;
    /** Waits a bounded time for a configuration. If absent, requests without a configuration are refused at once. */
    readonly waitForConfiguration?: () => Promise<void>;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    /** Executes a request; rejects with a RequestError when no complete response was written. */
    readonly execute: (
        request: CallerRequest,
        writer: ResponseWriter,
        signal: AbortSignal,
    ) => Promise<RequestResult>;
    /** Called when more connections come than the process can serve, once a second meanwhile, and at the end. */
    readonly onOverload: (report: OverloadReport) => void;
    readonly onReceived: (request: CallerRequest) => void;
    readonly onFinished: (finished: FinishedRequest) => void;
}

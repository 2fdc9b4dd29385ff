import type { PortBinder } from "../shared/portBinder.js";
import type { ErrorBoundary } from "./errorBoundary.js";
import type { LogSink } from "./logSink.js";
import type { RouterMetrics } from "./routerMetrics.js";
import type { RouterSettings } from "./routerSettings.js";
import type { WireFormat } from "./wireFormat.js";

/** Settings and collaborators of a router process. */
export interface RouterOptions {
    readonly settings: RouterSettings;
    readonly wire: WireFormat;
    readonly log: LogSink;
    readonly metrics: RouterMetrics;
    readonly errorBoundary: ErrorBoundary;
    readonly ports: PortBinder;
}

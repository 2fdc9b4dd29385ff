import type { Server } from "node:http";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";

type Timeouts = Pick<RouterConfiguration["limits"], "idleTimeoutMs" | "headerTimeoutMs">;

/** Callers reuse idle connections for up to four fifths of the configured timeout; closing later avoids a race. */
const IDLE_MARGIN_MS = 5000;
/** Callers send their headers within the configured timeout, but a delayed event loop reads them later. */
const HEADERS_MARGIN_MS = 7000;
const DEFAULTS: Timeouts = { idleTimeoutMs: 15_000, headerTimeoutMs: 3000 };

/** Sets the timeouts of a server for callers; without a configuration, the default ones. */
export function setCallerTimeouts(
    server: Server,
    { idleTimeoutMs, headerTimeoutMs }: Timeouts = DEFAULTS,
): void {
    server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
    server.headersTimeout = headerTimeoutMs + HEADERS_MARGIN_MS;
}

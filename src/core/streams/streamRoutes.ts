import { hashBytes } from "../../shared/hashBytes.js";
import { findRoute } from "../routing/findRoute.js";
import { pickService } from "../routing/pickService.js";
import type { RouterConfiguration } from "../routing/routerConfiguration.js";
import type { RouteRule } from "../routing/routeRule.js";
import type { StreamPlace } from "./streamPlace.js";

/** Where the streams of a place go. */
interface StreamServices {
    readonly services: readonly string[];
    /** False if callers cannot take these streams up, so that no instance records where they begin. */
    readonly isResumable: boolean;
}

/** Targets that have left the list go on serving, at times for many seconds. */
const LINGER_MS = 10_000;
const NO_SERVICES: StreamServices = { services: [], isResumable: false };

/** Routes of streams, as one version of the configuration states them. */
export class StreamRoutes {
    /** Hosts without a route of streams are left out. */
    readonly #routesByHost: RouterConfiguration["routesByHost"];
    /** Number of routes that are kept. */
    readonly size: number;
    /** Digest of what decides where streams go. */
    readonly digest: string;
    /** Time in milliseconds after which a target that has left the list, and the streams it began, have ended. */
    readonly windowMs: number;
    /** The same for all streams, also those that cannot be taken up while these routes are in force. */
    readonly longestMs: number;
    /** Services at which streams begin that may be taken up. */
    readonly services: readonly string[];

    private constructor(configuration: RouterConfiguration | undefined) {
        const routesByHost = configuration?.routesByHost ?? new Map<string, readonly RouteRule[]>();
        const routes = [...routesByHost.values()].flat();
        this.#routesByHost = new Map([...routesByHost].filter(([, rules]) => rules.some(isStream)));
        this.size = [...this.#routesByHost.values()].reduce((sum, rules) => sum + rules.length, 0);
        const streams = routes.filter(isStream);
        const resumable = streams.filter(({ isResumable }) => isResumable);
        this.digest = hashBytes(routes.map(formatRoute).sort().join("\n"), undefined);
        this.windowMs = LINGER_MS + Math.max(0, ...resumable.map(({ timeoutMs }) => timeoutMs));
        this.longestMs = LINGER_MS + Math.max(0, ...streams.map(({ timeoutMs }) => timeoutMs));
        this.services = [...new Set(resumable.flatMap(listServices))];
    }

    /** Creates the routes of a configuration; there are none before the first configuration. */
    static create(configuration?: RouterConfiguration): StreamRoutes {
        return new StreamRoutes(configuration);
    }

    /** Returns the services to which the streams of a place may go. */
    findServices({ host, path, position }: StreamPlace): StreamServices {
        const route = findRoute({ routesByHost: this.#routesByHost }, host, path);
        if (route?.kind !== "stream") {
            return NO_SERVICES;
        }
        const services = position === undefined ? listServices(route) : [pickService(route, position)];
        return { services, isResumable: route.isResumable };
    }
}

function isStream({ kind }: RouteRule): boolean {
    return kind === "stream";
}

function listServices({ backends }: RouteRule): readonly string[] {
    return backends.filter(({ weight }) => weight > 0).map(({ service }) => service);
}

/** A route of another kind matters, too: it takes paths away from a route of streams. */
function formatRoute({ host, pathPrefix, kind, isResumable, backends }: RouteRule): string {
    const streams = kind === "stream"
        ? [isResumable, backends.map(({ service, weight }) => [service, weight])]
        : [];
    return JSON.stringify([host, pathPrefix, ...streams]);
}

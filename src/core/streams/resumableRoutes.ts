import { hashBytes } from "../../shared/hashBytes.js";
import type { RouterConfiguration } from "../routing/routerConfiguration.js";

/** Targets that have left the list go on serving, at times for many seconds. */
const LINGER_MS = 10_000;

/** Routes whose streams callers may take up, as one version of the configuration states them. */
export class ResumableRoutes {
    /** Digest of the services and weights of each host and path prefix. */
    readonly digest: string;
    /** Time in milliseconds after which a target that has left the list, and the streams it began, have ended. */
    readonly windowMs: number;
    /** Services at which streams begin that may be taken up. */
    readonly services: readonly string[];
    readonly #split: ReadonlySet<string>;

    private constructor(configuration: RouterConfiguration | undefined) {
        const routes = [...configuration?.routesByHost.values() ?? []].flat()
            .filter(route => route.isResumable);
        const used = routes.map(route => ({
            ...route,
            backends: route.backends.filter(({ weight }) => weight > 0),
        }));
        const texts = used.map(({ host, pathPrefix, backends }) =>
            JSON.stringify([host, pathPrefix, backends.map(({ service, weight }) => [service, weight])])
        );
        this.digest = hashBytes(texts.sort().join("\n"), undefined);
        this.windowMs = LINGER_MS + Math.max(0, ...routes.map(({ timeoutMs }) => timeoutMs));
        const listServices = (isSplit: boolean): readonly string[] =>
            used.filter(({ backends }) => (backends.length > 1) === isSplit)
                .flatMap(({ backends }) => backends.map(({ service }) => service));
        this.#split = new Set(listServices(true));
        this.services = [...new Set([...listServices(false), ...this.#split])];
    }

    /** Creates the routes of a configuration; there are none before the first configuration. */
    static create(configuration?: RouterConfiguration): ResumableRoutes {
        return new ResumableRoutes(configuration);
    }

    /** Returns whether a route divides its streams among a service and others. */
    isSplit(service: string): boolean {
        return this.#split.has(service);
    }
}

import type { RouterConfiguration } from "../routing/routerConfiguration.js";
import type { StreamPlace } from "./streamPlace.js";
import { StreamRoutes } from "./streamRoutes.js";

interface FormerRoutes {
    readonly routes: StreamRoutes;
    readonly endedAt: number;
    /** When the last of their streams has ended. */
    readonly expiresAt: number;
}

/** Routes change about every four seconds, and streams last for some tens of seconds. */
const MAX_FORMER = 64;
/** Routes of all former versions together: a configuration of 1 MB has some thousands. */
const MAX_FORMER_ROUTES = 20_000;

/** Routes that were in force while streams began that may still be taken up. Times are monotonic milliseconds. */
export class RouteHistory {
    #current = StreamRoutes.create();
    #former: readonly FormerRoutes[] = [];
    #changedAt = Number.NEGATIVE_INFINITY;
    #coveredSince = Number.POSITIVE_INFINITY;

    /** Creates a history without routes. */
    static create(): RouteHistory {
        return new RouteHistory();
    }

    /** Routes in force. */
    get current(): StreamRoutes {
        return this.#current;
    }

    /** Since when all routes are known. */
    get coveredSince(): number {
        return this.#coveredSince;
    }

    /** Records the configuration in force. Returns whether streams may go elsewhere than before. */
    observe(configuration: RouterConfiguration, now: number): boolean {
        const routes = StreamRoutes.create(configuration);
        const isChanged = routes.digest !== this.#current.digest;
        if (isChanged) {
            const former = {
                routes: this.#current,
                endedAt: now,
                expiresAt: now + Math.max(this.#current.longestMs, routes.longestMs),
            };
            this.#setFormer([...this.#former.filter(({ expiresAt }) => expiresAt > now), former]);
            this.#changedAt = now;
        }
        this.#current = routes;
        return isChanged;
    }

    /** Forgets what was known of the time before: routes may have changed back and forth unseen. */
    reset(now: number): void {
        this.#coveredSince = now;
    }

    /** Returns for how long the current routes have been in force without a change, in milliseconds. */
    getStableMs(now: number): number {
        return Math.max(0, now - Math.max(this.#changedAt, this.#coveredSince));
    }

    /** Adds that a peer has seen routes in force for a time in milliseconds until now. */
    join(digest: string, stableMs: number, now: number): void {
        if (digest === this.#current.digest) {
            this.#coveredSince = Math.min(this.#coveredSince, now - stableMs);
        }
    }

    /**
     * Returns the service to which all streams of a place went that may still be taken up; `undefined` if there may be others.
     *
     * @param since When the first of these streams began.
     */
    findSoleService(place: StreamPlace, since: number, now: number): string | undefined {
        const { services: [service, ...others], isResumable } = this.#current.findServices(place);
        if (service === undefined || others.length > 0 || !isResumable || this.#coveredSince > since) {
            return undefined;
        }
        const isOther = (former: ReturnType<StreamRoutes["findServices"]>): boolean =>
            former.services.length > 0
            && (!former.isResumable || former.services.some(other => other !== service));
        return this.#former.some(({ routes, expiresAt }) =>
                expiresAt > now && isOther(routes.findServices(place))
            )
            ? undefined
            : service;
    }

    /** Keeps the latest former routes that are within the limits; what was before them is not known any more. */
    #setFormer(former: readonly FormerRoutes[]): void {
        let routes = 0;
        const firstKept = former.findLastIndex(({ routes: { size } }, i) => {
            routes += size;
            return former.length - i > MAX_FORMER || routes > MAX_FORMER_ROUTES;
        }) + 1;
        const dropped = former[firstKept - 1];
        if (dropped) {
            this.#coveredSince = Math.max(this.#coveredSince, dropped.endedAt);
        }
        this.#former = former.slice(firstKept);
    }
}

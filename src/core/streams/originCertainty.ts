import type { RouterConfiguration } from "../routing/routerConfiguration.js";
import type { TargetDescriptor } from "../routing/targetDescriptor.js";
import { RouteHistory } from "./routeHistory.js";
import type { StreamOrigin } from "./streamOrigin.js";
import type { StreamPlace } from "./streamPlace.js";
import type { ToldHistory } from "./toldHistory.js";
import { VersionHistory } from "./versionHistory.js";

/** What the certainty of a service's origins depends on. */
interface CertaintyInputs {
    readonly isCertain: boolean;
    readonly versions: readonly (string | undefined)[];
    readonly confirmedAgeMs: number;
    readonly coveredMs: number;
    readonly routesCoveredMs: number;
}

/**
 * Decides whether every stream of a service that may still be taken up began at the same version, so that no instance has
 * to remember where. Times are monotonic milliseconds.
 *
 * @remarks An instance is certain of a version V only if V alone was listed within the window, and its list was confirmed
 * within `maxDelayMs`. Suppose that a stream began before that at another version U, at an instance that may be cut off.
 * That instance had read U at least `maxDelayMs` earlier, so that U was registered before the certain instance's last
 * confirmation and was listed there, too, unless U had left before the window. But then the targets of U have ended, and
 * the time-outs of their streams have passed. So U is within the window, and the instance is not certain. What does not
 * wait is told to all instances (`alone`), or was listed alone or first when an instance started.
 *
 * The list says nothing of routes, and routes nothing of versions: a change of the routes puts only those streams in doubt
 * whose place has led to another service within the window.
 */
export class OriginCertainty {
    readonly #maxDelayMs: number;
    readonly #versions: VersionHistory;
    readonly #routes = RouteHistory.create();
    #hasRoutes = false;
    /** Longer window of an earlier configuration, whose streams may still be served. */
    #formerWindow = { ms: 0, until: Number.NEGATIVE_INFINITY };
    /** Start of the window when longer time-outs came into force: streams of the time before have the shorter ones. */
    #windowFrom = Number.NEGATIVE_INFINITY;
    #confirmedAt: number | undefined;
    /** Since when this instance itself has followed the list and the routes without a gap. */
    #followedSince = Number.POSITIVE_INFINITY;
    /** Since when it knows all versions that were listed, with what a peer has told of the time before. */
    #coveredSince = Number.POSITIVE_INFINITY;

    private constructor(maxDelayMs: number) {
        this.#maxDelayMs = maxDelayMs;
        this.#versions = VersionHistory.create({ newVersionDelayMs: maxDelayMs });
    }

    /**
     * Creates a state that has seen no list.
     *
     * @param maxDelayMs Longest age in milliseconds of a list that is believed, and the time for which new versions wait.
     */
    static create(maxDelayMs: number): OriginCertainty {
        return new OriginCertainty(maxDelayMs);
    }

    /** Services at which streams begin that may be taken up. */
    get services(): readonly string[] {
        return this.#routes.current.services;
    }

    /** Time of the newest confirmation of the list; `undefined` if there was none. */
    get confirmedAt(): number | undefined {
        return this.#confirmedAt;
    }

    /** Records the complete list of targets. */
    observeTargets(targets: readonly TargetDescriptor[], now: number): void {
        const windowMs = this.getWindowMs(now);
        const knownUntil = this.#confirmedAt ?? Number.NEGATIVE_INFINITY;
        const isFirst = now - knownUntil > windowMs - 2 * this.#maxDelayMs;
        this.#versions.observe(targets, { now, windowMs, isFirst });
    }

    /** Records the configuration in force. Returns whether streams may go elsewhere than before. */
    observeConfiguration(configuration: RouterConfiguration, now: number): boolean {
        const formerMs = this.#routes.current.windowMs;
        const ms = this.getWindowMs(now);
        const from = this.#getWindowFrom(now);
        const isChanged = this.#routes.observe(configuration, now);
        const { windowMs } = this.#routes.current;
        if (windowMs < formerMs) {
            this.#formerWindow = { ms, until: now + ms };
        }
        else if (windowMs > formerMs && this.#hasRoutes) {
            this.#windowFrom = from;
        }
        this.#hasRoutes = true;
        return isChanged;
    }

    /** Records that the list was the newest at a time before now. A gap between two confirmations may hide a version. */
    recordConfirmation(at: number, now: number): void {
        if (this.#confirmedAt === undefined || at - this.#confirmedAt > this.#maxDelayMs) {
            this.#followedSince = now;
            this.#coveredSince = now;
            this.#routes.reset(now);
            this.#windowFrom = Number.NEGATIVE_INFINITY;
        }
        this.#confirmedAt = Math.max(at, this.#confirmedAt ?? at);
    }

    /** Time in milliseconds after which a stream, and a target that has left the list, have ended. */
    getWindowMs(now: number): number {
        const { ms, until } = this.#formerWindow;
        return Math.max(this.#routes.current.windowMs, until > now ? ms : 0);
    }

    /** Returns whether new streams may begin at a version of a service. */
    findStanding(service: string, version: string | undefined, now: number): "established" | "alone" | "new" {
        return this.#versions.findStanding(service, version, now);
    }

    /** Returns the version at which all streams of a service began; `undefined` if that is not certain. */
    findSoleVersion(service: string, now: number): { readonly version: string | undefined; } | undefined {
        if (!this.#hasCoverage(now)) {
            return undefined;
        }
        const [version, other] = this.#versions.listRecent(service, this.#getWindowFrom(now));
        return version?.isListed && !other ? { version: version.version } : undefined;
    }

    /** Returns where all streams of a place began; `undefined` if that is not certain. */
    findSoleOrigin(place: StreamPlace, now: number): StreamOrigin | undefined {
        const service = this.#routes.findSoleService(place, this.#getWindowFrom(now), now);
        const version = service === undefined ? undefined : this.findSoleVersion(service, now)?.version;
        return service === undefined || version === undefined ? undefined : { service, version };
    }

    /** Returns whether it is certain at any instance in touch that the streams of a place began at a service. */
    isCertain(place: StreamPlace, service: string, now: number): boolean {
        return this.#routes.findSoleService(place, this.#getWindowFrom(now), now) === service
            && this.findSoleVersion(service, now) !== undefined;
    }

    /** Finds the service and version with a digest among those that were listed lately. */
    findOrigin(digest: string): StreamOrigin | undefined {
        return this.#versions.findOrigin(digest);
    }

    /** Describes what the certainty of a service depends on, whatever route leads to it. */
    describe(service: string, now: number): CertaintyInputs {
        const from = this.#getWindowFrom(now);
        return {
            isCertain: this.#routes.coveredSince <= from && this.findSoleVersion(service, now) !== undefined,
            versions: this.#versions.listRecent(service, from).map(({ version }) => version),
            confirmedAgeMs: Math.round(now - (this.#confirmedAt ?? 0)),
            coveredMs: Math.max(0, Math.round(now - this.#coveredSince)),
            routesCoveredMs: Math.max(0, Math.round(now - this.#routes.coveredSince)),
        };
    }

    /** Adds a version that a peer has seen. */
    addVersion(service: string, version: string | undefined, now: number): void {
        this.#versions.add(service, version, now);
    }

    /** Returns whether the list is followed, but not for long enough, so that peers should be asked. */
    isHistoryNeeded(now: number): boolean {
        const isCovered = this.#hasCoverage(now) && this.#routes.coveredSince <= this.#getWindowFrom(now);
        return this.#isFresh(now) && !isCovered;
    }

    /** Builds what a peer that has just started is told; `undefined` if this instance does not know enough itself. */
    buildHistory(now: number): ToldHistory | undefined {
        if (!this.#hasCoverage(now) || this.#confirmedAt === undefined) {
            return undefined;
        }
        const since = this.#getWindowFrom(now);
        return {
            confirmedAgeMs: Math.ceil(now - this.#confirmedAt),
            coveredMs: Math.floor(now - this.#coveredSince),
            routes: this.#routes.current.digest,
            routesMs: Math.floor(this.#routes.getStableMs(now)),
            versions: this.services.flatMap(service =>
                this.#versions.listRecent(service, since).map(({ version, isListed, lastListedAt }) =>
                    [service, version ?? null, isListed ? 0 : Math.floor(now - lastListedAt)] as const
                )
            ),
        };
    }

    /**
     * Adds what a peer has told.
     *
     * @param askedAt When this instance asked, which is before the peer's answer.
     */
    joinHistory(history: ToldHistory, askedAt: number, now: number): void {
        const { confirmedAgeMs, coveredMs, routes, routesMs, versions } = history;
        for (const [service, version, ageMs] of versions) {
            this.#versions.add(service, version ?? undefined, now - ageMs);
        }
        // Without an overlap, a version may have come and gone between what the peer and this instance have seen.
        if (askedAt - confirmedAgeMs >= this.#followedSince) {
            this.#coveredSince = Math.min(this.#coveredSince, now - coveredMs);
            this.#routes.join(routes, routesMs, now);
        }
    }

    #isFresh(now: number): boolean {
        return this.#confirmedAt !== undefined && now - this.#confirmedAt <= this.#maxDelayMs;
    }

    #hasCoverage(now: number): boolean {
        return this.#isFresh(now) && this.#coveredSince <= this.#getWindowFrom(now);
    }

    /** Time at which the first streams began that may still be taken up. */
    #getWindowFrom(now: number): number {
        return Math.max(this.#windowFrom, now - this.getWindowMs(now));
    }
}

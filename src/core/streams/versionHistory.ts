import type { TargetDescriptor } from "../routing/targetDescriptor.js";
import { hashOrigin } from "./hashOrigin.js";
import type { StreamOrigin } from "./streamOrigin.js";

type Version = TargetDescriptor["version"];

interface VersionState {
    /** Digest of the service and the version; `undefined` without a version. */
    readonly digest: string | undefined;
    /** Monotonic time in milliseconds at which this instance or a peer last saw the version listed. */
    readonly lastListedAt: number;
    /** The same of this instance alone; `undefined` if only a peer has seen the version. */
    readonly lastReadAt: number | undefined;
    readonly isListed: boolean;
    readonly isReady: boolean;
    /** Monotonic time in milliseconds from which streams may begin; `undefined` if only a peer has seen the version. */
    readonly usableAt: number | undefined;
}

interface ListedVersion {
    readonly isReady: boolean;
    readonly startedAtMs: number;
}

interface VersionHistoryOptions {
    /** Time in milliseconds for which new streams wait at a version that appears beside another one. */
    readonly newVersionDelayMs: number;
}

/** Limit of versions that peers may add; far more than a service has while streams last. */
const MAX_VERSIONS = 1000;

/**
 * Versions of each service that were listed lately, and from when new streams may begin at them. Times are monotonic
 * milliseconds. A target without a version counts as one of a version of its own.
 */
export class VersionHistory {
    readonly #options: VersionHistoryOptions;
    readonly #services = new Map<string, Map<Version, VersionState>>();

    private constructor(options: VersionHistoryOptions) {
        this.#options = options;
    }

    /** Creates a history without versions. */
    static create(options: VersionHistoryOptions): VersionHistory {
        return new VersionHistory(options);
    }

    /**
     * Records the complete list of targets.
     *
     * @param windowMs Time in milliseconds for which a version matters after it was last listed.
     * @param isFirst True if what was listed before is not known: the version with the earliest start then counts as
     * established.
     */
    observe(
        targets: readonly TargetDescriptor[],
        context: { readonly now: number; readonly windowMs: number; readonly isFirst: boolean; },
    ): void {
        const listed = collectVersions(targets);
        for (const service of new Set([...this.#services.keys(), ...listed.keys()])) {
            const known = this.#services.get(service) ?? new Map<Version, VersionState>();
            this.#observeService(
                service,
                known,
                listed.get(service) ?? new Map<Version, ListedVersion>(),
                context,
            );
            if (known.size > 0) {
                this.#services.set(service, known);
            }
            else {
                this.#services.delete(service);
            }
        }
    }

    /** Adds a version that a peer has seen, so that it is not taken for absent. */
    add(service: string, version: Version, lastListedAt: number): void {
        const known = this.#services.get(service) ?? new Map<Version, VersionState>();
        const state = known.get(version);
        if (!state && this.#countVersions() >= MAX_VERSIONS) {
            return;
        }
        known.set(version, {
            digest: version === undefined ? undefined : hashOrigin({ service, version }),
            lastReadAt: undefined,
            isListed: false,
            isReady: false,
            usableAt: undefined,
            ...state,
            lastListedAt: Math.max(lastListedAt, state?.lastListedAt ?? lastListedAt),
        });
        this.#services.set(service, known);
    }

    /** Lists the versions of a service that are listed or were listed at or after a time. */
    listRecent(
        service: string,
        since: number,
    ): readonly { readonly version: Version; readonly isListed: boolean; readonly lastListedAt: number; }[] {
        return [...this.#services.get(service) ?? []]
            .filter(([, { isListed, lastListedAt }]) => isListed || lastListedAt >= since)
            .map(([version, { isListed, lastListedAt }]) => ({ version, isListed, lastListedAt }));
    }

    /** Finds the service and version with a digest. */
    findOrigin(digest: string): StreamOrigin | undefined {
        for (const [service, known] of this.#services) {
            for (const [version, state] of known) {
                if (version !== undefined && state.digest === digest) {
                    return { service, version };
                }
            }
        }
        return undefined;
    }

    /**
     * Returns whether new streams may begin at a version: `established` if all instances know of it, `alone` if it is
     * new, but no established one has a target left, and `new` if its streams have to wait.
     */
    findStanding(service: string, version: Version, now: number): "established" | "alone" | "new" {
        const known = this.#services.get(service);
        const isUsable = ({ usableAt }: VersionState): boolean => usableAt !== undefined && usableAt <= now;
        const state = known?.get(version);
        if (!known || !state?.isListed) {
            return "new";
        }
        if (isUsable(state)) {
            return "established";
        }
        const hasOther = [...known.values()].some(other => other.isReady && isUsable(other));
        return hasOther ? "new" : "alone";
    }

    #observeService(
        service: string,
        known: Map<Version, VersionState>,
        listed: ReadonlyMap<Version, ListedVersion>,
        { now, windowMs, isFirst }: { now: number; windowMs: number; isFirst: boolean; },
    ): void {
        const { newVersionDelayMs } = this.#options;
        const keptSince = now - windowMs - newVersionDelayMs;
        for (const [version, state] of known) {
            if (!state.isListed && state.lastListedAt < keptSince) {
                known.delete(version);
            }
        }
        const earliest = isFirst || known.size === 0 ? findEarliest(listed) : undefined;
        // Instances see a change at different times, so that another one may have forgotten the version earlier.
        const resumableSince = now - windowMs + 2 * newVersionDelayMs;
        for (const [version, { isReady }] of listed) {
            const state = known.get(version);
            const isKnown = !isFirst && state !== undefined
                && (state.isListed || (state.lastReadAt ?? Number.NEGATIVE_INFINITY) >= resumableSince);
            const usableAt = (isKnown ? state.usableAt : undefined)
                ?? (earliest?.version === version ? now : now + newVersionDelayMs);
            const digest = state?.digest
                ?? (version === undefined ? undefined : hashOrigin({ service, version }));
            known.set(version, {
                digest,
                isListed: true,
                isReady,
                lastListedAt: now,
                lastReadAt: now,
                usableAt,
            });
        }
        for (const [version, state] of known) {
            if (state.isListed && !listed.has(version)) {
                known.set(version, {
                    ...state,
                    isListed: false,
                    isReady: false,
                    lastListedAt: now,
                    lastReadAt: now,
                });
            }
        }
    }

    #countVersions(): number {
        return [...this.#services.values()].reduce((sum, known) => sum + known.size, 0);
    }
}

function collectVersions(
    targets: readonly TargetDescriptor[],
): ReadonlyMap<string, ReadonlyMap<Version, ListedVersion>> {
    const services = new Map<string, Map<Version, ListedVersion>>();
    for (const { service, version, isDraining, startedAtMs } of targets) {
        const versions = services.get(service) ?? new Map<Version, ListedVersion>();
        const known = versions.get(version);
        versions.set(version, {
            isReady: !isDraining || known?.isReady === true,
            // A target whose start is unknown says nothing about the age of its version.
            startedAtMs: Math.min(
                startedAtMs > 0 ? startedAtMs : Number.POSITIVE_INFINITY,
                known?.startedAtMs ?? Number.POSITIVE_INFINITY,
            ),
        });
        services.set(service, versions);
    }
    return services;
}

function findEarliest(
    listed: ReadonlyMap<Version, ListedVersion>,
): { readonly version: Version; } | undefined {
    const [earliest] = [...listed].sort(([, a], [, b]) =>
        a.startedAtMs === b.startedAtMs ? 0 : a.startedAtMs - b.startedAtMs
    );
    return earliest && { version: earliest[0] };
}

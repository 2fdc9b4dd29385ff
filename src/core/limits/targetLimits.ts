import type { LimitNews } from "./limitNews.js";
import type { LimitStatement } from "./limitStatement.js";
import type { ReportScope } from "./reportScope.js";

interface KnownLimit {
    /** `undefined` once the limit is lifted. */
    readonly perSecond: number | undefined;
    /** Monotonic time in milliseconds of the newest response that confirms it. */
    readonly observedAt: number;
}

const SCOPES: readonly ReportScope[] = ["instance", "local-summary", "data-centre"];
/** A target that takes nothing gets one request in four seconds, whose response tells when the limit is lifted. */
const MIN_PER_SECOND = 0.25;
/** Bounds the work of dividing a limit; no target has as many slots. */
const MAX_PER_SECOND = 1000;
/** Reports of one scope in which a change is repeated, so that a lost datagram does not hide it. */
const NEWS_REPEATS = 4;
/** Unchanged limits in each report, in rotation, for instances that have missed the change. */
const ROTATED_LIMITS = 6;

/** Request limits of targets, from responses of this instance and from reports of its peers; the newest one counts. */
export class TargetLimits {
    readonly #limits = new Map<string, KnownLimit>();
    /** Number of reports of each scope in which a change is still to be repeated, by target. */
    readonly #news = new Map<ReportScope, Map<string, number>>(SCOPES.map(scope => [scope, new Map()]));
    #rotation = 0;

    /** Creates an empty table. */
    static create(): TargetLimits {
        return new TargetLimits();
    }

    /** Returns whether there is nothing to tell in reports of a scope. */
    isIdle(scope: ReportScope): boolean {
        return this.count() === 0 && this.#news.get(scope)?.size === 0;
    }

    /** Returns the number of targets with a limit. */
    count(): number {
        return this.listLimited().length;
    }

    /** Returns the limit of a target in requests per second, or `undefined`. */
    get(target: string): number | undefined {
        return this.#limits.get(target)?.perSecond;
    }

    /** Lists the targets with a limit. */
    listLimited(): readonly string[] {
        return [...this.#limits].flatMap(([id, { perSecond }]) => perSecond === undefined ? [] : [id]);
    }

    /**
     * Applies what a response says. A response without a limit lifts it only if its request was sent after the limit was
     * last named, since responses on several connections arrive in any order.
     *
     * @param sentAt Monotonic time in milliseconds at which the request was sent.
     *
     * @returns True if the limit has changed.
     */
    observe(target: string, statement: LimitStatement, sentAt: number, now: number): boolean {
        const known = this.#limits.get(target);
        if (statement.kind === "named") {
            const perSecond = limitToRange(statement.perSecond);
            return this.#set(target, { perSecond, observedAt: now });
        }
        if (statement.kind === "invalid" || known?.perSecond === undefined || sentAt < known.observedAt) {
            return false;
        }
        return this.#set(target, { perSecond: undefined, observedAt: now });
    }

    /** Adopts what a peer knows, as far as it is newer. Returns the targets whose limit has changed. */
    adopt(news: readonly LimitNews[], now: number): readonly string[] {
        return news.flatMap(([target, limit, ageMs]) => {
            const perSecond = limit === null ? undefined : limitToRange(limit);
            const observedAt = now - ageMs;
            const known = this.#limits.get(target);
            if (known && known.observedAt >= observedAt) {
                if (known.perSecond !== perSecond) {
                    this.#pushNews(target);
                }
                return [];
            }
            if (!known && perSecond === undefined) {
                return [];
            }
            return this.#set(target, { perSecond, observedAt }) ? [target] : [];
        });
    }

    /** Takes what the next report of a scope tells: changes, and some of the limits that have not changed. */
    takeNews(scope: ReportScope, now: number): readonly LimitNews[] {
        const news = this.#news.get(scope) ?? new Map<string, number>();
        const changed = [...news.keys()];
        for (const [target, repeats] of news) {
            if (repeats <= 1) {
                news.delete(target);
            }
            else {
                news.set(target, repeats - 1);
            }
        }
        const limited = this.listLimited();
        const rotated = limited.length <= ROTATED_LIMITS
            ? limited
            : Array.from(
                { length: ROTATED_LIMITS },
                (_, i) => limited[(this.#rotation + i) % limited.length] ?? "",
            );
        this.#rotation += ROTATED_LIMITS;
        return [...new Set([...changed, ...rotated])].flatMap(target => {
            const known = this.#limits.get(target);
            return known
                ? [[target, known.perSecond ?? null, Math.round(now - known.observedAt)] as const]
                : [];
        });
    }

    /** Forgets targets that are no longer listed. */
    keep(targets: ReadonlySet<string>): void {
        for (const target of this.#limits.keys()) {
            if (!targets.has(target)) {
                this.#limits.delete(target);
                this.#news.forEach(news => news.delete(target));
            }
        }
    }

    #set(target: string, limit: KnownLimit): boolean {
        const isChanged = this.#limits.get(target)?.perSecond !== limit.perSecond;
        this.#limits.set(target, limit);
        if (isChanged) {
            this.#pushNews(target);
        }
        return isChanged;
    }

    #pushNews(target: string): void {
        this.#news.forEach(news => news.set(target, NEWS_REPEATS));
    }
}

function limitToRange(perSecond: number): number {
    return Math.min(MAX_PER_SECOND, Math.max(MIN_PER_SECOND, perSecond));
}

import type { AccountUsage } from "./accountUsage.js";
import { estimateTarget } from "./estimateTarget.js";
import { pickHomeTarget } from "./pickHomeTarget.js";
import type { RoutedRequest } from "./routedRequest.js";
import type { RoutedService } from "./routedService.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { TargetEntry } from "./targetEntry.js";
import type { TargetGrant } from "./targetGrant.js";
import { TargetState } from "./targetState.js";
import type { WaitingRequest } from "./waitingRequest.js";

interface ServiceSchedulerOptions {
    readonly service: RoutedService;
    readonly settings: SchedulerSettings;
    readonly usage: AccountUsage;
    /** Tokens a second that all engines process together; 0 if unknown. */
    readonly getTokensPerSecond: () => number;
    /** Rate and burst at which this instance may send to a cold target; `undefined` if it must not. */
    readonly getColdShare: (entry: TargetEntry, limitPerSecond: number) => ColdShare | undefined;
}

interface ColdShare {
    readonly perSecond: number;
    readonly burst: number;
}

interface PromptHomes {
    readonly home?: TargetState | undefined;
    readonly remote?: TargetState | undefined;
}

interface Candidate {
    readonly target: TargetState;
    readonly score: number;
    readonly grant: TargetGrant;
    readonly coldShare: ColdShare | undefined;
}

/** Cost in milliseconds of a target that fails all its requests, so that a faulty one is picked last. */
const FAILURE_COST_MS = 2000;
/** A generated token costs an engine about as much as this many prompt tokens. */
const OUTPUT_TOKEN_COST = 2;
/** Waiting requests of one service above which new ones are refused, to bound memory. */
const MAX_WAITING = 2000;
/** The stated rate counts each prompt token as read; engines take more, since about a third of them is kept. */
const KEPT_FACTOR = 1.4;
/** An account gets at most this many times its share while others want more than theirs. */
const MAX_EXCESS = 1.8;
/** A request beyond its account's share waits for this part of its objective; longer waits are billed as late refusals. */
const OVER_SHARE_WAIT = 0.12;
/** Time in milliseconds that an idle target takes to begin its answer. */
const MIN_ANSWER_MS = 40;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 3000;
/**
 * Cost of a target other than the home of a prompt: a constant, and one for each shared token that has to be moved there.
 * Reading a shared part again is billed, and moving it takes about as long as reading it.
 */
const MOVE_COST_MS = 80;
const MOVE_COST_MS_PER_TOKEN = 0.05;

/** Decides which waiting request of a service goes to which target, and which is refused. */
export class ServiceScheduler {
    readonly #options: ServiceSchedulerOptions;
    #service: RoutedService;
    readonly #targets = new Map<string, TargetState>();
    #evacuated: ReadonlySet<string> = new Set();
    #waiting: WaitingRequest[] = [];

    private constructor(options: ServiceSchedulerOptions) {
        this.#options = options;
        this.#service = options.service;
    }

    /** Creates a scheduler without targets. */
    static create(options: ServiceSchedulerOptions): ServiceScheduler {
        return new ServiceScheduler(options);
    }

    /** Targets by identifier. */
    get targets(): ReadonlyMap<string, TargetState> {
        return this.#targets;
    }

    /** Number of requests that wait for a target. */
    get waitingCount(): number {
        return this.#waiting.length;
    }

    /** Replaces the description of the service. */
    setService(service: RoutedService): void {
        this.#service = service;
    }

    /** Replaces the list of targets and of data centres that must get no requests. */
    setTargets(entries: readonly TargetEntry[], evacuated: ReadonlySet<string>, now: number): void {
        this.#evacuated = evacuated;
        const listed = new Set(entries.map(entry => entry.id));
        for (const id of this.#targets.keys()) {
            if (!listed.has(id)) {
                this.#targets.delete(id);
            }
        }
        for (const entry of entries) {
            const known = this.#targets.get(entry.id);
            if (known?.entry.startedAtMs === entry.startedAtMs) {
                known.entry = entry;
                continue;
            }
            this.#targets.set(entry.id, TargetState.create(entry, this.#service.engine?.memoryTokens, now));
        }
        this.advance(now);
    }

    /** Adds a request; it is granted a target, refused, or waits until one of both happens. */
    enqueue(waiting: WaitingRequest, now: number): void {
        if (this.#waiting.length >= MAX_WAITING && !waiting.isResume) {
            waiting.onRefuse("overloaded", MAX_RETRY_AFTER_MS);
            return;
        }
        if (!waiting.isResume) {
            this.#options.usage.addAsked(waiting.request.account, computeTokens(waiting.request), now);
        }
        this.#waiting.push(waiting);
        this.advance(now);
    }

    /** Removes a request whose caller has left. */
    withdraw(waiting: WaitingRequest): void {
        this.#waiting = this.#waiting.filter(other => other !== waiting);
    }

    /** Records the first event of an answer: the target has read the prompt. */
    start(grant: TargetGrant, now: number): void {
        grant.target.pendingTokens -= grant.missingTokens;
        grant.target.recordFirstEvent(now - grant.grantedAt, grant.expectedMs);
        this.advance(now);
    }

    /** Gives a grant back. `wasStarted` tells whether `start` was called. */
    release(grant: TargetGrant, wasStarted: boolean, now: number): void {
        grant.target.inFlight -= 1;
        if (!wasStarted) {
            grant.target.pendingTokens -= grant.missingTokens;
        }
        this.advance(now);
    }

    /** Grants targets to waiting requests in fair order and refuses those that can no longer be on time. */
    advance(now: number): void {
        if (this.#waiting.length === 0) {
            return;
        }
        const share = this.#computeShare(now);
        const ordered = this.#sortWaiting(now);
        const left: WaitingRequest[] = [];
        const granted: (readonly [WaitingRequest, TargetGrant])[] = [];
        const refused: (readonly [WaitingRequest, "no-target" | "overloaded"])[] = [];
        for (const waiting of ordered) {
            const { request } = waiting;
            const excess = this.#options.usage.getGranted(request.account, now) / share;
            const isOverShare = excess > 1;
            const candidate = excess > MAX_EXCESS ? undefined : this.#pickTarget(waiting, isOverShare, now);
            if (candidate) {
                granted.push([waiting, this.#reserve(request, candidate, now)]);
                continue;
            }
            if (waiting.isResume || now < this.#getWaitDeadline(request, isOverShare)) {
                left.push(waiting);
                continue;
            }
            refused.push([waiting, this.#targets.size === 0 ? "no-target" : "overloaded"]);
        }
        this.#waiting = left;
        granted.forEach(([waiting, grant]) => waiting.onGrant(grant));
        refused.forEach(([waiting, reason]) => waiting.onRefuse(reason, this.#estimateRetryAfter()));
    }

    /** Tokens that a client account may be granted before its requests wait for targets without a queue. */
    #computeShare(now: number): number {
        const { usage, getTokensPerSecond } = this.#options;
        const rate = getTokensPerSecond();
        return this.#service.engine && rate > 0 ? usage.computeShare(rate * KEPT_FACTOR, now) : Number.POSITIVE_INFINITY;
    }

    /** Time from which a request cannot be on time any more, or, beyond the share, is sent away to come back later. */
    #getWaitDeadline(request: RoutedRequest, isOverShare: boolean): number {
        if (isOverShare) {
            return request.receivedAt + request.route.objectiveMs * OVER_SHARE_WAIT;
        }
        const readingMs = this.#service.engine
            ? request.promptTokens / this.#options.settings.prefillTokensPerMs
            : 0;
        return request.objectiveDeadline - Math.min(request.route.objectiveMs / 2, MIN_ANSWER_MS + readingMs);
    }

    #estimateRetryAfter(): number {
        const tokens = this.#waiting.reduce((sum, waiting) => sum + waiting.request.promptTokens, 0);
        const rate = Math.max(1, this.#targets.size) * this.#options.settings.prefillTokensPerMs;
        return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, tokens / rate));
    }

    /** Resumed streams first, then the client account with the least recent usage, then the oldest. */
    #sortWaiting(now: number): readonly WaitingRequest[] {
        if (this.#waiting.length === 1) {
            return this.#waiting;
        }
        const usage = new Map<string, number>();
        for (const { request } of this.#waiting) {
            if (!usage.has(request.account)) {
                usage.set(request.account, this.#options.usage.getGranted(request.account, now));
            }
        }
        return [...this.#waiting].sort((a, b) =>
            Number(b.isResume) - Number(a.isResume)
            || (usage.get(a.request.account) ?? 0) - (usage.get(b.request.account) ?? 0)
            || a.request.receivedAt - b.request.receivedAt
        );
    }

    #reserve(request: RoutedRequest, candidate: Candidate, now: number): TargetGrant {
        const { target, grant, coldShare } = candidate;
        target.inFlight += 1;
        target.pendingTokens += grant.missingTokens;
        if (coldShare) {
            target.coldBucket.tryTake(now, coldShare.perSecond, coldShare.burst);
        }
        target.cache.add(request.prompt);
        this.#options.usage.addGranted(request.account, computeTokens(request), now);
        return grant;
    }

    #pickTarget(waiting: WaitingRequest, isOverShare: boolean, now: number): Candidate | undefined {
        const { settings } = this.#options;
        const maxQueueMs = isOverShare ? settings.overShareQueueMs : settings.engineQueueMs;
        const usable = [...this.#targets.values()].filter(({ entry }) =>
            this.#isUsable(entry, waiting.request)
        );
        const rested = usable.filter(target => target.ejectedUntil <= now);
        const fresh = (rested.length > 0 ? rested : usable).filter(({ entry }) =>
            !waiting.avoided.has(entry.id)
        );
        const homes = this.#findHomes(waiting.request, rested);
        let best: Candidate | undefined;
        // Work beyond the share of its account is not worth reading a shared part of a prompt again.
        const eligible = isOverShare && homes.home ? fresh.filter(target => target === homes.home) : fresh;
        for (const target of eligible) {
            const candidate = this.#buildCandidate(target, waiting.request, homes, maxQueueMs, now);
            if (candidate && (!best || candidate.score < best.score)) {
                best = candidate;
            }
        }
        return best;
    }

    #isUsable(entry: TargetEntry, request: RoutedRequest): boolean {
        const region = this.#options.settings.regions.get(entry.dataCentre) ?? "";
        return !entry.isDraining && !this.#evacuated.has(entry.dataCentre)
            && (request.regions.length === 0 || request.regions.includes(region));
    }

    /**
     * Finds the target of the region that keeps the shared parts of a prompt, and one of another region that keeps them
     * too. All instances of a region compute the same home, so that a part is read once a region or taken from the next.
     */
    #findHomes(request: RoutedRequest, targets: readonly TargetState[]): PromptHomes {
        const shared = request.prompt.at(-2);
        if (!shared || !this.#service.engine) {
            return {};
        }
        const { place, regions } = this.#options.settings;
        const isNear = ({ entry }: TargetState): boolean => regions.get(entry.dataCentre) === place.region;
        const pick = (list: readonly TargetState[]): TargetState | undefined =>
            this.#targets.get(pickHomeTarget(shared.id, list.map(({ entry }) => entry.id)) ?? "");
        const near = pick(targets.filter(isNear));
        const remote = pick(targets.filter(target => !isNear(target)));
        return near ? { home: near, remote } : { home: remote };
    }

    #buildCandidate(
        target: TargetState,
        request: RoutedRequest,
        { home, remote }: PromptHomes,
        maxQueueMs: number,
        now: number,
    ): Candidate | undefined {
        const { settings } = this.#options;
        const { entry } = target;
        const coldShare = this.#getColdShare(entry, now);
        if (coldShare && !target.coldBucket.has(now, coldShare.perSecond, coldShare.burst)) {
            return undefined;
        }
        if (entry.coldUntil > now && !coldShare && this.#service.coldRequestsPerSecond > 0) {
            return undefined;
        }
        const isEngine = this.#service.engine !== undefined;
        const isHome = target === home;
        const estimate = estimateTarget(
            target,
            request,
            { isEngine, isHome, hasHome: home !== undefined, now },
            settings,
        );
        if (target.countInFlight(now) >= entry.slots || estimate.queueMs > maxQueueMs) {
            return undefined;
        }
        return {
            target,
            coldShare,
            score: estimate.expectedMs * target.slowness + this.#getDistanceMs(entry)
                + target.getFailureShare(now) * FAILURE_COST_MS
                + (home && !isHome ? MOVE_COST_MS + estimate.movedTokens * MOVE_COST_MS_PER_TOKEN : 0),
            grant: {
                target,
                promptSource: (isHome ? remote : home)?.entry.address,
                missingTokens: estimate.missingTokens,
                expectedMs: estimate.expectedMs,
                grantedAt: now,
            },
        };
    }

    #getColdShare(entry: TargetEntry, now: number): ColdShare | undefined {
        const { settings, getColdShare } = this.#options;
        if (entry.coldUntil <= now || this.#service.coldRequestsPerSecond <= 0) {
            return undefined;
        }
        return getColdShare(
            entry,
            this.#service.coldRequestsPerSecond * settings.coldFactor + settings.coldSlack,
        );
    }

    /** Time for the way to the target and back. */
    #getDistanceMs(entry: TargetEntry): number {
        const { place, regions, dataCentreDelayMs, regionDelayMs } = this.#options.settings;
        if (entry.dataCentre === place.dataCentre) {
            return 0;
        }
        return 2 * (regions.get(entry.dataCentre) === place.region ? dataCentreDelayMs : regionDelayMs);
    }
}

/** A generated token counts twice. */
function computeTokens(request: RoutedRequest): number {
    return request.promptTokens + OUTPUT_TOKEN_COST * request.outputTokens;
}

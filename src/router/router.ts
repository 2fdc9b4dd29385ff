import { performance } from "node:perf_hooks";
import { AccountUsage } from "../core/routing/accountUsage.js";
import { AttemptBudget } from "../core/routing/attemptBudget.js";
import { ConfigurationFreshness } from "../core/routing/configurationFreshness.js";
import { findRoute } from "../core/routing/findRoute.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { Place } from "../core/routing/place.js";
import { resolveAccount } from "../core/routing/resolveAccount.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import { ServiceScheduler } from "../core/routing/serviceScheduler.js";
import { TargetDirectory } from "../core/routing/targetDirectory.js";
import type { CallerExchange } from "./callerExchange.js";
import { FleetView } from "./fleetView.js";
import { Ingress } from "./ingress.js";
import { LogSink } from "./logSink.js";
import { pickBackend } from "./pickBackend.js";
import type { RequestFacts } from "./requestFacts.js";
import { RequestForwarder } from "./requestForwarder.js";
import type { ResolvedRequest } from "./resolvedRequest.js";
import type { RouterSettings } from "./routerSettings.js";
import { schedulerTuning } from "./schedulerTuning.js";
import { TargetAgents } from "./targetAgents.js";
import type { WireFormat } from "./wireFormat.js";

interface RouterOptions {
    readonly settings: RouterSettings;
    readonly wire: WireFormat;
    readonly log: LogSink;
}

/** Deadlines are checked this often; callers allow half a second beyond a deadline. */
const CHECK_INTERVAL_MS = 40;
/** Part of the memory of the machine that bodies may take. */
const BODY_MEMORY_SHARE = 0.15;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/** Window over which client accounts are owed their share (quotaWindowS of the deployments). */
const USAGE_WINDOW_MS = 4000;
const NOT_CONFIGURED_RETRY_MS = 500;
const STALE_RETRY_MS = 1000;
const SERVICE_UNAVAILABLE = 503;
/** Callers keep an answer of the directory for up to three times its term, so connections come for about that long. */
const LINGER_SHARE = 0.75;
/** Requests that would not end within this part of the stop time are sent elsewhere. */
const FINISH_SHARE = 0.8;
const STOPPING_RETRY_MS = 50;
const STOP_MARGIN_MS = 300;
/** Time in milliseconds to the first event, and for each token after it, that a busy engine stays below. */
const FIRST_EVENT_MS = 800;
const TOKEN_MS = 10;
const STOP_POLL_MS = 50;

/** One router process: accepts callers, schedules and forwards their requests. */
export class Router {
    readonly #options: RouterOptions;
    readonly #getNow = (): number => performance.now();
    readonly #usage = AccountUsage.create(USAGE_WINDOW_MS);
    readonly #directory = TargetDirectory.create();
    readonly #freshness: ConfigurationFreshness;
    readonly #agents = TargetAgents.create();
    readonly #schedulers = new Map<string, ServiceScheduler>();
    readonly #budgets = new Map<string, AttemptBudget>();
    readonly #active = new Set<RequestForwarder>();
    #configuration: RouterConfiguration | undefined;
    #evacuated: ReadonlySet<string> = new Set();
    #fleet: FleetView | undefined;
    #ingress: Ingress | undefined;
    #timer: NodeJS.Timeout | undefined;
    #isLeaving = false;
    /** Monotonic time by which requests must have ended before the process stops. */
    #finishBy = Number.POSITIVE_INFINITY;
    #hasTargets = false;

    private constructor(options: RouterOptions) {
        this.#options = options;
        this.#freshness = ConfigurationFreshness.create(options.settings.keyFreshnessMs);
    }

    /** Starts to listen; requests are refused until a configuration and the targets are known. */
    static async create(options: RouterOptions): Promise<Router> {
        const router = new Router(options);
        await router.#start();
        return router;
    }

    /** Number of requests in progress. */
    get activeCount(): number {
        return this.#active.size;
    }

    /** True if callers may use this instance. */
    isReady(): boolean {
        return this.#getState() !== "closed";
    }

    /** Lists the addresses that a caller at a place should use. */
    listCallerAddresses(caller: Place): readonly string[] {
        return this.#fleet?.listCallerAddresses(caller) ?? [];
    }

    /** Puts a configuration into force if it is newer than the one in force. */
    applyConfiguration(configuration: RouterConfiguration): void {
        if (this.#configuration && configuration.version <= this.#configuration.version) {
            return;
        }
        this.#configuration = configuration;
        this.#options.log.write("configuration-adopted", {
            version: configuration.version,
            tokensPerSecond: configuration.limits.tokensPerSecond,
        });
        for (const service of configuration.services.values()) {
            this.#ensureScheduler(service.name).setService(service);
        }
        this.refreshTargets();
    }

    /** Targets as the platform lists them; call `refreshTargets` after a change. */
    get directory(): TargetDirectory {
        return this.#directory;
    }

    /** Replaces the data centres that must get no requests. */
    setEvacuated(dataCentres: ReadonlySet<string>): void {
        this.#evacuated = dataCentres;
        this.#options.log.write("evacuation-changed", { dataCentres: [...dataCentres] });
        this.refreshTargets();
    }

    /** Hands the present targets to the schedulers. */
    refreshTargets(): void {
        const now = this.#getNow();
        const entries = this.#directory.list(now);
        this.#hasTargets ||= entries.length > 0;
        for (const [name, scheduler] of this.#schedulers) {
            scheduler.setTargets(entries.filter(entry => entry.service === name), this.#evacuated, now);
        }
    }

    /**
     * Records that the configuration in force was the newest at a time.
     *
     * @param at Monotonic time in milliseconds.
     * @param timeOfDay Unix milliseconds of the same moment.
     */
    confirmConfiguration(at: number, timeOfDay: number): void {
        this.#freshness.confirm(at, timeOfDay);
    }

    /** Stops gracefully: callers are sent elsewhere, requests in progress are finished. */
    async stop(): Promise<void> {
        if (this.#isLeaving) {
            return;
        }
        this.#isLeaving = true;
        const startedAt = this.#getNow();
        const { log, settings } = this.#options;
        log.write("stopping", { active: this.#active.size });
        this.#fleet?.announce();
        this.#finishBy = startedAt + settings.stopTimeoutMs * FINISH_SHARE;
        const lingerUntil = startedAt + settings.stopTimeoutMs * LINGER_SHARE;
        const stopBy = startedAt + settings.stopTimeoutMs - STOP_MARGIN_MS;
        while (this.#getNow() < lingerUntil || (this.#active.size > 0 && this.#getNow() < stopBy)) {
            await new Promise(resolve => setTimeout(resolve, STOP_POLL_MS));
        }
        this.#ingress?.close();
        clearInterval(this.#timer);
        this.#fleet?.close();
        this.#agents.close();
        log.write("stopped", { active: this.#active.size });
        log.flush();
    }

    async #start(): Promise<void> {
        const { settings, log, wire } = this.#options;
        this.#fleet = await FleetView.create({
            settings,
            log,
            usage: this.#usage,
            getNow: this.#getNow,
            getState: () => this.#getState(),
            listLoads: () => this.#listLoads(),
            onLoads: (sender, loads, validUntil) => {
                for (const [id, inFlight, pendingTokens] of loads) {
                    for (const scheduler of this.#schedulers.values()) {
                        scheduler.targets.get(id)?.setPeerLoad(sender, {
                            inFlight,
                            pendingTokens,
                            validUntil,
                        });
                    }
                }
            },
        });
        this.#ingress = await Ingress.create({
            ...settings.callers,
            wire,
            log,
            maxBufferedBytes: settings.memoryBytes * BODY_MEMORY_SHARE,
            getNow: this.#getNow,
            resolve: (facts, path, receivedAt) => this.#resolve(facts, path, receivedAt),
            getMaxBodyBytes: () => this.#configuration?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
            isLeaving: () => this.#isLeaving,
            serve: exchange => this.#serve(exchange),
        });
        this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    }

    #getState(): MemberRecord["state"] {
        if (this.#isLeaving || !this.#configuration || !this.#hasTargets) {
            return "closed";
        }
        return this.#freshness.isFresh(this.#getNow(), Date.now()) ? "open" : "limited";
    }

    #ensureScheduler(service: string): ServiceScheduler {
        const known = this.#schedulers.get(service);
        if (known) {
            return known;
        }
        const description = this.#configuration?.services.get(service);
        if (!description) {
            throw new Error(`The configuration has no service ${service}.`);
        }
        const { settings } = this.#options;
        const scheduler = ServiceScheduler.create({
            service: description,
            usage: this.#usage,
            settings: {
                ...schedulerTuning,
                place: settings.place,
                regions: settings.regions,
                coldFactor: settings.coldFactor,
                coldSlack: settings.coldSlack,
            },
            getTokensPerSecond: () => this.#configuration?.limits.tokensPerSecond ?? 0,
            getColdShare: (entry, limit) => this.#fleet?.getColdShare(entry, limit),
        });
        this.#schedulers.set(service, scheduler);
        this.#budgets.set(
            service,
            AttemptBudget.create({ ratio: settings.retryRatio, windowMs: settings.retryWindowMs }),
        );
        return scheduler;
    }

    #resolve(facts: RequestFacts, path: string, receivedAt: number): ResolvedRequest {
        const configuration = this.#configuration;
        if (!configuration || !this.#hasTargets) {
            return {
                kind: "refused",
                status: SERVICE_UNAVAILABLE,
                reason: "not-configured",
                retryAfterMs: NOT_CONFIGURED_RETRY_MS,
            };
        }
        if (receivedAt + estimateDuration(facts.outputTokens) > this.#finishBy) {
            return {
                kind: "refused",
                status: SERVICE_UNAVAILABLE,
                reason: "stopping",
                retryAfterMs: STOPPING_RETRY_MS,
            };
        }
        const route = findRoute(configuration, facts.host, path);
        const isFresh = this.#freshness.isFresh(receivedAt, Date.now());
        if (!route) {
            return { kind: "refused", status: 404, reason: "no-route", retryAfterMs: undefined };
        }
        const account = resolveAccount(configuration, route, facts.key);
        if (account !== undefined && !isFresh) {
            return {
                kind: "refused",
                status: SERVICE_UNAVAILABLE,
                reason: "configuration-stale",
                retryAfterMs: STALE_RETRY_MS,
            };
        }
        if (account === "unknown") {
            return { kind: "refused", status: 401, reason: "unknown-key", retryAfterMs: undefined };
        }
        const patienceMs = Math.min(facts.patienceMs ?? route.timeoutMs, route.timeoutMs);
        return {
            kind: "accepted",
            request: {
                requestId: facts.requestId ?? "",
                route,
                service: pickBackend(route),
                account: account?.name ?? "",
                regions: intersectRegions(route.regions, account?.regions ?? []),
                promptTokens: facts.promptTokens,
                outputTokens: facts.outputTokens,
                prompt: facts.prompt,
                receivedAt,
                objectiveDeadline: receivedAt + Math.min(patienceMs, route.objectiveMs),
                deadline: receivedAt + patienceMs,
            },
        };
    }

    #serve(exchange: CallerExchange): void {
        const { service } = exchange.request;
        const scheduler = this.#ensureScheduler(service);
        const budget = this.#budgets.get(service);
        if (!budget) {
            throw new Error(`The service ${service} has no retry budget.`);
        }
        budget.addRequest(this.#getNow());
        const forwarder: RequestForwarder = RequestForwarder.create({
            exchange,
            scheduler,
            budget,
            agents: this.#agents,
            wire: this.#options.wire,
            log: this.#options.log,
            getNow: this.#getNow,
            onEnd: () => this.#active.delete(forwarder),
        });
        this.#active.add(forwarder);
        forwarder.start();
    }

    #listLoads(): readonly (readonly [string, number, number])[] {
        return [...this.#schedulers.values()].flatMap(scheduler =>
            [...scheduler.targets.values()]
                .filter(target => target.inFlight > 0)
                .map(target => [target.entry.id, target.inFlight, Math.round(target.pendingTokens)] as const)
        );
    }

    #check(): void {
        const now = this.#getNow();
        const nextChangeAt = this.#directory.nextChangeAt;
        if (nextChangeAt !== undefined && nextChangeAt <= now) {
            this.refreshTargets();
        }
        for (const forwarder of this.#active) {
            forwarder.checkTimeouts(now);
        }
        for (const scheduler of this.#schedulers.values()) {
            scheduler.advance(now);
        }
    }
}

function estimateDuration(outputTokens: number): number {
    return FIRST_EVENT_MS + outputTokens * TOKEN_MS;
}

function intersectRegions(a: readonly string[], b: readonly string[]): readonly string[] {
    if (a.length === 0 || b.length === 0) {
        return a.length === 0 ? b : a;
    }
    const both = a.filter(region => b.includes(region));
    return both.length > 0 ? both : ["none"];
}

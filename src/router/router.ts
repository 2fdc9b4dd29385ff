import { performance } from "node:perf_hooks";
import { AccountUsage } from "../core/routing/accountUsage.js";
import { ChangeLog } from "../core/routing/changeLog.js";
import type { ChangeSource } from "../core/routing/changeSource.js";
import { ConfigurationFreshness } from "../core/routing/configurationFreshness.js";
import { LagMeter } from "../core/routing/lagMeter.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { Place } from "../core/routing/place.js";
import { resolveRequest } from "../core/routing/resolveRequest.js";
import type { RouterConfiguration } from "../core/routing/routerConfiguration.js";
import { TargetDirectory } from "../core/routing/targetDirectory.js";
import type { CallerExchange } from "./callerExchange.js";
import { ChangeFeedServer } from "./changeFeedServer.js";
import { FleetView } from "./fleetView.js";
import { Ingress } from "./ingress.js";
import type { LogSink } from "./logSink.js";
import { PeerChangeSource } from "./peerChangeSource.js";
import { RelayedChangeSource } from "./relayedChangeSource.js";
import { RequestForwarder } from "./requestForwarder.js";
import type { RouterMetrics } from "./routerMetrics.js";
import type { RouterSettings } from "./routerSettings.js";
import { ServicePool } from "./servicePool.js";
import { TargetAgents } from "./targetAgents.js";
import type { WireFormat } from "./wireFormat.js";

interface RouterOptions {
    readonly settings: RouterSettings;
    readonly wire: WireFormat;
    readonly log: LogSink;
    readonly metrics: RouterMetrics;
}

/** Deadlines are checked this often; callers allow half a second beyond a deadline. */
const CHECK_INTERVAL_MS = 40;
/** Part of the memory of the machine that bodies may take. */
const BODY_MEMORY_SHARE = 0.15;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/** A process this late collects events and looks for callers that have left before it sends their requests. */
const LATE_MS = 15;
/** A process this late refuses streams, because it would deliver none of them on time. */
const OVERLOADED_MS = 200;
/** Window over which client accounts are owed their share (quotaWindowS of the deployments). */
const USAGE_WINDOW_MS = 4000;
/** Callers keep an answer of the directory for up to three times its term, so connections come for about that long. */
const LINGER_SHARE = 0.75;
/** Requests that would not end within this part of the stop time are sent elsewhere. */
const FINISH_SHARE = 0.8;
const STOP_MARGIN_MS = 300;
const STOP_POLL_MS = 50;

/** One router process: accepts callers, schedules and forwards their requests. */
export class Router {
    readonly #options: RouterOptions;
    readonly #getNow = (): number => performance.now();
    readonly #usage = AccountUsage.create(USAGE_WINDOW_MS);
    readonly #targets = TargetDirectory.create();
    readonly #changes = ChangeLog.create();
    readonly #freshness: ConfigurationFreshness;
    readonly #lag = LagMeter.create();
    readonly #agents = TargetAgents.create();
    readonly #services: ServicePool;
    readonly #active = new Set<RequestForwarder>();
    readonly #peerSource: PeerChangeSource;
    #configuration: RouterConfiguration | undefined;
    #evacuated: ReadonlySet<string> = new Set();
    #fleet: FleetView | undefined;
    #ingress: Ingress | undefined;
    #feed: ChangeFeedServer | undefined;
    #timer: NodeJS.Timeout | undefined;
    #nextCheckAt = 0;
    #isLeaving = false;
    /** Monotonic time in milliseconds by which requests must have ended before the process stops. */
    #finishBy = Number.POSITIVE_INFINITY;
    #hasTargets = false;

    private constructor(options: RouterOptions) {
        this.#options = options;
        const { settings } = options;
        this.#freshness = ConfigurationFreshness.create(settings.keyFreshnessMs);
        this.#peerSource = PeerChangeSource.create({
            port: settings.peers.port,
            getNow: this.#getNow,
            getTimeOfDay: Date.now,
        });
        this.#services = ServicePool.create({
            settings,
            usage: this.#usage,
            getTokensPerSecond: () => this.#configuration?.limits.tokensPerSecond ?? 0,
            getColdShare: (entry, limit) => this.#fleet?.getColdShare(entry, limit),
        });
    }

    /** Starts to listen; requests are refused until a configuration and the targets are known. */
    static async create(options: RouterOptions): Promise<Router> {
        const router = new Router(options);
        await router.#start();
        return router;
    }

    /** Targets as the platform lists them; `updateTargets` puts a change into force. */
    get targets(): TargetDirectory {
        return this.#targets;
    }

    /** True if callers may use this instance. */
    isReady(): boolean {
        return this.#getState() !== "closed";
    }

    /** Lists the addresses that a caller at a place should use. */
    listCallerAddresses(caller: Place): readonly string[] {
        return this.#fleet?.listCallerAddresses(caller) ?? [];
    }

    /** Returns a source of the platform's changes that spares the platform where neighbours read it already. */
    createChangeSource(direct: ChangeSource): ChangeSource {
        const source = RelayedChangeSource.create({
            direct,
            readPeer: (host, after) => this.#peerSource.read(host, after),
            listReaderHosts: () => this.#fleet?.listReaderHosts() ?? [],
            changes: this.#changes,
            log: this.#options.log,
            getNow: this.#getNow,
        });
        return after => source.read(after);
    }

    /** Puts a configuration into force if it is newer than the one in force. */
    applyConfiguration(configuration: RouterConfiguration): void {
        if (this.#configuration && configuration.version <= this.#configuration.version) {
            return;
        }
        this.#configuration = configuration;
        this.#options.log.write("configuration-adopted", { version: configuration.version });
        this.#services.applyConfiguration(configuration);
        this.updateTargets();
    }

    /** Replaces the data centres that must get no requests. */
    setEvacuated(dataCentres: ReadonlySet<string>): void {
        this.#evacuated = dataCentres;
        this.#options.log.write("evacuation-changed", { dataCentres: [...dataCentres] });
        this.updateTargets();
    }

    /** Hands the present targets to the schedulers. */
    updateTargets(): void {
        const now = this.#getNow();
        const entries = this.#targets.list(now);
        this.#hasTargets ||= entries.length > 0;
        this.#services.setTargets(entries, this.#evacuated, now);
    }

    /**
     * Records that the configuration in force was the newest at a time.
     *
     * @param at Monotonic time in milliseconds.
     * @param timeOfDay Unix milliseconds of the same moment.
     */
    recordConfirmation(at: number, timeOfDay: number): void {
        this.#freshness.recordConfirmation(at, timeOfDay);
    }

    /** Stops gracefully: callers are sent elsewhere, requests in progress are finished. */
    async stop(): Promise<void> {
        if (this.#isLeaving) {
            return;
        }
        this.#isLeaving = true;
        const { log, settings } = this.#options;
        const startedAt = this.#getNow();
        this.#finishBy = startedAt + settings.stopTimeoutMs * FINISH_SHARE;
        log.write("stopping", { active: this.#active.size });
        this.#fleet?.notifyPeers();
        const lingerUntil = startedAt + settings.stopTimeoutMs * LINGER_SHARE;
        const stopBy = startedAt + settings.stopTimeoutMs - STOP_MARGIN_MS;
        while (this.#getNow() < lingerUntil || (this.#active.size > 0 && this.#getNow() < stopBy)) {
            await new Promise(resolve => setTimeout(resolve, STOP_POLL_MS));
        }
        this.#ingress?.close();
        this.#feed?.close();
        this.#fleet?.close();
        clearInterval(this.#timer);
        this.#agents.close();
        this.#peerSource.close();
        log.write("stopped", { active: this.#active.size });
        log.flush();
    }

    async #start(): Promise<void> {
        const { settings, log, wire, metrics } = this.#options;
        this.#fleet = await FleetView.create({
            settings,
            log,
            usage: this.#usage,
            getNow: this.#getNow,
            getState: () => this.#getState(),
            listLoads: () => this.#services.listLoads(),
            onLoads: (peer, loads, validUntil) => this.#services.setPeerLoads(peer, loads, validUntil),
        });
        this.#feed = await ChangeFeedServer.create({
            ...settings.peers,
            changes: this.#changes,
            log,
            getNow: this.#getNow,
        });
        this.#ingress = await Ingress.create({
            ...settings.callers,
            wire,
            log,
            maxBufferedBytes: settings.memoryBytes * BODY_MEMORY_SHARE,
            getNow: this.#getNow,
            resolve: (facts, path, receivedAt) =>
                resolveRequest(facts, path, {
                    configuration: this.#hasTargets ? this.#configuration : undefined,
                    isFresh: this.#freshness.isFresh(receivedAt, Date.now()),
                    isOverloaded: this.#lag.averageMs > OVERLOADED_MS,
                    finishBy: this.#finishBy,
                    receivedAt,
                    random: Math.random(),
                }),
            getMaxBodyBytes: () => this.#configuration?.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
            isLeaving: () => this.#isLeaving,
            isLate: () => this.#isLate(),
            serve: exchange => this.#serve(exchange),
            onRefused: reason => metrics.countRefusal(reason),
        });
        metrics.registerGauge("requests_active", () => this.#active.size);
        metrics.registerGauge("lag_ms", () => this.#lag.averageMs);
        metrics.registerGauge(
            "configuration_age_ms",
            () => this.#freshness.getAge(this.#getNow(), Date.now()),
        );
        metrics.registerGauge("peers_live", () => this.#fleet?.peerCount ?? 0);
        metrics.registerGauge("log_lines_dropped", () => log.droppedTotal);
        this.#nextCheckAt = this.#getNow() + CHECK_INTERVAL_MS;
        this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    }

    #isLate(): boolean {
        return this.#lag.averageMs > LATE_MS;
    }

    #getState(): MemberRecord["state"] {
        if (this.#isLeaving || !this.#configuration || !this.#hasTargets) {
            return "closed";
        }
        if (!this.#freshness.isFresh(this.#getNow(), Date.now())) {
            return "limited";
        }
        return this.#lag.isBusy ? "busy" : "open";
    }

    #serve(exchange: CallerExchange): void {
        const { metrics, wire, log } = this.#options;
        const service = this.#services.find(exchange.request.service);
        if (!service) {
            // A configuration is checked as a whole, so its routes name services that it has.
            throw new Error(`No scheduler for service ${exchange.request.service}.`);
        }
        service.budget.addRequest(this.#getNow());
        const forwarder: RequestForwarder = RequestForwarder.create({
            exchange,
            ...service,
            agents: this.#agents,
            wire,
            log,
            getNow: this.#getNow,
            isLate: () => this.#isLate(),
            onEnd: (outcome, ms) => {
                this.#active.delete(forwarder);
                metrics.countEnd(exchange.request.route.kind, outcome, ms);
            },
        });
        this.#active.add(forwarder);
        forwarder.start();
    }

    #check(): void {
        const now = this.#getNow();
        this.#lag.observe(now - this.#nextCheckAt);
        this.#nextCheckAt = now + CHECK_INTERVAL_MS;
        const nextChangeAt = this.#targets.nextChangeAt;
        if (nextChangeAt !== undefined && nextChangeAt <= now) {
            this.updateTargets();
        }
        for (const forwarder of this.#active) {
            forwarder.checkTimeouts(now);
        }
        this.#services.advance(now);
        this.#feed?.flush();
    }
}

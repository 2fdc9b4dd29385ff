import { performance } from "node:perf_hooks";
import { AccountUsage } from "../core/routing/accountUsage.js";
import { ChangeLog } from "../core/routing/changeLog.js";
import type { ChangeSource } from "../core/routing/changeSource.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import type { Place } from "../core/routing/place.js";
import { PromptHolders } from "../core/routing/promptHolders.js";
import type { CallerExchange } from "./callerExchange.js";
import { ChangeFeedServer } from "./changeFeedServer.js";
import { DeploymentView } from "./deploymentView.js";
import { FleetView } from "./fleetView.js";
import { Ingress } from "./ingress.js";
import { LoadObserver } from "./loadObserver.js";
import type { LogSink } from "./logSink.js";
import { PeerChangeSource } from "./peerChangeSource.js";
import { RelayedChangeSource } from "./relayedChangeSource.js";
import { RequestForwarder } from "./requestForwarder.js";
import { RequestResolver } from "./requestResolver.js";
import type { RouterMetrics } from "./routerMetrics.js";
import type { RouterSettings } from "./routerSettings.js";
import { ServicePool } from "./servicePool.js";
import { TargetAgents } from "./targetAgents.js";
import { waitForRequests } from "./waitForRequests.js";
import type { WireFormat } from "./wireFormat.js";

interface RouterOptions {
    readonly settings: RouterSettings;
    readonly wire: WireFormat;
    readonly log: LogSink;
    readonly metrics: RouterMetrics;
}

/** Interval of the deadline checks; callers tolerate half a second beyond a deadline. */
const CHECK_INTERVAL_MS = 40;
/** Share of the instance's memory that buffered request bodies may take. */
const BODY_MEMORY_SHARE = 0.15;
/** Above this event loop delay or utilisation, events are batched before they are forwarded. */
const LATE_MS = 15;
const LATE_UTILISATION = 0.6;
/** Time window of the fair shares of client accounts (quotaWindowS of the deployments). */
const USAGE_WINDOW_MS = 4000;
/** Callers cache a directory response for up to three times its term, so new connections arrive for about that long. */
const LINGER_SHARE = 0.75;
/** While stopping, requests that would not end within this share of the stop timeout are refused. */
const FINISH_SHARE = 0.8;
const STOP_MARGIN_MS = 300;

/** One router process: accepts callers, schedules and forwards their requests. */
export class Router {
    readonly #options: RouterOptions;
    readonly #getNow = (): number => performance.now();
    readonly #usage = AccountUsage.create(USAGE_WINDOW_MS);
    readonly #holders = PromptHolders.create();
    readonly #changes = ChangeLog.create();
    readonly #view: DeploymentView;
    readonly #load: LoadObserver;
    readonly #agents = TargetAgents.create();
    readonly #services: ServicePool;
    readonly #active = new Set<RequestForwarder>();
    readonly #peerSource: PeerChangeSource;
    #fleet: FleetView | undefined;
    #ingress: Ingress | undefined;
    #feed: ChangeFeedServer | undefined;
    #timer: NodeJS.Timeout | undefined;
    #nextCheckAt = 0;
    #isLeaving = false;
    /** Monotonic time in milliseconds by which requests must have ended before the process stops. */
    #finishBy = Number.POSITIVE_INFINITY;

    private constructor(options: RouterOptions) {
        this.#options = options;
        const { settings } = options;
        this.#load = LoadObserver.create(options.log);
        this.#peerSource = PeerChangeSource.create({
            port: settings.peers.port,
            getNow: this.#getNow,
            getTimeOfDay: Date.now,
        });
        this.#services = ServicePool.create({
            settings,
            usage: this.#usage,
            holders: this.#holders,
            getTokensPerSecond: () => this.#view.configuration?.limits.tokensPerSecond ?? 0,
            getColdShare: (entry, limit) => this.#fleet?.getColdShare(entry, limit),
        });
        this.#view = DeploymentView.create({
            services: this.#services,
            log: options.log,
            onConfiguration: ({ limits }) => this.#ingress?.applyLimits(limits),
            keyFreshnessMs: settings.keyFreshnessMs,
            getNow: this.#getNow,
            getTimeOfDay: Date.now,
        });
    }

    /** Starts to listen; requests are refused until a configuration and the targets are known. */
    static async create(options: RouterOptions): Promise<Router> {
        const router = new Router(options);
        await router.#start();
        return router;
    }

    /** Configuration and targets of the platform; the platform's adapter keeps the view up to date. */
    get view(): DeploymentView {
        return this.#view;
    }

    /** True if callers may use this instance. */
    isReady(): boolean {
        return this.#getState() !== "closed";
    }

    /** Lists the addresses that a caller in a locality should use. */
    listCallerAddresses(caller: Place): readonly string[] {
        return this.#fleet?.listCallerAddresses(caller) ?? [];
    }

    /** Returns a source of the platform's changes that reads through peers in the data centre where possible. */
    createChangeSource(direct: ChangeSource): ChangeSource {
        const source = RelayedChangeSource.create({
            direct,
            readPeer: (host, after) => this.#peerSource.read(host, after),
            findReaders: () => this.#fleet?.findReaders() ?? { hosts: [], maxAgeMs: 0 },
            changes: this.#changes,
            log: this.#options.log,
            getNow: this.#getNow,
        });
        return after => source.read(after);
    }

    /** Stops gracefully: notifies peers, lets callers move to other instances and finishes active requests. */
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
        await waitForRequests({
            lingerUntil: startedAt + settings.stopTimeoutMs * LINGER_SHARE,
            stopBy: startedAt + settings.stopTimeoutMs - STOP_MARGIN_MS,
            countActive: () => this.#active.size,
            getNow: this.#getNow,
        });
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
            holders: this.#holders,
            getNow: this.#getNow,
            getState: () => this.#getState(),
            listLoads: () => this.#services.listLoads(),
            listDataCentreLoads: peers => this.#services.listDataCentreLoads(this.#getNow(), peers),
            onLoads: (peer, loads, validUntil) => this.#services.setPeerLoads(peer, loads, validUntil),
        });
        this.#feed = await ChangeFeedServer.create({
            ...settings.peers,
            changes: this.#changes,
            log,
            getNow: this.#getNow,
        });
        const resolver = RequestResolver.create({
            view: this.#view,
            services: this.#services,
            load: this.#load,
            getFinishBy: () => this.#finishBy,
        });
        this.#ingress = await Ingress.create({
            ...settings.callers,
            wire,
            log,
            maxBufferedBytes: settings.memoryBytes * BODY_MEMORY_SHARE,
            getNow: this.#getNow,
            resolve: (facts, path, receivedAt) => resolver.resolve(facts, path, receivedAt),
            getLimits: () => this.#view.configuration?.limits,
            isLeaving: () => this.#isLeaving,
            serve: exchange => this.#serve(exchange),
            onRefused: reason => metrics.countRefusal(reason),
        });
        metrics.registerGauges({
            requests_active: () => this.#active.size,
            lag_ms: () => this.#load.averageMs,
            configuration_age_ms: () => this.#view.ageMs,
            peers_live: () => this.#fleet?.countPeers() ?? 0,
            log_lines_dropped: () => log.droppedTotal,
        });
        this.#nextCheckAt = this.#getNow() + CHECK_INTERVAL_MS;
        this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    }

    #isLate(): boolean {
        return this.#load.averageMs > LATE_MS || this.#load.utilisation > LATE_UTILISATION;
    }

    #getState(): MemberRecord["state"] {
        if (this.#isLeaving || !this.#view.configuration) {
            return "closed";
        }
        if (!this.#view.isFresh()) {
            return "limited";
        }
        return this.#load.isBusy ? "busy" : "open";
    }

    #serve(exchange: CallerExchange): void {
        const { metrics, wire, log } = this.#options;
        const service = this.#services.find(exchange.request.service);
        if (!service) {
            // The routes of a configuration are expected to refer only to services that it contains.
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
        this.#load.observe(now - this.#nextCheckAt, this.#active.size);
        this.#nextCheckAt = now + CHECK_INTERVAL_MS;
        this.#view.expireTargets(now);
        for (const forwarder of this.#active) {
            forwarder.checkTimeouts(now);
        }
        this.#services.advance(now);
        this.#feed?.flush();
    }
}

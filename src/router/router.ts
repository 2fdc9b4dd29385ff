import { performance } from "node:perf_hooks";
import { ChangeLog } from "../core/routing/changeLog.js";
import type { ChangeSource } from "../core/routing/changeSource.js";
import type { EndPlan } from "../core/routing/endPlan.js";
import type { Locality } from "../core/routing/locality.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import { planEnd } from "../core/routing/planEnd.js";
import { planStop } from "../core/routing/planStop.js";
import { RunningClock } from "../core/routing/runningClock.js";
import type { StopPlan } from "../core/routing/stopPlan.js";
import { ActiveRequests } from "./activeRequests.js";
import { ChangeFeedServer } from "./changeFeedServer.js";
import { createDeploymentView } from "./createDeploymentView.js";
import { createFleetView } from "./createFleetView.js";
import { createMemoryGuard } from "./createMemoryGuard.js";
import { createRelayedSource } from "./createRelayedSource.js";
import { createRouterIngress } from "./createRouterIngress.js";
import { createRoutingState } from "./createRoutingState.js";
import { createServicePool } from "./createServicePool.js";
import type { DeploymentView } from "./deploymentView.js";
import { describeOwnState } from "./describeOwnState.js";
import { endOpenRequests } from "./endOpenRequests.js";
import type { FleetView } from "./fleetView.js";
import type { Ingress } from "./ingress.js";
import { LoadObserver } from "./loadObserver.js";
import type { MemoryGuard } from "./memoryGuard.js";
import { PeerChangeSource } from "./peerChangeSource.js";
import { PeerExchange } from "./peerExchange.js";
import { PeriodicCheck } from "./periodicCheck.js";
import { registerGauges } from "./registerGauges.js";
import { RequestResolver } from "./requestResolver.js";
import { RequestServer } from "./requestServer.js";
import type { RouterOptions } from "./routerOptions.js";
import type { RoutingState } from "./routingState.js";
import type { ServicePool } from "./servicePool.js";
import { TargetAgents } from "./targetAgents.js";
import { TargetProber } from "./targetProber.js";
import { waitForRequests } from "./waitForRequests.js";

/** One router process: accepts callers, schedules and forwards their requests. */
export class Router {
    readonly #options: RouterOptions;
    readonly #getNow = (): number => performance.now();
    readonly #runningClock = RunningClock.create();
    readonly #state: RoutingState;
    readonly #changeLog = ChangeLog.create();
    readonly #view: DeploymentView;
    readonly #loadObserver: LoadObserver;
    readonly #targetAgents = TargetAgents.create();
    readonly #targetProber = TargetProber.create(id =>
        this.#state.crashDetector.recordGone(id, this.#getNow())
    );
    readonly #memory: MemoryGuard;
    readonly #servicePool: ServicePool;
    readonly #activeRequests = ActiveRequests.create();
    readonly #peerChangeSource: PeerChangeSource;
    #fleet: FleetView | undefined;
    #ingress: Ingress | undefined;
    #changeFeed: ChangeFeedServer | undefined;
    #periodicCheck: PeriodicCheck | undefined;
    readonly resolver: RequestResolver;
    readonly #requestServer: RequestServer;
    /** `undefined` unless the process is stopping. */
    #stopPlan: StopPlan | undefined;
    #stopped: Promise<void> | undefined;
    #ended: Promise<void> | undefined;

    private constructor(options: RouterOptions) {
        this.#options = options;
        const { settings } = options;
        this.#state = createRoutingState(options, this.#getNow(), {
            getNow: this.#getNow,
            countInstances: () => 1 + (this.#fleet?.countPeers() ?? 0),
            listMembers: () => this.#fleet?.listMembers() ?? [],
            send: (message, host) => this.#fleet?.send(message, host),
            onBroken: target => this.#targetProber.check(target),
        });
        this.#memory = createMemoryGuard(options, this.#getNow);
        this.#loadObserver = LoadObserver.create(options.log);
        const shared = { ...options, state: this.#state, getNow: this.#getNow, getTimeOfDay: Date.now };
        this.#peerChangeSource = PeerChangeSource.create({ ...shared, port: settings.peerAddress.port });
        this.#servicePool = createServicePool({
            ...shared,
            getTokensPerSecond: () => this.#view.configuration?.limits.tokensPerSecond ?? 0,
            getColdShare: (target, limit) => this.#fleet?.getColdShare(target, limit),
        });
        this.#view = createDeploymentView({
            ...shared,
            servicePool: this.#servicePool,
            onConfiguration: ({ limits }) => this.#ingress?.applyLimits(limits),
            listPeerHosts: () => this.#fleet?.listPeerHosts() ?? [],
        });
        this.resolver = RequestResolver.create({
            view: this.#view,
            servicePool: this.#servicePool,
            loadObserver: this.#loadObserver,
            getStopPlan: () => this.#stopPlan,
        });
        this.#requestServer = RequestServer.create({
            ...shared,
            servicePool: this.#servicePool,
            resolver: this.resolver,
            activeRequests: this.#activeRequests,
            targetAgents: this.#targetAgents,
            getRunningTime: () => this.#runningClock.toRunningTime(this.#getNow()),
            isBatching: () => this.#loadObserver.isBatching,
            getIngress: () => this.#ingress,
            memory: this.#memory,
        });
    }

    /**
     * Starts to exchange reports with peers; `serveCallers` completes the start.
     *
     * @throws PortError when the peer port cannot be bound.
     */
    static async create(options: RouterOptions): Promise<Router> {
        // First, because the waiting times of the state begin when peers can be heard.
        const exchange = await PeerExchange.create({ ...options, ...options.settings.peerAddress });
        const router = new Router(options);
        router.#fleet = createFleetView({
            ...options,
            exchange,
            state: router.#state,
            view: router.#view,
            servicePool: router.#servicePool,
            getNow: router.#getNow,
            getState: () => router.#getState(),
        });
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
    listCallerAddresses(caller: Locality, callerKey: string): readonly string[] {
        return this.#fleet?.listCallerAddresses(caller, callerKey) ?? [];
    }

    /** Returns a source of the platform's changes that reads through peers in the data centre where possible. */
    createChangeSource(direct: ChangeSource): ChangeSource {
        return createRelayedSource({
            direct,
            peerChangeSource: this.#peerChangeSource,
            getFleet: () => this.#fleet,
            changeLog: this.#changeLog,
            log: this.#options.log,
            getNow: this.#getNow,
        });
    }

    /** Stops gracefully; all calls wait for the end of the one stop. */
    stop(): Promise<void> {
        return this.#stopped ??= this.#finishRequests();
    }

    /** Ends all requests at once, as the process cannot be relied on any more; it ends after `timeoutMs` in any case. */
    endRequests(timeoutMs: number): Promise<void> {
        return this.#ended ??= this.#endOpenRequests(this.#getNow() + timeoutMs);
    }

    /** Closes all connections and servers, at once but for the connections of peers. */
    async close(plan: EndPlan): Promise<void> {
        this.#ingress?.close();
        this.#fleet?.close();
        this.#periodicCheck?.close();
        this.#targetAgents.close();
        this.#targetProber.close();
        this.#peerChangeSource.close();
        await this.#changeFeed?.close(plan);
    }

    #endOpenRequests(endBy: number): Promise<void> {
        const now = this.#getNow();
        // Requests that arrive from now on are refused.
        this.#stopPlan = planStop(now, 0);
        return endOpenRequests(this.#activeRequests, this.#ingress, planEnd(now, endBy));
    }

    /** Notifies peers, lets callers move to other instances, finishes active requests and closes everything. */
    async #finishRequests(): Promise<void> {
        const { log, settings } = this.#options;
        const endBy = this.#getNow() + settings.stopTimeoutMs;
        this.#stopPlan = planStop(this.#getNow(), settings.stopTimeoutMs);
        log.write("stopping", { active: this.#activeRequests.size });
        this.#fleet?.notifyPeers();
        this.#ingress?.endKeepAlive();
        await waitForRequests({
            ...this.#stopPlan,
            stopListening: until => this.#ingress?.stopListening(until),
            // A request that is still being read has been accepted, too.
            countActive: () => Math.max(this.#activeRequests.size, this.#ingress?.openRequests ?? 0),
            getNow: this.#getNow,
        });
        const plan = planEnd(this.#getNow(), endBy);
        await Promise.all([this.#ended ??= this.#endOpenRequests(endBy), this.#changeFeed?.close(plan)]);
        await this.close(plan);
        log.write("stopped", { active: this.#activeRequests.size });
        log.flush();
    }

    /**
     * Serves peers, then callers, whose requests are refused until a configuration and the targets are known.
     *
     * @throws PortError when an address cannot be bound.
     */
    async serveCallers(): Promise<void> {
        const { settings, log, metrics } = this.#options;
        const feed = { ...settings.peerAddress, changeLog: this.#changeLog, getNow: this.#getNow };
        this.#changeFeed = await ChangeFeedServer.create({ ...this.#options, ...feed });
        this.#ingress = await createRouterIngress({
            ...this.#options,
            memory: this.#memory,
            view: this.#view,
            resolver: this.resolver,
            requestServer: this.#requestServer,
            countTargetConnections: () => this.#targetAgents.openConnections,
            getNow: this.#getNow,
            isStopping: () => this.#stopPlan !== undefined,
            listOpenPeers: () => this.#fleet?.listOpenPeers() ?? [],
        });
        registerGauges(metrics, {
            log,
            state: this.#state,
            loadObserver: this.#loadObserver,
            memory: this.#memory,
            countActive: () => this.#activeRequests.size,
            getConfigurationAgeMs: () => this.#view.ageMs,
            countPeers: () => this.#fleet?.countPeers() ?? 0,
            countPromises: () => this.#servicePool.countPromises(this.#getNow()),
            getAdmission: () => this.#ingress?.admission,
        });
        this.#periodicCheck = PeriodicCheck.create({
            ...this.#options,
            getNow: this.#getNow,
            steps: {
                "clock": (_now, delayMs) => this.#runningClock.recordDelay(delayMs),
                "load": (_now, delayMs) => this.#loadObserver.observe(delayMs, this.#activeRequests.size),
                "memory": () => this.#memory.check(),
                "targets": now => this.#view.expireTargets(now),
                "crashes": now => this.#state.crashDetector.expire(now),
                "timeouts": now => this.#activeRequests.checkTimeouts(now),
                "scheduler": now => this.#servicePool.advance(now),
                "spill": now => this.#state.spill?.expire(now),
                "stream-origins": now => this.#state.streamOrigins.flush(now),
                "change-feed": () => this.#changeFeed?.flush(),
            },
        });
    }

    #getState(): MemberRecord["state"] {
        const isServing = this.#ingress !== undefined && this.#stopPlan === undefined;
        const isBusy = this.#loadObserver.isBusy || this.#ingress?.admission.isBusy === true;
        return describeOwnState(isServing, this.#view, isBusy);
    }
}

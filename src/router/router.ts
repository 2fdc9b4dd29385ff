import { performance } from "node:perf_hooks";
import { ChangeLog } from "../core/routing/changeLog.js";
import type { ChangeSource } from "../core/routing/changeSource.js";
import type { Locality } from "../core/routing/locality.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import { planStop } from "../core/routing/planStop.js";
import { RunningClock } from "../core/routing/runningClock.js";
import type { StopPlan } from "../core/routing/stopPlan.js";
import { ActiveRequests } from "./activeRequests.js";
import { ChangeFeedServer } from "./changeFeedServer.js";
import { createDeploymentView } from "./createDeploymentView.js";
import { createRoutingState } from "./createRoutingState.js";
import type { DeploymentView } from "./deploymentView.js";
import { describeOwnState } from "./describeOwnState.js";
import { endOpenRequests } from "./endOpenRequests.js";
import { FleetView } from "./fleetView.js";
import { Ingress } from "./ingress.js";
import { LoadObserver } from "./loadObserver.js";
import { MemoryGuard } from "./memoryGuard.js";
import { PeerChangeSource } from "./peerChangeSource.js";
import { registerGauges } from "./registerGauges.js";
import { RelayedChangeSource } from "./relayedChangeSource.js";
import { RequestResolver } from "./requestResolver.js";
import { RequestServer } from "./requestServer.js";
import type { RouterOptions } from "./routerOptions.js";
import type { RoutingState } from "./routingState.js";
import { ServicePool } from "./servicePool.js";
import { StartNotices } from "./startNotices.js";
import { TargetAgents } from "./targetAgents.js";
import { TargetProber } from "./targetProber.js";
import { waitForRequests } from "./waitForRequests.js";

/** Interval of the deadline checks; callers tolerate half a second beyond a deadline. */
const CHECK_INTERVAL_MS = 40;

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
    #timer: NodeJS.Timeout | undefined;
    #nextCheckAt = 0;
    readonly #resolver: RequestResolver;
    readonly #requestServer: RequestServer;
    /** `undefined` unless the process is stopping. */
    #stopPlan: StopPlan | undefined;
    #stopped: Promise<void> | undefined;

    private constructor(options: RouterOptions) {
        this.#options = options;
        const { settings } = options;
        this.#state = createRoutingState(settings, options.log, this.#getNow(), {
            getNow: this.#getNow,
            countInstances: () => 1 + (this.#fleet?.countPeers() ?? 0),
            listMembers: () => this.#fleet?.listMembers() ?? [],
            send: (message, host) => this.#fleet?.send(message, host),
            onBroken: target => this.#targetProber.check(target),
        });
        this.#memory = MemoryGuard.create({
            limitBytes: settings.memoryBytes,
            log: options.log,
            collect: globalThis.gc && (isMinor => void globalThis.gc?.(isMinor)),
            getNow: this.#getNow,
        });
        this.#loadObserver = LoadObserver.create(options.log);
        this.#peerChangeSource = PeerChangeSource.create({
            port: settings.peerAddress.port,
            getNow: this.#getNow,
            getTimeOfDay: Date.now,
        });
        this.#servicePool = ServicePool.create({
            settings,
            ...this.#state,
            getTokensPerSecond: () => this.#view.configuration?.limits.tokensPerSecond ?? 0,
            getColdShare: (target, limit) => this.#fleet?.getColdShare(target, limit),
            mayBegin: target =>
                !this.#state.targetStarts.isRestarted(target)
                && this.#state.streamOrigins.mayBegin(target, this.#getNow()),
            mayGoOn: target => this.#state.targetStarts.mayGoOn(target),
        });
        this.#view = createDeploymentView({
            ...options,
            servicePool: this.#servicePool,
            state: this.#state,
            onConfiguration: ({ limits }) => this.#ingress?.applyLimits(limits),
            listPeerHosts: () => this.#fleet?.listPeerHosts() ?? [],
            getNow: this.#getNow,
        });
        this.#resolver = RequestResolver.create({
            view: this.#view,
            servicePool: this.#servicePool,
            loadObserver: this.#loadObserver,
            getStopPlan: () => this.#stopPlan,
        });
        this.#requestServer = RequestServer.create({
            ...options,
            state: this.#state,
            servicePool: this.#servicePool,
            resolver: this.#resolver,
            activeRequests: this.#activeRequests,
            targetAgents: this.#targetAgents,
            getNow: this.#getNow,
            getRunningTime: () => this.#runningClock.toRunningTime(this.#getNow()),
            isBatching: () => this.#loadObserver.isBatching,
            getIngress: () => this.#ingress,
            memory: this.#memory,
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
    listCallerAddresses(caller: Locality, callerKey: string): readonly string[] {
        return this.#fleet?.listCallerAddresses(caller, callerKey) ?? [];
    }

    /** Returns a source of the platform's changes that reads through peers in the data centre where possible. */
    createChangeSource(direct: ChangeSource): ChangeSource {
        const source = RelayedChangeSource.create({
            direct,
            readPeer: (host, after) => this.#peerChangeSource.read(host, after),
            findReaders: () => this.#fleet?.findReaders() ?? { hosts: [], maxAgeMs: 0 },
            changeLog: this.#changeLog,
            log: this.#options.log,
            getNow: this.#getNow,
        });
        return (after, isUrgent) => source.read(after, isUrgent);
    }

    /** Stops gracefully; all calls wait for the end of the one stop. */
    stop(): Promise<void> {
        return this.#stopped ??= this.#finishRequests();
    }

    /** Ends all requests at once, as at the end of a stop, because the process cannot be relied on any more. */
    async endRequests(): Promise<void> {
        this.#stopPlan = planStop(this.#getNow(), 0);
        await endOpenRequests(this.#activeRequests, this.#ingress, this.#getNow);
    }

    /** Notifies peers, lets callers move to other instances, finishes active requests and closes everything. */
    async #finishRequests(): Promise<void> {
        const { log, settings } = this.#options;
        this.#stopPlan = planStop(this.#getNow(), settings.stopTimeoutMs);
        log.write("stopping", { active: this.#activeRequests.size });
        this.#fleet?.notifyPeers();
        await waitForRequests({
            ...this.#stopPlan,
            // A request that is still being read has been accepted, too.
            countActive: () => Math.max(this.#activeRequests.size, this.#ingress?.openRequests ?? 0),
            getNow: this.#getNow,
        });
        await endOpenRequests(this.#activeRequests, this.#ingress, this.#getNow);
        this.#ingress?.close();
        this.#changeFeed?.close();
        this.#fleet?.close();
        clearInterval(this.#timer);
        this.#targetAgents.close();
        this.#targetProber.close();
        this.#peerChangeSource.close();
        log.write("stopped", { active: this.#activeRequests.size });
        log.flush();
    }

    async #start(): Promise<void> {
        const { settings, log, wire, metrics, errorBoundary } = this.#options;
        this.#fleet = await FleetView.create({
            settings,
            log,
            errorBoundary,
            ...this.#state,
            getNow: this.#getNow,
            getState: () => this.#getState(),
            startNotices: StartNotices.create({
                getNotice: () => this.#view.startNotice,
                onNotice: (ip, notice) => this.#view.recordStartNotice(ip, notice),
            }),
            listLoads: () => this.#servicePool.listLoads(),
            listDataCentreLoads: peers => this.#servicePool.listDataCentreLoads(this.#getNow(), peers),
            onLoads: (peer, loads, validUntil) => this.#servicePool.setPeerLoads(peer, loads, validUntil),
            onPermits: () => this.#servicePool.advance(this.#getNow()),
        });
        this.#changeFeed = await ChangeFeedServer.create({
            ...settings.peerAddress,
            changeLog: this.#changeLog,
            log,
            getNow: this.#getNow,
        });
        this.#ingress = await Ingress.create({
            ...settings.callerAddress,
            wire,
            log,
            errorBoundary,
            memory: this.#memory,
            getNow: this.#getNow,
            resolve: (head, path, receivedAt) => this.#resolver.resolve(head, path, receivedAt),
            getLimits: () => this.#view.configuration?.limits,
            isStopping: () => this.#stopPlan !== undefined,
            serve: exchange => this.#requestServer.serve(exchange),
            onRefused: reason => metrics.countRefusal(reason),
        });
        registerGauges(metrics, {
            log,
            state: this.#state,
            loadObserver: this.#loadObserver,
            memory: this.#memory,
            countActive: () => this.#activeRequests.size,
            getConfigurationAgeMs: () => this.#view.ageMs,
            countPeers: () => this.#fleet?.countPeers() ?? 0,
        });
        this.#nextCheckAt = this.#getNow() + CHECK_INTERVAL_MS;
        this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    }

    #getState(): MemberRecord["state"] {
        return describeOwnState(this.#stopPlan !== undefined, this.#view, this.#loadObserver);
    }

    #check(): void {
        const now = this.#getNow();
        const delayMs = now - this.#nextCheckAt;
        this.#runningClock.recordDelay(delayMs);
        this.#loadObserver.observe(delayMs, this.#activeRequests.size);
        this.#nextCheckAt = now + CHECK_INTERVAL_MS;
        this.#memory.check();
        this.#view.expireTargets(now);
        this.#state.crashDetector.expire(now);
        this.#activeRequests.checkTimeouts(now);
        this.#options.errorBoundary.run("scheduler", () => this.#servicePool.advance(now));
        this.#options.errorBoundary.run("stream-origins", () => this.#state.streamOrigins.flush(now));
        this.#changeFeed?.flush();
    }
}

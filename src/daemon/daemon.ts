import { start } from "nact";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as createUuid } from "uuid";
import { CallerServer } from "../adapters/caller/callerServer.js";
import { OperatorServer } from "../adapters/operator/operatorServer.js";
import { fetchLoad } from "../adapters/target/fetchLoad.js";
import { mapTargetUrl } from "../adapters/target/mapTargetUrl.js";
import { TargetClient } from "../adapters/target/targetClient.js";
import { buildStatusReport } from "../core/explain/buildStatusReport.js";
import { createLogger } from "../observability/createLogger.js";
import { Metrics } from "../observability/metrics.js";
import { PeerClient } from "../transport/peerClient.js";
import type { PeerHandlers } from "../transport/peerHandlers.js";
import { PeerServer } from "../transport/peerServer.js";
import type { PeerTraffic } from "../transport/peerTraffic.js";
import { Accounting } from "./actors/accounting.js";
import { ClaimHolder } from "./actors/claimHolder.js";
import { ConfigurationKeeper } from "./actors/configurationKeeper.js";
import { DecisionLog } from "./actors/decisionLog.js";
import { Dispatcher } from "./actors/dispatcher.js";
import { Lender } from "./actors/lender.js";
import { PoolOwner } from "./actors/poolOwner.js";
import type { DaemonContext } from "./daemonContext.js";
import type { DaemonSettings } from "./daemonSettings.js";
import { ClaimCoordinator } from "./execution/claimCoordinator.js";
import { recordFinished } from "./execution/recordFinished.js";
import { RequestExecutor } from "./execution/requestExecutor.js";
import { waitForRetry } from "./execution/waitForRetry.js";
import { LoopbackCaller } from "./loopbackCaller.js";
import { PeerDirectory } from "./peerDirectory.js";
import { SeedCaller } from "./seedCaller.js";
import { sendLeavingNotice } from "./sendLeavingNotice.js";

interface DaemonAddresses {
    /** host:port of each server. */
    readonly callerAddress: string;
    readonly peerAddress: string;
    readonly operatorAddress: string;
}

interface DaemonParts {
    readonly context: DaemonContext;
    readonly keeper: ConfigurationKeeper;
    readonly dispatcher: Dispatcher;
    readonly owner: PoolOwner;
    readonly accounting: Accounting;
    readonly callers: CallerServer;
    readonly operators: OperatorServer;
    readonly claims: ClaimHolder;
    readonly targets: TargetClient;
    readonly peerServer: PeerServer;
    readonly peerClient: PeerClient;
    /** Marks the daemon as not ready. */
    readonly onLeaving: () => void;
}

/** Clocks of callers and instances differ, and an answer needs time to reach its caller. */
const ENTRIES_MARGIN_MS = 500;

/** One running daemon: every role in one process. */
export class Daemon {
    readonly #parts: DaemonParts;
    #stopped: Promise<void> | undefined;

    private constructor(parts: DaemonParts) {
        this.#parts = parts;
    }

    /** Starts all servers and actors. */
    static async create(settings: DaemonSettings): Promise<Daemon> {
        const metrics = Metrics.create();
        const logger = createLogger(settings.logLevel, {
            instance: settings.instance,
            dataCentre: settings.dataCentre,
        });
        const getNow = (): number => performance.now();
        const system = start();
        const keeper = ConfigurationKeeper.create({
            settings,
            system,
            logger,
            metrics,
            getNow,
            getRandom: Math.random,
        });
        const traffic: PeerTraffic = {
            record: (method, direction, bytes) =>
                metrics.count("peer_bytes_total", { method, direction }, bytes),
        };
        const peerClient = PeerClient.create(traffic);
        const decisions = DecisionLog.create();
        const context: DaemonContext = {
            settings,
            identity: {
                instance: settings.instance,
                dataCentre: settings.dataCentre,
                incarnation: createUuid(),
                startedAtMs: Date.now(),
            },
            system,
            logger,
            metrics,
            peers: LoopbackCaller.create({
                instance: settings.instance,
                getHandlers: () => handlers,
                remote: PeerDirectory.create({
                    client: peerClient,
                    addressMap: settings.addressMap,
                    getView: () => keeper.getView(),
                    recordResult: (instance, method, reached) => {
                        metrics.count("peer_calls_total", {
                            method,
                            result: reached ? "reached" : "unreachable",
                        });
                        keeper.recordResult(instance, reached);
                    },
                }),
            }),
            getNow,
            getView: () => keeper.getView(),
            subscribeView: listener => keeper.subscribeView(listener),
            recordDecision: decision => decisions.record(decision),
        };
        const accounting = Accounting.create({
            context,
            observeRevisions: (...revisions) => keeper.observeRevisions(...revisions),
        });
        const owner = PoolOwner.create(context, {
            fetchLoad: (url, timeoutMs) => fetchLoad(mapTargetUrl(url, settings.addressMap), timeoutMs),
        });
        const dispatcher = Dispatcher.create({
            context,
            accounting,
            reportDemand: report => owner.handleDemand(report),
        });
        const lender = Lender.create(context);
        const claims = ClaimHolder.create(context);
        const handlers: PeerHandlers = {
            ReportDemand: message => {
                keeper.observeIncarnation(message.instance, message.incarnation);
                return owner.handleDemand(message);
            },
            PushLease: message => dispatcher.handleLease(message),
            BorrowSlots: message => lender.handleBorrow(message),
            ListHoldings: message => dispatcher.handleHoldings(message),
            ExchangeCounters: message => {
                keeper.observeIncarnation(message.instance, message.incarnation);
                return accounting.handleReport(message);
            },
            ClaimKey: message => claims.handleClaim(message),
            SettleClaim: message => claims.handleSettle(message),
            HandOverClaims: message => claims.handleHandover(message),
            FetchConfiguration: message => keeper.handleFetch(message),
            AnnounceLeaving: message => {
                keeper.markLeaving(message.instance, message.incarnation);
                return Promise.resolve({ accepted: true });
            },
        };
        const peerServer = await PeerServer.create(settings.peerAddress, handlers, traffic);
        const targets = TargetClient.create({ getNow, addressMap: settings.addressMap });
        const executor = RequestExecutor.create({
            context,
            broker: dispatcher,
            targets,
            claims: ClaimCoordinator.create({ context, holder: claims, wait: sleep }),
            getRandom: Math.random,
            wait: waitForRetry,
        });
        const callers = await CallerServer.create({
            address: settings.callerAddress,
            dataCentre: settings.dataCentre,
            entriesTermMs: settings.entriesTermMs,
            getView: () => keeper.getView(),
            getNow,
            execute: (request, writer, signal) => executor.execute(request, writer, signal),
            onReceived: request => metrics.count("requests_total", { service: request.service.name }),
            onFinished: finished => recordFinished(context, finished),
        });
        const progress = { leaving: false };
        const operators = await OperatorServer.create({
            address: settings.operatorAddress,
            instance: settings.instance,
            renderMetrics: () => metrics.render(),
            getStatus: () =>
                buildStatusReport({
                    ...context.identity,
                    leaving: progress.leaving,
                    watchesPlatform: keeper.isWatching(),
                    lastRejection: keeper.getLastRejection(),
                    view: keeper.getView(),
                    sections: {},
                }),
            explainRequest: requestId => decisions.explainRequest(requestId),
            explainAccount: (account, limit) => decisions.explainAccount(account, limit),
            onError: error => logger.error("operator-page-failed", { error: String(error) }),
        });
        keeper.start(
            context.peers,
            SeedCaller.create({ client: peerClient, addressMap: settings.addressMap }),
        );
        return new Daemon({
            context,
            keeper,
            dispatcher,
            owner,
            accounting,
            callers,
            operators,
            claims,
            targets,
            peerServer,
            peerClient,
            onLeaving: () => {
                progress.leaving = true;
            },
        });
    }

    /** Addresses that the daemon listens on. */
    get addresses(): DaemonAddresses {
        return {
            callerAddress: this.#parts.callers.address,
            peerAddress: this.#parts.peerServer.address,
            operatorAddress: this.#parts.operators.address,
        };
    }

    /**
     * Stops without interrupting a request: tells the fleet, serves until no valid entries answer names this
     * instance, refuses new requests, finishes those in flight and hands leases, counters and claims back.
     */
    stop(): Promise<void> {
        this.#stopped ??= this.#stopInOrder();
        return this.#stopped;
    }

    async #stopInOrder(): Promise<void> {
        const { accounting, callers, claims, context, dispatcher, keeper, owner } = this.#parts;
        this.#parts.onLeaving();
        context.logger.info("leaving");
        keeper.markLeaving(context.identity.instance, context.identity.incarnation);
        await sendLeavingNotice(context);
        // The successors are in the groups from now on; what is claimed later follows at the end.
        await claims.sendHandover();
        // An instance may have answered with this entry until it learned of the departure, just now.
        await sleep(context.settings.entriesTermMs + ENTRIES_MARGIN_MS);
        await callers.drain();
        await dispatcher.drain();
        await owner.close();
        await accounting.close();
        await claims.sendHandover();
        keeper.close();
        await callers.close();
        await this.#parts.targets.close();
        this.#parts.operators.close();
        this.#parts.peerServer.close();
        this.#parts.peerClient.close();
        context.logger.info("stopped");
    }
}

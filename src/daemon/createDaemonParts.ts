import { start } from "nact";
import { setTimeout as sleep } from "node:timers/promises";
import { v7 as createUuid } from "uuid";
import { CallerServer } from "../adapters/caller/callerServer.js";
import { OperatorServer } from "../adapters/operator/operatorServer.js";
import { fetchLoad } from "../adapters/target/fetchLoad.js";
import { mapTargetUrl } from "../adapters/target/mapTargetUrl.js";
import { TargetClient } from "../adapters/target/targetClient.js";
import { buildStatusReport } from "../core/explain/buildStatusReport.js";
import { listAccountStatus } from "../core/explain/listAccountStatus.js";
import { listLeaseStatus } from "../core/explain/listLeaseStatus.js";
import type { Metrics } from "../observability/metrics.js";
import type { PortBinder } from "../shared/portBinder.js";
import { RelayPeers } from "../shared/relayPeers.js";
import { PeerClient } from "../transport/peerClient.js";
import { PeerServer } from "../transport/peerServer.js";
import type { TrafficRecorder } from "../transport/trafficRecorder.js";
import { Accounting } from "./actors/accounting.js";
import { ClaimHolder } from "./actors/claimHolder.js";
import { ConfigurationManager } from "./actors/configurationManager.js";
import { DecisionLog } from "./actors/decisionLog.js";
import { Dispatcher } from "./actors/dispatcher.js";
import { Lender } from "./actors/lender.js";
import { PoolOwner } from "./actors/poolOwner.js";
import { computeDaemonLimits } from "./computeDaemonLimits.js";
import { createConfigurationWait } from "./createConfigurationWait.js";
import { createPeerHandlers } from "./createPeerHandlers.js";
import type { DaemonContext } from "./daemonContext.js";
import type { DaemonParts } from "./daemonParts.js";
import type { DaemonSettings } from "./daemonSettings.js";
import { ClaimCoordinator } from "./execution/claimCoordinator.js";
import { recordFinishedRequest } from "./execution/recordFinishedRequest.js";
import { RequestExecutor } from "./execution/requestExecutor.js";
import { waitForRetry } from "./execution/waitForRetry.js";
import { createDaemonRoutePage } from "./explain/createDaemonRoutePage.js";
import { listRelayPeers } from "./listRelayPeers.js";
import { LoopbackCaller } from "./loopbackCaller.js";
import { PeerDirectory } from "./peerDirectory.js";

interface CreateOptions {
    readonly settings: DaemonSettings;
    readonly logger: DaemonContext["logger"];
    readonly metrics: Metrics;
    readonly ports: PortBinder;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

/**
 * Creates the actors of a daemon and starts its servers, but not its configuration manager.
 *
 * @throws PortError when an address cannot be bound.
 */
export async function createDaemonParts(
    { settings, logger, metrics, ports, getNow }: CreateOptions,
): Promise<DaemonParts> {
    const system = start();
    const limits = computeDaemonLimits();
    const configurationManager = ConfigurationManager.create({
        settings,
        system,
        logger,
        metrics,
        getNow,
        getRandom: Math.random,
    });
    const traffic: TrafficRecorder = {
        record: (method, direction, bytes) => metrics.count("peer_bytes_total", { method, direction }, bytes),
    };
    const peerClient = PeerClient.create(traffic);
    const decisionLog = DecisionLog.create();
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
                getView: () => configurationManager.getView(),
                recordResult: (instance, method, reached) => {
                    metrics.count("peer_calls_total", {
                        method,
                        result: reached ? "reached" : "unreachable",
                    });
                    configurationManager.recordResult(instance, reached);
                },
            }),
        }),
        getNow,
        getView: () => configurationManager.getView(),
        subscribeView: listener => configurationManager.subscribeView(listener),
        recordDecision: decision => decisionLog.record(decision),
    };
    const accounting = Accounting.create({
        context,
        observeRevisions: (...revisions) => configurationManager.observeRevisions(...revisions),
    });
    const poolOwner = PoolOwner.create(context, {
        fetchLoad: (url, timeoutMs) => fetchLoad(mapTargetUrl(url, settings.addressMap), timeoutMs),
    });
    const dispatcher = Dispatcher.create({
        context,
        accounting,
        reportDemand: report => poolOwner.handleDemand(report),
    });
    const lender = Lender.create(context);
    const claimHolder = ClaimHolder.create(context);
    const handlers = createPeerHandlers({
        configurationManager,
        dispatcher,
        poolOwner,
        lender,
        accounting,
        claimHolder,
    });
    const peerServer = await PeerServer.create({
        address: settings.peerAddress,
        maxConnections: limits.maxPeers,
        ports,
        handlers,
        traffic,
    });
    const targetClient = TargetClient.create({ getNow, addressMap: settings.addressMap });
    const executor = RequestExecutor.create({
        context,
        broker: dispatcher,
        targets: targetClient,
        claims: ClaimCoordinator.create({ context, localHolder: claimHolder, wait: sleep }),
        getRandom: Math.random,
        wait: waitForRetry,
    });
    const lifecycle = { leaving: false };
    const operatorServer = await OperatorServer.create({
        address: settings.operatorAddress,
        maxConnections: limits.maxOperators,
        ports,
        instance: settings.instance,
        renderMetrics: () => metrics.render(),
        getStatus: () =>
            buildStatusReport({
                ...context.identity,
                leaving: lifecycle.leaving,
                watchesPlatform: configurationManager.isWatchingPlatform(),
                lastRejection: configurationManager.getLastRejection(),
                view: configurationManager.getView(),
                sections: {
                    pools: poolOwner.listPools(),
                    targets: poolOwner.listTargets(),
                    accounts: listAccountStatus(
                        dispatcher.getState(),
                        account => accounting.getView().getNormalizedService(account),
                    ),
                    leases: listLeaseStatus(dispatcher.getState(), getNow()),
                },
            }),
        routePage: createDaemonRoutePage({
            context,
            dispatcher,
            isLeaving: () => lifecycle.leaving,
        }),
        explainRequest: requestId => decisionLog.explainRequest(requestId),
        explainAccount: (account, limit) => decisionLog.explainAccount(account, limit),
        onError: error => logger.error("operator-page-failed", { error: String(error) }),
    });
    const relayPeers = RelayPeers.create({
        listPeers: () => listRelayPeers(configurationManager.getView(), settings),
        getNow,
    });
    // The last port, so that a daemon that may still fail to start accepts no caller.
    const callerServer = await CallerServer.create({
        address: settings.callerAddress,
        relayAddress: settings.relayAddress,
        findPeer: caller => relayPeers.find(caller),
        ports,
        dataCentre: settings.dataCentre,
        entriesTermMs: settings.entriesTermMs,
        bodyIdleTimeoutMs: settings.bodyIdleTimeoutMs,
        connectionLimits: limits,
        getView: () => configurationManager.getView(),
        waitForConfiguration: createConfigurationWait(context),
        getNow,
        execute: (request, writer, signal) => executor.execute(request, writer, signal),
        onOverload: report => {
            logger.warn("overload", report);
            metrics.count("connections_refused_total", {}, report.refused);
            metrics.count("connections_relayed_total", {}, report.relayed);
        },
        onReceived: request => metrics.count("requests_total", { service: request.service.name }),
        onFinished: finished => recordFinishedRequest(context, finished),
    });
    return {
        context,
        configurationManager,
        dispatcher,
        poolOwner,
        accounting,
        callerServer,
        operatorServer,
        claimHolder,
        targetClient,
        peerServer,
        peerClient,
        onLeaving: () => {
            lifecycle.leaving = true;
        },
    };
}

import { start } from "nact";
import { performance } from "node:perf_hooks";
import { v7 as createUuid } from "uuid";
import { CallerServer } from "../adapters/caller/callerServer.js";
import { createLogger } from "../observability/createLogger.js";
import { Metrics } from "../observability/metrics.js";
import { PeerClient } from "../transport/peerClient.js";
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
import { PeerDirectory } from "./peerDirectory.js";

interface DaemonAddresses {
    /** host:port of each server. */
    readonly callerAddress: string;
    readonly peerAddress: string;
}

interface DaemonParts {
    readonly context: DaemonContext;
    readonly keeper: ConfigurationKeeper;
    readonly dispatcher: Dispatcher;
    readonly owner: PoolOwner;
    readonly accounting: Accounting;
    readonly callers: CallerServer;
    readonly peerServer: PeerServer;
    readonly peerClient: PeerClient;
}

/** One running daemon: every role in one process. */
export class Daemon {
    readonly #parts: DaemonParts;

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
        const keeper = ConfigurationKeeper.create({ settings, logger, metrics, getNow });
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
            system: start(),
            logger,
            metrics,
            peers: PeerDirectory.create({
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
            getNow,
            getView: () => keeper.getView(),
            subscribeView: listener => keeper.subscribeView(listener),
            recordDecision: decision => decisions.record(decision),
        };
        const accounting = Accounting.create(context);
        const dispatcher = Dispatcher.create({ context, accounting });
        const owner = PoolOwner.create(context);
        const lender = Lender.create(context);
        const claims = ClaimHolder.create(context);
        const peerServer = await PeerServer.create(settings.peerAddress, {
            ReportDemand: message => owner.handleDemand(message),
            PushLease: message => dispatcher.handleLease(message),
            BorrowSlots: message => lender.handleBorrow(message),
            ListHoldings: message => dispatcher.handleHoldings(message),
            ExchangeCounters: message => accounting.handleReport(message),
            ClaimKey: message => claims.handleClaim(message),
            SettleClaim: message => claims.handleSettle(message),
            FetchConfiguration: message => keeper.handleFetch(message),
            AnnounceLeaving: message => {
                keeper.markLeaving(message.instance);
                return Promise.resolve({ accepted: true });
            },
        }, traffic);
        const callers = await CallerServer.create({
            address: settings.callerAddress,
            broker: dispatcher,
            getConfiguration: () => keeper.getView().index?.configuration,
            getInstances: () => keeper.getView().instances,
        });
        keeper.start(context.peers);
        return new Daemon({
            context,
            keeper,
            dispatcher,
            owner,
            accounting,
            callers,
            peerServer,
            peerClient,
        });
    }

    /** Addresses that the daemon listens on. */
    get addresses(): DaemonAddresses {
        return { callerAddress: this.#parts.callers.address, peerAddress: this.#parts.peerServer.address };
    }

    /** Stops in order: no new requests, requests in flight end, leases and counters are handed back. */
    async stop(): Promise<void> {
        await this.#parts.dispatcher.drain();
        await this.#parts.owner.close();
        await this.#parts.accounting.close();
        this.#parts.keeper.close();
        this.#parts.peerServer.close();
        this.#parts.peerClient.close();
    }
}

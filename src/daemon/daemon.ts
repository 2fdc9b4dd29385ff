import { performance } from "node:perf_hooks";
import { createLogger } from "../observability/createLogger.js";
import { createLogOutput } from "../observability/createLogOutput.js";
import { Metrics } from "../observability/metrics.js";
import { createErrorEnd } from "../shared/createErrorEnd.js";
import { createServiceCheck } from "../shared/createServiceCheck.js";
import { parseListenAddress } from "../shared/parseListenAddress.js";
import { PortBinder } from "../shared/portBinder.js";
import { createDaemonParts } from "./createDaemonParts.js";
import { createErrorHandler } from "./createErrorHandler.js";
import type { DaemonParts } from "./daemonParts.js";
import type { DaemonSettings } from "./daemonSettings.js";
import { SeedCaller } from "./seedCaller.js";
import { stopGracefully } from "./stopGracefully.js";

interface DaemonAddresses {
    /** host:port of each server. */
    readonly callerAddress: string;
    readonly peerAddress: string;
    readonly operatorAddress: string;
    /** Absent if peers relay no connections to it. */
    readonly relayAddress: string | undefined;
}

const INTERNAL_ERROR_EXIT_CODE = 1;

/** One running daemon: every role in one process. */
export class Daemon {
    readonly #parts: DaemonParts;
    #stopped: Promise<void> | undefined;

    private constructor(parts: DaemonParts) {
        this.#parts = parts;
    }

    /**
     * Starts all servers and actors.
     *
     * @param stopSignal Ends the wait for ports that are in use, because the process is to stop.
     * @throws PortError when an address cannot be bound.
     * @throws StartStoppedError when the process is to stop.
     */
    static async create(settings: DaemonSettings, stopSignal: AbortSignal): Promise<Daemon> {
        const { instance, dataCentre, logLevel, portTimeoutMs } = settings;
        const metrics = Metrics.create();
        const onDropped = (): void => metrics.count("log_lines_dropped_total", {});
        process.stdout.on("error", onDropped);
        const logger = createLogger({
            level: logLevel,
            fields: { instance, dataCentre },
            output: createLogOutput(process.stderr, onDropped),
        });
        const getNow = (): number => performance.now();
        let daemon: Daemon | undefined = undefined;
        const onTooMany = createErrorEnd({
            log: {
                write: (event, fields) => logger.error(event, fields),
                close: () => Promise.resolve(),
            },
            isServing: createServiceCheck(() =>
                !daemon || daemon.#stopped ? undefined : parseListenAddress(daemon.addresses.callerAddress)
            ),
            endRequests: async timeoutMs => {
                await daemon?.endRequests(timeoutMs);
            },
            exit: () => process.exit(INTERNAL_ERROR_EXIT_CODE),
        });
        const handleError = createErrorHandler({ logger, metrics, getNow, onTooMany });
        process.on("uncaughtException", error => handleError("process", error));
        process.on("unhandledRejection", error => handleError("promise", error));
        const ports = PortBinder.create({
            deadline: getNow() + portTimeoutMs,
            stopSignal,
            getNow,
            writeLog: (event, fields) => logger.warn(event, fields),
        });
        const parts = await createDaemonParts({ settings, logger, metrics, ports, getNow })
            .catch((error: unknown) => {
                ports.close();
                throw error;
            });
        parts.configurationManager.start(
            parts.context.peers,
            SeedCaller.create({ client: parts.peerClient, addressMap: settings.addressMap }),
        );
        daemon = new Daemon(parts);
        return daemon;
    }

    /** Addresses that the daemon listens on. */
    get addresses(): DaemonAddresses {
        return {
            callerAddress: this.#parts.callerServer.address,
            peerAddress: this.#parts.peerServer.address,
            operatorAddress: this.#parts.operatorServer.address,
            relayAddress: this.#parts.callerServer.relayAddress,
        };
    }

    /** Logs a signal and what it leads to. */
    logSignal(signal: string, action: string): void {
        this.#parts.context.logger.info("signal-received", { signal, action });
    }

    /** Ends all requests within a time in milliseconds, as the process cannot be relied on any more. */
    endRequests(timeoutMs: number): Promise<void> {
        return this.#parts.callerServer.endRequests(timeoutMs);
    }

    /** Stops gracefully; further calls wait for the same stop. */
    stop(): Promise<void> {
        this.#stopped ??= stopGracefully(this.#parts);
        return this.#stopped;
    }
}

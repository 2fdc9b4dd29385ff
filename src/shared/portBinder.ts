import type { Socket } from "node:dgram";
import type { EventEmitter } from "node:events";
import type { Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { PortError } from "../core/errors/portError.js";
import { StartStoppedError } from "../core/errors/startStoppedError.js";
import type { FailedBind } from "../core/start/failedBind.js";
import { planOptionalBind } from "../core/start/planOptionalBind.js";
import { planRequiredBind } from "../core/start/planRequiredBind.js";
import type { ListenAddress } from "./listenAddress.js";

interface PortBinderOptions {
    /** Monotonic time in milliseconds until which ports that are in use are waited for. */
    readonly deadline: number;
    /** Ends the waits, because the process is to stop. */
    readonly stopSignal: AbortSignal;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
    readonly writeLog: (event: string, fields: object) => void;
}

interface Port {
    /** Name of the server in log lines and errors. */
    readonly server: string;
    /** host:port. */
    readonly address: string;
    /** Emits `listening` or `error` after `listen`. */
    readonly emitter: EventEmitter & { readonly close: () => unknown; };
    readonly listen: () => void;
    /** Returns the time of the next attempt; `undefined` if there is none. */
    readonly planRetry: (failure: FailedBind) => number | undefined;
    readonly stopSignal: AbortSignal;
}

/**
 * Binds the ports of a process. A port that is in use is waited for: a predecessor may still be finishing its requests, or an
 * outgoing connection may have got the port from the operating system. Later errors of a server are logged.
 */
export class PortBinder {
    readonly #options: PortBinderOptions;
    readonly #open: { readonly close: () => unknown; }[] = [];

    private constructor(options: PortBinderOptions) {
        this.#options = options;
    }

    /** Creates a binder whose ports share one deadline. */
    static create(options: PortBinderOptions): PortBinder {
        return new PortBinder(options);
    }

    /**
     * Makes a TCP server listen.
     *
     * @param backlog Connections that the operating system queues; its default if `undefined`.
     * @throws PortError when the address cannot be bound before the deadline, or waiting cannot help.
     * @throws StartStoppedError when the process is to stop.
     */
    async openServer(
        server: string,
        emitter: Server,
        address: ListenAddress & { readonly backlog?: number; },
    ): Promise<void> {
        await this.#acquire(this.#createPort(server, address, emitter, () => emitter.listen({ ...address })));
    }

    /**
     * Binds a UDP socket.
     *
     * @throws PortError and StartStoppedError as `openServer` does.
     */
    async openSocket(server: string, emitter: Socket, address: ListenAddress): Promise<void> {
        const listen = (): unknown => emitter.bind({ port: address.port, address: address.host });
        await this.#acquire(this.#createPort(server, address, emitter, listen));
    }

    /** Makes a TCP server listen that the process can serve without: tries until `stopSignal` is aborted, and never throws. */
    async openOptionalServer(
        server: string,
        emitter: Server,
        address: ListenAddress,
        stopSignal: AbortSignal,
    ): Promise<void> {
        const port = this.#createPort(server, address, emitter, () => emitter.listen({ ...address }));
        try {
            await this.#acquire({ ...port, planRetry: planOptionalBind, stopSignal });
        }
        catch (error) {
            if (!(error instanceof StartStoppedError)) {
                this.#options.writeLog("server-failed", {
                    server,
                    address: port.address,
                    reason: String(error),
                });
            }
        }
    }

    /** Closes everything that was opened, after a start that failed. */
    close(): void {
        this.#open.forEach(server => server.close());
    }

    #createPort(
        server: string,
        { host, port }: ListenAddress,
        emitter: Port["emitter"],
        listen: () => unknown,
    ): Port {
        const { deadline, stopSignal } = this.#options;
        return {
            server,
            address: `${host}:${port}`,
            emitter,
            listen: () => void listen(),
            planRetry: failure => planRequiredBind(failure, deadline),
            stopSignal,
        };
    }

    async #acquire(port: Port): Promise<void> {
        const { getNow, writeLog } = this.#options;
        const { server, address } = port;
        const startedAt = getNow();
        for (let failures = 1;; failures += 1) {
            if (port.stopSignal.aborted) {
                throw StartStoppedError.create();
            }
            const error = await tryListen(port.emitter, port.listen);
            if (!error) {
                this.#open.push(port.emitter);
                port.emitter.on("error", (cause: Error) => {
                    writeLog("server-failed", { server, address, reason: cause.message });
                });
                if (failures > 1) {
                    writeLog("port-bound", { server, address, waitedMs: Math.round(getNow() - startedAt) });
                }
                return;
            }
            const now = getNow();
            const retryAt = port.planRetry({ code: error.code, failures, now });
            if (retryAt === undefined) {
                throw PortError.create(server, address, error);
            }
            if (failures === 1) {
                writeLog("port-awaited", { server, address, reason: error.message });
            }
            // An aborted wait is noticed at the beginning of the next turn.
            await sleep(retryAt - now, undefined, { signal: port.stopSignal }).catch(() => undefined);
        }
    }
}

/** Returns the error if the address cannot be bound. */
function tryListen(emitter: EventEmitter, listen: () => void): Promise<NodeJS.ErrnoException | undefined> {
    return new Promise(resolve => {
        const onListening = (): void => {
            emitter.off("error", onError);
            resolve(undefined);
        };
        const onError = (error: NodeJS.ErrnoException): void => {
            emitter.off("listening", onListening);
            resolve(error);
        };
        emitter.once("listening", onListening);
        emitter.once("error", onError);
        try {
            listen();
        }
        catch (error) {
            emitter.off("error", onError);
            onError(error as NodeJS.ErrnoException);
        }
    });
}

import { createSocket, type Socket } from "node:dgram";
import type { LogSink } from "./logSink.js";

interface PeerExchangeOptions {
    readonly host: string;
    readonly port: number;
    readonly log: LogSink;
    readonly onMessage: (message: unknown, host: string) => void;
}

/** Sends and receives reports of instances as datagrams; a lost one is replaced by the next. */
export class PeerExchange {
    readonly #socket: Socket;
    readonly #port: number;

    private constructor(options: PeerExchangeOptions) {
        this.#port = options.port;
        this.#socket = createSocket("udp4");
        this.#socket.on("message", (data, sender) => {
            let message: unknown;
            try {
                message = JSON.parse(data.toString("utf8"));
            }
            catch (error) {
                options.log.write("peer-report-invalid", { from: sender.address, reason: String(error) });
                return;
            }
            options.onMessage(message, sender.address);
        });
        this.#socket.on("error", error => {
            options.log.write("peer-socket-failed", { reason: error.message });
        });
    }

    /** Binds the socket. */
    static async create(options: PeerExchangeOptions): Promise<PeerExchange> {
        const exchange = new PeerExchange(options);
        await new Promise<void>(resolve => exchange.#socket.bind(options.port, options.host, resolve));
        return exchange;
    }

    /** Sends one message to some hosts. */
    send(message: unknown, hosts: Iterable<string>): void {
        const data = Buffer.from(JSON.stringify(message));
        for (const host of hosts) {
            // An unreachable host is noticed by its silence, so the result of one datagram is of no use.
            this.#socket.send(data, this.#port, host, () => undefined);
        }
    }

    /** Closes the socket. */
    close(): void {
        this.#socket.close();
    }
}

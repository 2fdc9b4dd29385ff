import { createSocket, type Socket } from "node:dgram";
import type { LogSink } from "./logSink.js";

interface PeerExchangeOptions {
    readonly host: string;
    readonly port: number;
    readonly log: LogSink;
    readonly onMessage: (message: unknown, host: string) => void;
}

/** Exchanges reports with peers as UDP datagrams; a lost one is superseded by the next. */
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

    /** Sends a message to each of the hosts, without a guarantee of delivery. */
    send(message: unknown, hosts: Iterable<string>): void {
        const data = Buffer.from(JSON.stringify(message));
        for (const host of hosts) {
            // Missing reports reveal an unreachable host, so the result of a single send is ignored.
            this.#socket.send(data, this.#port, host, () => undefined);
        }
    }

    /** Closes the socket. */
    close(): void {
        this.#socket.close();
    }
}

import { createSocket, type Socket } from "node:dgram";
import type { PortBinder } from "../shared/portBinder.js";
import type { LogSink } from "./logSink.js";

interface PeerExchangeOptions {
    readonly host: string;
    readonly port: number;
    readonly ports: Pick<PortBinder, "openSocket">;
    readonly log: Pick<LogSink, "write">;
}

type MessageHandler = (message: unknown, host: string) => void;

/** Exchanges reports with peers as UDP datagrams; a lost one is superseded by the next. */
export class PeerExchange {
    readonly #socket: Socket;
    readonly #port: number;
    #handleMessage: MessageHandler = () => undefined;

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
            this.#handleMessage(message, sender.address);
        });
    }

    /**
     * Binds the socket; messages are dropped until a handler is attached.
     *
     * @throws PortError when the address cannot be bound.
     */
    static async create(options: PeerExchangeOptions): Promise<PeerExchange> {
        const exchange = new PeerExchange(options);
        const { host, port, ports } = options;
        try {
            await ports.openSocket("peer-reports", exchange.#socket, { host, port });
        }
        catch (error) {
            exchange.close();
            throw error;
        }
        return exchange;
    }

    /** Attaches the function that gets each message, with the host that sent it. */
    attach(handleMessage: MessageHandler): void {
        this.#handleMessage = handleMessage;
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

import { connect } from "node:net";

interface BurstOptions {
    readonly callers: number;
    /** Connections that are opened at once, and the time in milliseconds between two such groups. */
    readonly groupSize: number;
    readonly groupIntervalMs: number;
    readonly path: string;
    readonly bodyBytes: number;
    /** Time in milliseconds after which a caller closes its connection without an answer. @default never */
    readonly giveUpMs?: number;
    readonly buildHeaders: (index: number) => Readonly<Record<string, string>>;
}

/** What one caller of a burst got. */
interface BurstAnswer {
    /** Zero without a status line. */
    readonly status: number;
    /** Status line and headers in lower case. */
    readonly head: string;
    /** Code of the error that ended the connection; `undefined` if it ended in order. */
    readonly error: string | undefined;
}

/** Opens many connections to an address (host:port) within a short time, and sends one request on each. */
export async function sendBurst(
    address: string,
    options: BurstOptions,
): Promise<readonly BurstAnswer[]> {
    const answers: Promise<BurstAnswer>[] = [];
    while (answers.length < options.callers) {
        for (let i = 0; i < options.groupSize && answers.length < options.callers; i += 1) {
            answers.push(sendOne(address, options, answers.length));
        }
        await new Promise(resolve => setTimeout(resolve, options.groupIntervalMs));
    }
    return Promise.all(answers);
}

function sendOne(address: string, options: BurstOptions, index: number): Promise<BurstAnswer> {
    const [host, port] = address.split(":");
    const headers = {
        ...options.buildHeaders(index),
        "Content-Length": String(options.bodyBytes),
        "Connection": "close",
    };
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return new Promise(resolve => {
        const socket = connect(Number(port), host);
        let received = "";
        let error: string | undefined;
        socket.write(`POST ${options.path} HTTP/1.1\r\n${lines}\r\n`);
        socket.write(Buffer.alloc(options.bodyBytes, "x"));
        if (options.giveUpMs !== undefined) {
            setTimeout(() => socket.destroy(), options.giveUpMs);
        }
        socket.on("data", data => received += data.toString("latin1"));
        socket.on("error", (cause: NodeJS.ErrnoException) => error = cause.code ?? cause.message);
        socket.on("close", () => {
            const head = received.slice(0, Math.max(0, received.indexOf("\r\n\r\n"))).toLowerCase();
            resolve({ status: Number(head.split(" ")[1] ?? 0), head, error });
        });
    });
}

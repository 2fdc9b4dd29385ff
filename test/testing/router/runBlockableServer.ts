import { createServer } from "node:http";
import { parentPort, workerData } from "node:worker_threads";
import { formatEvent } from "./formatEvent.js";

const EVENTS = 6;
/** The operating system accepts one connection more than this into the queue. */
const LISTEN_BACKLOG = 1;
const ANSWER_MS = 200;

/** Serves plain responses and streams in a worker thread; each message blocks its event loop until the gate is opened. */
export function runBlockableServer(gate: Int32Array, notify: (message: number | string) => void): () => void {
    const server = createServer((incoming, response) => {
        const requestId = String(incoming.headers["request-id"]);
        notify(requestId);
        incoming.resume();
        response.setHeader("Request-Id", requestId);
        response.setHeader("Response-Signature", "s");
        const first = Number(incoming.headers["last-event-id"] ?? 0) + 1;
        const answer = (): void => {
            if (!incoming.url?.startsWith("/stream") && !incoming.url?.startsWith("/once")) {
                response.end("ok");
                return;
            }
            response.setHeader("Content-Type", "text/event-stream");
            for (let id = first; id <= EVENTS; id += 1) {
                response.write(formatEvent(id, requestId));
            }
            response.end();
        };
        setTimeout(answer, ANSWER_MS);
    });
    server.listen({ host: "127.0.0.1", port: 0, backlog: LISTEN_BACKLOG }, () => {
        const address = server.address();
        notify(typeof address === "object" ? address?.port ?? 0 : 0);
    });
    return () => {
        notify("blocked");
        Atomics.wait(gate, 0, 0);
    };
}

const { gate } = workerData as { readonly gate: Int32Array; };
const block = runBlockableServer(gate, message => parentPort?.postMessage(message));
parentPort?.on("message", block);

import { connect } from "node:net";
import type { CooperativeFleet } from "../../../src/testing/platform/cooperativeFleet.js";

interface RawCallOptions {
    readonly method?: string;
    /** @default "1.1" */
    readonly httpVersion?: "1.0" | "1.1";
    readonly headers: Readonly<Record<string, string>>;
    /** Called with the bytes that have arrived, after each part of them. */
    readonly onBytes?: (received: string) => void;
    /** Ends the call once the response is complete by its framing, since its connection is kept. @default false */
    readonly isKept?: boolean;
}

interface RawResponse {
    readonly status: number;
    /** Status line and headers in lower case. */
    readonly head: string;
    /** Body without the frames of its chunks. */
    readonly body: string;
    /** True if a caller may take the response for a whole one. */
    readonly looksComplete: boolean;
    readonly ending: "closed" | "reset" | "complete";
}

const HEAD_END = "\r\n\r\n";
const EVENT_END = "\n\n";
const LAST_CHUNK = "0\r\n\r\n";

/** Sends a request on a connection of its own and reads the bytes of the response, framing included, until they end. */
export function sendRaw(
    fleet: CooperativeFleet,
    path: string,
    options: RawCallOptions,
): Promise<RawResponse> {
    const { method = "POST", httpVersion = "1.1", headers, onBytes, isKept = false } = options;
    const [instance] = fleet.instances;
    const { hostname, port } = new URL(instance ? fleet.getUrls(instance).callers : "");
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
    return new Promise(resolve => {
        const socket = connect(Number(port), hostname);
        let received = "";
        let ending: RawResponse["ending"] = "closed";
        socket.write(`${method} ${path} HTTP/${httpVersion}\r\n${lines}Content-Length: 0\r\n\r\n`);
        socket.on("data", data => {
            received += data.toString("latin1");
            onBytes?.(received);
            if (isKept && parseResponse(received, method, "reset").looksComplete) {
                ending = "complete";
                socket.destroy();
            }
        });
        socket.on("error", () => ending = "reset");
        socket.on("close", () => resolve(parseResponse(received, method, ending)));
    });
}

function parseResponse(received: string, method: string, ending: RawResponse["ending"]): RawResponse {
    const headEnd = received.indexOf(HEAD_END);
    const head = received.slice(0, Math.max(0, headEnd)).toLowerCase();
    const rest = headEnd < 0 ? "" : received.slice(headEnd + HEAD_END.length);
    const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
    const isChunked = /\r\ntransfer-encoding: chunked/.test(head);
    const isComplete = (): boolean => {
        if (method === "HEAD") {
            return true;
        }
        if (isChunked) {
            return rest.endsWith(LAST_CHUNK);
        }
        if (length !== undefined) {
            return rest.length === Number(length);
        }
        const isStream = head.includes("text/event-stream");
        return ending === "closed" && (!isStream || rest.endsWith(EVENT_END));
    };
    return {
        status: Number(head.split(" ")[1] ?? 0),
        head,
        body: isChunked ? joinChunks(rest) : rest,
        looksComplete: headEnd >= 0 && isComplete(),
        ending,
    };
}

function joinChunks(text: string): string {
    let body = "";
    for (let at = 0; at < text.length;) {
        const sizeEnd = text.indexOf("\r\n", at);
        const size = Number.parseInt(text.slice(at, sizeEnd), 16);
        if (sizeEnd < 0 || !(size > 0)) {
            break;
        }
        body += text.slice(sizeEnd + 2, sizeEnd + 2 + size);
        at = sizeEnd + 2 + size + 2;
    }
    return body;
}

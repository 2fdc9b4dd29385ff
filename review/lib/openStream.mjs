import { connect } from "node:net";

const HEAD_END = "\r\n\r\n";
const VERSION_PATTERN = / of version (\S+)/g;
const ID_PATTERN = /(?:^|\n)id: ?(\d+)/g;

/**
 * Opens a stream as a client of the pages does, on a new connection, and reads its events. It ends when the answer is
 * complete, when the connection ends, or after a gap of `gapMs` without an event, when the client closes the connection. The
 * result has the status, the headers, the numbers of the events, and `ending`: `complete`, `closed`, `reset` or `abandoned`.
 */
export function openStream({ host, port, path, headers, body = "", gapMs }) {
    return new Promise(resolve => {
        const socket = connect({ host, port });
        const lines = Object.entries({ ...headers, "Content-Length": Buffer.byteLength(body) })
            .map(([name, value]) => `${name}: ${value}\r\n`).join("");
        socket.write(`POST ${path} HTTP/1.1\r\n${lines}\r\n${body}`);
        let received = "";
        let ending = "open";
        let eventCount = 0;
        const abandon = () => {
            ending = "abandoned";
            socket.destroy();
        };
        let gapTimer = setTimeout(abandon, gapMs);
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            const count = received.split("\n\n").length - 1;
            if (count > eventCount) {
                eventCount = count;
                clearTimeout(gapTimer);
                gapTimer = setTimeout(abandon, gapMs);
            }
            if (isComplete(received)) {
                ending = "complete";
                socket.destroy();
            }
        });
        socket.on("end", () => ending = ending === "open" ? "closed" : ending);
        socket.on("error", () => ending = "reset");
        socket.on("close", () => {
            clearTimeout(gapTimer);
            resolve({ ...parseStream(received), ending });
        });
    });
}

function isComplete(text) {
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd < 0) {
        return false;
    }
    const head = text.slice(0, headEnd).toLowerCase();
    const length = /\r\ncontent-length: ?(\d+)/.exec(head);
    return length
        ? text.length >= headEnd + HEAD_END.length + Number(length[1])
        : head.includes("transfer-encoding: chunked") && text.endsWith("\r\n0\r\n\r\n");
}

/** The events of the stand-ins' streams hold no line that looks like the frame of a chunk. */
function parseStream(text) {
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd < 0) {
        return { status: 0, retryAfter: undefined, events: [], versions: [] };
    }
    const head = text.slice(0, headEnd);
    const body = text.slice(headEnd + HEAD_END.length).replace(/\r\n[0-9a-f]+\r\n/gi, "")
        .replace(/^[0-9a-f]+\r\n/i, "");
    const whole = body.slice(0, body.lastIndexOf("\n\n") + 1);
    return {
        status: Number(head.split(" ")[1]),
        retryAfter: /\r\nretry-after: ?([\d.]+)/i.exec(head)?.[1],
        events: [...whole.matchAll(ID_PATTERN)].map(([, id]) => Number(id)),
        /** Software versions of the servers that have made the events. */
        versions: [...new Set([...whole.matchAll(VERSION_PATTERN)].map(([, version]) => version))],
    };
}

import { connect } from "node:net";

const HEAD_END = "\r\n\r\n";

/**
 * Sends one request on a new connection and reads until the connection has ended. The result has the status, the headers and
 * the raw body, and `ending`: `closed` if the connection ended in order, `reset` if it was reset.
 */
export function sendRequest({ host, port, method = "POST", path, headers, body = "" }) {
    return new Promise(resolve => {
        const socket = connect({ host, port });
        let received = "";
        let ending = "open";
        const lines = Object.entries({ ...headers, "Content-Length": Buffer.byteLength(body) })
            .map(([name, value]) => `${name}: ${value}\r\n`).join("");
        socket.write(`${method} ${path} HTTP/1.1\r\n${lines}\r\n${body}`);
        socket.on("data", chunk => received += chunk.toString("latin1"));
        socket.on("end", () => ending = "closed");
        socket.on("error", error => ending = error.code === "ECONNRESET" ? "reset" : error.code);
        socket.on("close", () => resolve({ ...parseResponse(received), ending }));
    });
}

function parseResponse(text) {
    const headEnd = text.indexOf(HEAD_END);
    if (headEnd < 0) {
        return { status: 0, headers: {}, body: "" };
    }
    const [statusLine, ...lines] = text.slice(0, headEnd).split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const [name, ...rest] = line.split(":");
        return [name.toLowerCase(), rest.join(":").trim()];
    }));
    return {
        status: Number(statusLine.split(" ")[1]),
        headers,
        body: text.slice(headEnd + HEAD_END.length),
    };
}

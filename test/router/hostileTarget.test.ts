import test, { type ExecutionContext } from "ava";
import { EventEmitter, once } from "node:events";
import type { ServerResponse } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { MemoryBudget } from "../../src/core/memory/memoryBudget.js";
import { BufferedBody } from "../../src/router/bufferedBody.js";
import { EventStreamSplitter } from "../../src/router/eventStreamSplitter.js";
import { TargetAgent } from "../../src/router/targetAgent.js";
import { TargetExchange } from "../../src/router/targetExchange.js";

const CHUNK = Buffer.alloc(65_536, "x");
const HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: ";

interface Outcome {
    readonly result: string;
    readonly body: string;
    readonly bytes: number;
}

/** Starts a target that answers each connection with a function and returns its address. */
async function startTarget(
    t: ExecutionContext,
    serve: (socket: Socket, request: string) => void,
): Promise<string> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", data => serve(socket, data.toString()));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => server.close());
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function createAgent(t: ExecutionContext): TargetAgent {
    const agent = TargetAgent.create(5000);
    t.teardown(() => agent.destroy());
    return agent;
}

function send(
    address: string,
    agent: TargetAgent,
    requestId: string,
    onHead: (exchange: TargetExchange) => void = () => undefined,
): Promise<Outcome> {
    return new Promise(resolve => {
        let body = "";
        let bytes = 0;
        const end = (result: string): void => resolve({ result, body, bytes });
        const exchange: TargetExchange = TargetExchange.create({
            address,
            agent,
            outgoing: {
                method: "GET",
                path: "/",
                headers: ["Host", "h", "Request-Id", requestId],
                body: undefined,
            },
            onHead: response => {
                if (response.headers["request-id"] !== requestId) {
                    exchange.abort();
                    end("mismatched");
                    return;
                }
                onHead(exchange);
            },
            onData: chunk => {
                bytes += chunk.length;
                body += chunk.length < 1000 ? chunk.toString() : "";
            },
            onEnd: () => end("complete"),
            onFail: reason => end(reason),
        });
    });
}

/** Writes the same bytes until the caller closes the connection; resolves with the number of bytes taken. */
function writeWithoutEnd(socket: Socket, chunk: Buffer): Promise<number> {
    return new Promise(resolve => {
        const write = (): void => {
            while (!socket.destroyed && socket.write(chunk)) {
                // The loop ends when the send buffer is full.
            }
        };
        socket.on("drain", write);
        socket.on("close", () => resolve(socket.bytesWritten));
        write();
    });
}

test("bytes without end: closes the connection of a target whose head, empty lines before it, interim responses, chunk extension or trailer never end", async t => {
    t.timeout(20_000, "a response without end is still being read");
    const openings = {
        head: [`${HEAD}1\r\nX: `, CHUNK],
        interim: ["", Buffer.from("HTTP/1.1 100 Continue\r\n\r\n".repeat(100))],
        extension: [`${HEAD}1\r\nTransfer-Encoding: chunked\r\n\r\n1;a=`, CHUNK],
        trailer: [`${HEAD}1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX: `, CHUNK],
        garbage: ["", CHUNK],
        // The parser skips them, so that they are no error and never become a head.
        emptyLines: ["", Buffer.from("\r\n".repeat(CHUNK.length / 2))],
    } as const;
    for (const [name, [opening, chunk]] of Object.entries(openings)) {
        let taken: Promise<number> | undefined;
        const address = await startTarget(t, socket => {
            socket.write(opening);
            taken ??= writeWithoutEnd(socket, chunk);
        });
        const { result, bytes } = await send(address, createAgent(t), "1");
        t.not(result, "complete", name);
        t.true(bytes <= 1, name);
        // What the operating system buffers between the two is not read.
        t.true((await taken ?? 0) < 32_000_000, name);
    }
});

test("bytes without end: reads no more than a limit of a response that is not needed", async t => {
    let taken: Promise<number> | undefined;
    const address = await startTarget(t, socket => {
        socket.write(`${HEAD}1\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n`);
        taken ??= writeWithoutEnd(
            socket,
            Buffer.concat([Buffer.from("10000\r\n"), CHUNK, Buffer.from("\r\n")]),
        );
    });
    await new Promise<void>(resolve => {
        void send(address, createAgent(t), "1", exchange => {
            exchange.drain();
            resolve();
        });
    });
    t.true((await taken ?? 0) < 32_000_000);
});

test("refused request: keeps a connection whose short response is drained", async t => {
    let connections = 0;
    const sockets = new Set<Socket>();
    const address = await startTarget(t, (socket, request) => {
        connections += sockets.has(socket) ? 0 : 1;
        sockets.add(socket);
        const id = /Request-Id: (\d+)/.exec(request)?.[1] ?? "";
        socket.write(`${HEAD}${id}\r\nContent-Length: 4\r\n\r\nbusy`);
    });
    const agent = createAgent(t);
    await new Promise<void>(resolve => {
        void send(address, agent, "1", exchange => {
            exchange.drain();
            resolve();
        });
    });
    await new Promise(resolve => setTimeout(resolve, 50));
    t.is((await send(address, agent, "2")).result, "complete");
    t.is(connections, 1);
});

test("bytes without end: a stream that completes no event exceeds its limit instead of the memory", t => {
    const splitter = EventStreamSplitter.create();
    splitter.push(CHUNK);
    t.is(splitter.partialBytes, CHUNK.length);
    const budget = MemoryBudget.create(CHUNK.length);
    const response = new EventEmitter();
    const body = BufferedBody.create(budget, response as unknown as ServerResponse);
    let isWithinLimit = true;
    for (let i = 0; i < 8 && isWithinLimit; i += 1) {
        isWithinLimit = body.append(CHUNK);
    }
    t.false(isWithinLimit);
    response.emit("close");
    t.is(budget.usedBytes, 0);
});

// Guards against responses in tiny pieces that take a multiple of what counts for the budget.
test("a response in pieces of one byte counts as much as it holds, until the caller has read it", t => {
    const budget = MemoryBudget.create(CHUNK.length);
    const response = new EventEmitter();
    const body = BufferedBody.create(budget, response as unknown as ServerResponse);
    for (let i = 0; i < 5000; i += 1) {
        body.append(Buffer.from([i % 251]));
    }
    t.is(budget.usedBytes, 8192);
    t.deepEqual(body.take().map(part => part.length), [5000]);
    response.emit("close");
    t.is(budget.usedBytes, 0);
});

test("late second answer: no caller gets an answer that is not its own, wherever the extra bytes are split", async t => {
    const second = `${HEAD}1\r\nContent-Length: 5\r\n\r\nfirst`;
    for (let split = 0; split <= second.length; split += 1) {
        let requests = 0;
        const address = await startTarget(t, (socket, request) => {
            requests += 1;
            const id = /Request-Id: (\d+)/.exec(request)?.[1] ?? "";
            const answer = `${HEAD}${id}\r\nContent-Length: 5\r\n\r\n${id === "1" ? "first" : "other"}`;
            if (id === "1") {
                socket.write(answer + second.slice(0, split));
                return;
            }
            socket.write(requests === 2 ? second.slice(split) + answer : answer);
        });
        const agent = createAgent(t);
        const first = await send(address, agent, "1");
        t.is(first.result === "complete" ? first.body : "first", "first");
        const next = await send(address, agent, "2");
        t.not(next.body, "first", String(split));
        t.true(next.result !== "complete" || next.body === "other", `${split} ${next.result} ${next.body}`);
        agent.destroy();
    }
});

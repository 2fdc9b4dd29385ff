import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { platformWireFormat } from "../../src/platform/platformWireFormat.js";
import { CheckedExchange } from "../../src/router/checkedExchange.js";

const TARGET = { id: "t", address: "127.0.0.1:1" };

/** Sends a request to a target that answers the question with a function. Returns what was called, and the connections. */
async function sendChecked(
    t: ExecutionContext,
    answer: (response: ServerResponse, connection: number) => void,
): Promise<{ readonly calls: readonly string[]; readonly requests: readonly string[]; }> {
    const requests: string[] = [];
    const connections = new Map<unknown, number>();
    const server = createServer((request, response) => {
        const connection = connections.get(request.socket) ?? 0;
        requests.push(`${request.url ?? ""} on ${connection}`);
        if (request.url === "/report") {
            answer(response, connection);
        }
        else {
            response.end("done");
        }
    });
    server.on("connection", socket => connections.set(socket, connections.size + 1));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => {
        server.close();
        server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    const calls: string[] = [];
    await new Promise<void>(resolve => {
        const end = (call: string): void => {
            calls.push(call);
            resolve();
        };
        CheckedExchange.create({
            address: `127.0.0.1:${port}`,
            question: platformWireFormat.buildStartQuestion(TARGET),
            outgoing: { method: "POST", path: "/x", headers: ["Host", "h"], body: Buffer.from("b") },
            readStart: body => platformWireFormat.readStart(body),
            isAccepted: startMs => {
                calls.push(`start ${startMs ?? "unnamed"}`);
                return startMs !== 2000;
            },
            runGuarded: run => run(),
            onRefused: reason => end(`refused ${reason}`),
            onHead: head => calls.push(`head ${head.statusCode ?? 0}`),
            onData: data => calls.push(data.toString()),
            onEnd: () => end("end"),
            onFail: (reason, isWritten) => end(`fail ${reason} ${isWritten ? "written" : "unwritten"}`),
        });
    });
    return { calls, requests };
}

// Another process may answer on another connection.
test("sends the request on the connection on which the process has named its start", async t => {
    const { calls, requests } = await sendChecked(t, response => response.end('{"born":1000}'));
    t.deepEqual(calls, ["start 1000", "head 200", "done", "end"]);
    t.deepEqual(requests, ["/report on 1", "/x on 1"]);
});

test("does not send the request to a process with another start, or to another target", async t => {
    const restarted = await sendChecked(t, response => response.end('{"born":2000}'));
    t.deepEqual(restarted.calls, ["start 2000", "refused restarted"]);
    t.deepEqual(restarted.requests, ["/report on 1"]);
    const other = await sendChecked(t, response => response.writeHead(421).end());
    t.deepEqual(other.calls, ["refused misdirected"]);
});

test("takes an answer without a readable start for one that names none", async t => {
    for (const body of ["", "{", "null", "[1]", '{"born":"1000"}', '{"born":1.5}', '{"born":0}']) {
        const { calls } = await sendChecked(t, response => response.end(body));
        t.is(calls[0], "start unnamed", body);
    }
    const { calls } = await sendChecked(t, response => response.writeHead(404).end('{"born":2000}'));
    t.is(calls[0], "start unnamed");
});

// Targets occasionally close a connection after a response; the request must not go on another one without a question.
test("asks again on the next connection if a target closes one after its answer", async t => {
    const { calls, requests } = await sendChecked(
        t,
        (response, connection) =>
            response.writeHead(200, connection === 1 ? { Connection: "close" } : {}).end('{"born":1000}'),
    );
    t.deepEqual(calls, ["start 1000", "start 1000", "head 200", "done", "end"]);
    t.deepEqual(requests, ["/report on 1", "/report on 2", "/x on 2"]);
    const closing = await sendChecked(
        t,
        response => response.writeHead(200, { Connection: "close" }).end('{"born":1000}'),
    );
    t.regex(closing.calls.at(-1) ?? "", /^fail .* unwritten$/);
    t.deepEqual(closing.requests, ["/report on 1", "/report on 2", "/report on 3"]);
});

test("does not read a report without end", async t => {
    const chunk = Buffer.alloc(65_536, " ");
    const { calls } = await sendChecked(t, response => {
        const write = (): void => {
            while (!response.destroyed && response.write(chunk)) {
                // The reader closes the connection.
            }
        };
        response.on("drain", write);
        write();
    });
    t.deepEqual(calls, ["fail report-too-long unwritten"]);
});

import test, { type ExecutionContext } from "ava";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { request } from "undici";
import { RoutePage } from "../../../src/shared/explain/routePage.js";

const KEY = "key-that-nobody-may-see";
const EXPLANATION = {
    instance: "i",
    dataCentre: "a",
    notReady: [],
    route: undefined,
    account: undefined,
    refusal: undefined,
    services: [],
};

async function startPage(
    t: ExecutionContext,
    options: Partial<Parameters<typeof RoutePage.create>[0]> = {},
): Promise<{ readonly port: number; readonly results: string[]; }> {
    const results: string[] = [];
    const page = RoutePage.create({
        explain: () => EXPLANATION,
        onAnswered: result => results.push(result),
        onError: () => undefined,
        ...options,
    });
    const server = createServer((incoming, response) => void page.serve(incoming, response));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    return { port: (server.address() as AddressInfo).port, results };
}

async function sendPost(
    port: number,
    body: string,
    url = "/explain/route",
): Promise<readonly [number, string]> {
    const response = await request(`http://127.0.0.1:${port}${url}`, { method: "POST", body });
    return [response.statusCode, await response.body.text()];
}

// Guards against a key in an answer, which operators copy into tickets.
test("names the faults of a query without its values", async t => {
    const { port, results } = await startPage(t);
    const queries: readonly object[] = [
        { host: "h", path: "/", [KEY]: 1 },
        { host: "h", path: "/", key: [KEY] },
        { host: "h", path: KEY },
        { host: "h", path: "/", account: "a", key: KEY },
        { path: "/", key: KEY },
    ];
    for (const query of queries) {
        const [status, text] = await sendPost(port, JSON.stringify(query));
        t.deepEqual([status, text.includes(KEY)], [400, false], text);
    }
    t.regex((await sendPost(port, JSON.stringify(queries[1])))[1], /key: /);
    t.is((await sendPost(port, `{"host": "${KEY}`))[1].includes(KEY), false);
    t.deepEqual([...new Set(results)], ["bad-input"]);
});

// Guards against a key in the access logs and histories that keep URLs.
test("refuses a query in the URL and any method but POST", async t => {
    const { port } = await startPage(t);
    const [status, text] = await sendPost(port, "{}", `/explain/route?key=${KEY}`);
    t.deepEqual([status, text.includes(KEY)], [400, false]);
    t.is((await request(`http://127.0.0.1:${port}/explain/route`)).statusCode, 405);
});

// Guards against memory that grows with the body of a request.
test("refuses a body beyond its limit", async t => {
    const { port } = await startPage(t);
    t.is((await sendPost(port, " ".repeat(16_385)))[0], 413);
});

// Guards against bodies that never end, which would keep the page from operators.
test("gives up on bodies that do not end, and answers again afterwards", async t => {
    const { port, results } = await startPage(t, { bodyTimeoutMs: 50 });
    const sockets = [1, 2].map(() => connect(port, "127.0.0.1"));
    const answers = sockets.map(socket =>
        new Promise<string>(resolve => socket.once("data", data => resolve(data.toString())))
    );
    sockets.forEach(socket =>
        socket.write("POST /explain/route HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n{")
    );
    t.deepEqual((await Promise.all(answers)).map(text => text.slice(9, 12)), ["408", "408"]);
    t.is((await sendPost(port, JSON.stringify({ host: "h", path: "/" })))[0], 200);
    t.deepEqual(results, ["bad-input", "bad-input", "answered"]);
});

// Guards against an error in one explanation that ends the process or the connection without a status.
test("answers 500 if the explanation fails", async t => {
    const { port, results } = await startPage(t, {
        explain: () => {
            throw new Error(KEY);
        },
    });
    const [status, text] = await sendPost(port, JSON.stringify({ host: "h", path: "/" }));
    t.deepEqual([status, text.includes(KEY), results], [500, false, ["internal-error"]]);
});

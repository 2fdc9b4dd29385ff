import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import type { LinkFault } from "../../../src/standIns/faultProxy/linkFault.js";
import { ChildProcess } from "../../../src/testing/childProcess.js";
import { sendControl } from "../../../src/testing/sendControl.js";
import { waitUntil } from "../../../src/testing/waitUntil.js";

interface LinkHarness {
    readonly open: () => Promise<Client>;
    readonly control: (path: string, body: object) => Promise<unknown>;
    readonly setFault: (fault: LinkFault) => Promise<unknown>;
    readonly read: () => Promise<
        { connections: number[]; forwardBytes: number; backwardBytes: number; droppedBytes: number; }
    >;
    /** Everything that the target received, over all connections, in order. */
    readonly received: () => string;
}

interface Client {
    readonly socket: Socket;
    readonly text: () => string;
    readonly closed: () => boolean;
}

/** Starts a link to a target that returns each chunk in upper case. */
async function startLink(t: ExecutionContext): Promise<LinkHarness> {
    let received = "";
    const target = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            received += String(chunk);
            socket.write(String(chunk).toUpperCase());
        });
    });
    await once(target.listen(0, "127.0.0.1"), "listening");
    const proxy = await ChildProcess.create(
        new URL("../../../src/standIns/faultProxy/main.js", import.meta.url),
        [],
    );
    const sockets: Socket[] = [];
    t.teardown(async () => {
        sockets.forEach(socket => socket.destroy());
        target.close();
        await proxy.stop("SIGKILL");
    });
    const control = (path: string, body: object): Promise<unknown> =>
        sendControl(proxy.address, "POST", path, body);
    const links = await control("links", {
        targets: { link: `127.0.0.1:${(target.address() as AddressInfo).port}` },
    }) as { link: { address: string; }; };
    return {
        control,
        received: () => received,
        setFault: fault => control("faults", { links: ["link"], fault }),
        read: async () => (await sendControl<{ link: never; }>(proxy.address, "GET", "links")).link,
        open: async () => {
            const socket = connect(Number(links.link.address.split(":")[1]), "127.0.0.1");
            sockets.push(socket);
            let text = "";
            let closed = false;
            socket.on("data", chunk => text += String(chunk));
            socket.on("error", () => undefined);
            socket.on("close", () => closed = true);
            await new Promise(resolve => socket.once("connect", resolve).once("close", resolve));
            return { socket, text: () => text, closed: () => closed };
        },
    };
}

async function send(client: Client, text: string): Promise<void> {
    client.socket.write(text);
    await waitUntil(`the response to ${text}`, () => client.text().endsWith(text.toUpperCase()));
}

test("a link without fault forwards bytes and counts them in both directions", async t => {
    const link = await startLink(t);
    await send(await link.open(), "hello");
    t.like(await link.read(), { forwardBytes: 5, backwardBytes: 5 });
});

test("a cut link resets open and new connections until the fault is cleared", async t => {
    const link = await startLink(t);
    const client = await link.open();
    await send(client, "a");
    await link.setFault({ mode: "cut" });
    await waitUntil("the connection is reset", client.closed);
    await waitUntil("a new connection is reset", (await link.open()).closed);
    await link.setFault({});
    await send(await link.open(), "b");
    t.is(link.received(), "ab");
});

test("a half-open link accepts connections, forwards nothing and resets them when it heals", async t => {
    const link = await startLink(t);
    await link.setFault({ mode: "halfOpen" });
    const client = await link.open();
    client.socket.write("lost");
    await waitUntil("the bytes are lost", async () => (await link.read()).droppedBytes === 4);
    t.false(client.closed());
    await link.setFault({});
    await waitUntil("the connection is reset", client.closed);
    t.is(link.received(), "");
    await send(await link.open(), "b");
});

test("a one-way loss forwards requests and drops responses", async t => {
    const link = await startLink(t);
    const client = await link.open();
    await link.setFault({ backward: "drop" });
    client.socket.write("a");
    await waitUntil("the target has the request", () => link.received() === "a");
    await waitUntil("the response is lost", async () => (await link.read()).droppedBytes === 1);
    t.like(await link.read(), { forwardBytes: 1, backwardBytes: 0 });
    t.is(client.text(), "");
});

test("a delay applies to each direction", async t => {
    const link = await startLink(t);
    const client = await link.open();
    await link.setFault({ delayMs: 100 });
    const start = performance.now();
    await send(client, "a");
    t.true(performance.now() - start >= 199);
});

test("a link holds what follows the given bytes from the target, on each connection, until it is released", async t => {
    const link = await startLink(t);
    const clients = [await link.open(), await link.open()];
    await send(clients[0] as Client, "earlier");
    await link.setFault({ holdAfterBytes: 4 });
    clients.forEach(({ socket }) => socket.write("question"));
    await waitUntil("both requests have arrived", () => link.received() === "earlierquestionquestion");
    await waitUntil(
        "the bytes before the silence are forwarded",
        () => clients.every(client => client.text().endsWith("QUES")),
    );
    await new Promise(resolve => setTimeout(resolve, 100));
    t.deepEqual(clients.map(client => [client.text(), client.closed()]), [["EARLIERQUES", false], [
        "QUES",
        false,
    ]]);
    await link.setFault({});
    await waitUntil(
        "the rest is forwarded",
        () => clients.every(client => client.text().endsWith("QUESTION")),
    );
    t.deepEqual(clients.map(client => client.text()), ["EARLIERQUESTION", "QUESTION"]);
});

test("a connection is reset after the given bytes from the target, and by a control call", async t => {
    const link = await startLink(t);
    await link.setFault({ resetAfterBytes: 4 });
    const client = await link.open();
    await send(client, "abc");
    client.socket.write("def");
    await waitUntil("the connection is reset", client.closed);
    await link.setFault({});
    const other = await link.open();
    await send(other, "x");
    await link.control("resets", { links: ["link"] });
    await waitUntil("the connection is reset by the control call", other.closed);
    t.is(link.received(), "abcdefx");
});

test("the bytes of one connection can be held while another connection forwards", async t => {
    const link = await startLink(t);
    const first = await link.open();
    await send(first, "1");
    const [id] = (await link.read()).connections;
    const second = await link.open();
    t.deepEqual(
        await link.control("holds", { links: ["link"], connection: id, held: true }),
        { found: true },
    );
    first.socket.write("a");
    await send(second, "b");
    t.is(link.received(), "1b");
    await link.control("holds", { links: ["link"], connection: id, held: false });
    await waitUntil("the held bytes arrive", () => link.received() === "1ba");
});

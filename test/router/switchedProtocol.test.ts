import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { TargetAgent } from "../../src/router/targetAgent.js";
import { TargetExchange } from "../../src/router/targetExchange.js";

// Node.js closes the connection without an event that the exchange listened to, so that the attempt never ended.
test("fails if the target switches protocols, which no request asks for", async t => {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on(
            "data",
            () =>
                socket.write("HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"),
        );
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    const agent = TargetAgent.create(5000);
    t.teardown(() => {
        agent.destroy();
        server.close();
    });
    const outcome = await new Promise<string>(resolve => {
        setTimeout(() => resolve("open"), 1000);
        TargetExchange.create({
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            agent,
            outgoing: { method: "GET", path: "/", headers: ["Host", "h"], body: undefined },
            onHead: () => undefined,
            onData: () => undefined,
            onEnd: () => resolve("ended"),
            onFail: () => resolve("failed"),
        });
    });
    t.is(outcome, "failed");
});

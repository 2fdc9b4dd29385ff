import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { AcceptQueue } from "../../src/shared/acceptQueue.js";

const CONNECTIONS = 50;

// Guards against a queue that fills up while requests are served: each turn of the event loop accepts one connection, and the
// others wait, until the process closes the listening socket and the operating system resets them.
test("reads from no connection before all that wait in the queue of the operating system are accepted", async t => {
    let accepted = 0;
    const acceptedAtRequest: number[] = [];
    const server = createServer((_incoming, response) => {
        acceptedAtRequest.push(accepted);
        response.end();
    });
    server.on("connection", () => accepted += 1);
    // A clock that stands still: the longest wait does not pass.
    AcceptQueue.create(server, { maxUnread: CONNECTIONS + 1, getNow: () => 0 });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => server.close());
    const { port } = server.address() as AddressInfo;
    const closed = Array.from({ length: CONNECTIONS }, () => {
        const socket = connect(port, "127.0.0.1");
        socket.resume();
        socket.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return once(socket, "close");
    });
    await Promise.all(closed);
    t.deepEqual(acceptedAtRequest, Array.from({ length: CONNECTIONS }, () => CONNECTIONS));
});

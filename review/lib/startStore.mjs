import { createServer } from "node:http";

const MAX_PAGE_ITEMS = 500;

/** Starts a stand-in of the platform's metadata store: reads and watches over HTTP, writes by method calls. */
export async function startStore() {
    const items = new Map();
    let events = [];
    let revision = 1;
    let waiting = [];
    let era = 1;
    let isAway = false;
    let firstRevision = 0;
    const listSince = after => events.filter(event => event.revision > after);
    const server = createServer((request, response) => {
        if (isAway) {
            request.socket.destroy();
            return;
        }
        response.setHeader("Store-Era", String(era));
        const { pathname, searchParams } = new URL(request.url, "http://store");
        const after = searchParams.get("after") ?? "";
        const prefix = searchParams.get("pathPrefix") ?? "";
        if (pathname === "/kv-range") {
            const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
                .sort((a, b) => (a.key < b.key ? -1 : 1));
            const page = found.slice(0, MAX_PAGE_ITEMS);
            sendJson(response, { items: page, hasMore: found.length > page.length, at: revision });
            return;
        }
        if (pathname !== "/kv-watch") {
            response.writeHead(404).end();
            return;
        }
        if (Number(after) > revision || Number(after) < firstRevision) {
            response.writeHead(410).end();
            return;
        }
        const sendEvents = () => sendJson(response, { events: listSince(Number(after)), at: revision });
        if (Number(after) < revision) {
            sendEvents();
            return;
        }
        const watch = { sendEvents, timer: setTimeout(sendEvents, Number(searchParams.get("waitMs"))) };
        response.on("close", () => {
            clearTimeout(watch.timer);
            waiting = waiting.filter(other => other !== watch);
        });
        waiting.push(watch);
    });
    const appendEvent = event => {
        events = [...events, event];
        waiting.splice(0).forEach(({ sendEvents, timer }) => {
            clearTimeout(timer);
            sendEvents();
        });
    };
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${server.address().port}`,
        write: (key, value) => {
            revision += 1;
            const text = Buffer.from(JSON.stringify(value)).toString("base64");
            const created = items.get(key)?.created ?? revision;
            const item = { key, value: text, revision, created, lease: 0 };
            items.set(key, item);
            appendEvent(item);
        },
        remove: key => {
            revision += 1;
            items.delete(key);
            appendEvent({ key, revision, tombstone: true });
        },
        /** Copies the contents, to come back from. */
        exportCopy: () => ({ items: [...items], revision }),
        /** Breaks off all calls until `recover`. */
        stop: () => {
            isAway = true;
            waiting = [];
            server.closeAllConnections();
        },
        /** Comes back from a copy: later changes are lost, and their revisions are given out again. */
        recover: copy => {
            items.clear();
            copy.items.forEach(([key, item]) => items.set(key, item));
            revision = copy.revision;
            firstRevision = copy.revision;
            events = [];
            era += 1;
            isAway = false;
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

function sendJson(response, body) {
    response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(body));
}

import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

interface StoredItem {
    readonly key: string;
    readonly revision: number;
    readonly value: string;
}

interface StoreEvent {
    readonly key: string;
    readonly revision: number;
    readonly value?: string;
    readonly tombstone?: true;
}

/** Contents at one moment, from which the store can be restored. */
interface StoreCopy {
    readonly items: readonly StoredItem[];
    readonly revision: number;
}

interface WaitingWatch {
    readonly after: number;
    readonly response: ServerResponse;
    readonly timer: NodeJS.Timeout;
}

type StoreMode = "ok" | "silent" | "busy" | "reset";

const MAX_PAGE_ITEMS = 50;

/** Stand-in of the cooperative's store: reads and watches over HTTP, writes by method calls of the test. */
export class CooperativeStore {
    readonly #server: Server;
    readonly #items = new Map<string, StoredItem>();
    #events: StoreEvent[] = [];
    #firstRevision = 0;
    #revision = 1;
    #followedRevision = 0;
    #era = 1;
    #eraHeader: string | undefined = "1";
    #mode: StoreMode = "ok";
    #waiting: WaitingWatch[] = [];

    private constructor() {
        this.#server = createServer((request, response) => this.#serve(request, response));
    }

    /** Starts an empty store on a free port. */
    static async create(): Promise<CooperativeStore> {
        const store = new CooperativeStore();
        await new Promise<void>(resolve => store.#server.listen(0, "127.0.0.1", resolve));
        return store;
    }

    /** host:port. */
    get address(): string {
        return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
    }

    /** True if a watch has gone on from the newest change, so that its caller has applied all changes. */
    get isFollowed(): boolean {
        return this.#followedRevision >= this.#revision;
    }

    /** Sets how the store responds from now on. Every mode except `ok` also breaks off the waiting watches. */
    setMode(mode: StoreMode): void {
        this.#mode = mode;
        if (mode !== "ok") {
            this.#waiting.splice(0).forEach(watch => {
                clearTimeout(watch.timer);
                watch.response.destroy();
            });
        }
    }

    /** Writes a value: a string as it is, anything else as JSON. */
    write(key: string, value: unknown): void {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        this.#revision += 1;
        const item = { key, revision: this.#revision, value: Buffer.from(text).toString("base64") };
        this.#items.set(key, item);
        this.#appendEvent(item);
    }

    /** Removes a key. */
    remove(key: string): void {
        this.#revision += 1;
        this.#items.delete(key);
        this.#appendEvent({ key, revision: this.#revision, tombstone: true });
    }

    /** Discards the events so far, so that watches from an earlier revision get status 410. */
    dropHistory(): void {
        this.#events = [];
        this.#firstRevision = this.#revision;
    }

    /** Copies the contents. */
    exportCopy(): StoreCopy {
        return { items: [...this.#items.values()], revision: this.#revision };
    }

    /** Goes back to a copy: later changes are lost, their revisions are given out again, and the era rises. */
    recover(copy: StoreCopy): void {
        this.#items.clear();
        copy.items.forEach(item => this.#items.set(item.key, item));
        this.#revision = copy.revision;
        this.#followedRevision = 0;
        this.#events = this.#events.filter(event => event.revision <= copy.revision);
        this.#era += 1;
        this.#eraHeader = String(this.#era);
    }

    /** Sets the `Store-Era` header of all responses until the store is restored; `undefined` leaves it out. */
    setEraHeader(value: string | undefined): void {
        this.#eraHeader = value;
    }

    /** Closes the store. */
    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    #appendEvent(event: StoreEvent): void {
        this.#events.push(event);
        this.#waiting.splice(0).forEach(watch => {
            clearTimeout(watch.timer);
            this.#sendEvents(watch.after, watch.response);
        });
    }

    #serve(request: IncomingMessage, response: ServerResponse): void {
        if (this.#mode === "silent") {
            return;
        }
        if (this.#mode === "reset") {
            request.socket.resetAndDestroy();
            return;
        }
        if (this.#mode === "busy") {
            response.writeHead(503).end();
            return;
        }
        if (this.#eraHeader !== undefined) {
            response.setHeader("Store-Era", this.#eraHeader);
        }
        const url = new URL(request.url ?? "/", "http://store");
        if (url.pathname === "/kv-range") {
            this.#sendRange(url.searchParams, response);
            return;
        }
        const after = Number(url.searchParams.get("after"));
        this.#followedRevision = Math.max(this.#followedRevision, after);
        if (after < this.#firstRevision || after > this.#revision) {
            response.writeHead(410).end();
            return;
        }
        if (after < this.#revision) {
            this.#sendEvents(after, response);
            return;
        }
        const timer = setTimeout(() => {
            this.#waiting = this.#waiting.filter(watch => watch.response !== response);
            this.#sendEvents(after, response);
        }, Number(url.searchParams.get("waitMs")));
        this.#waiting.push({ after, response, timer });
    }

    #sendRange(query: URLSearchParams, response: ServerResponse): void {
        const prefix = query.get("pathPrefix") ?? "";
        const after = query.get("after") ?? "";
        const items = [...this.#items.values()].filter(item =>
            item.key.startsWith(prefix) && item.key > after
        )
            .sort((a, b) => (a.key < b.key ? -1 : 1));
        sendJson(response, {
            items: items.slice(0, MAX_PAGE_ITEMS),
            hasMore: items.length > MAX_PAGE_ITEMS,
            at: this.#revision,
        });
    }

    #sendEvents(after: number, response: ServerResponse): void {
        sendJson(response, {
            events: this.#events.filter(event => event.revision > after),
            at: this.#revision,
        });
    }
}

function sendJson(response: ServerResponse, body: object): void {
    response.writeHead(200, { "Content-Type": "application/json" }).end(JSON.stringify(body));
}

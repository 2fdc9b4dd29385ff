import { Agent, request as sendRequest } from "node:http";
import type { RouterSettings } from "../router/routerSettings.js";
import { StoreError } from "./storeError.js";

/** Calls the platform's store. */
export class StoreClient {
    readonly #address: RouterSettings["callers"];
    readonly #agent = new Agent({ keepAlive: true, maxSockets: 4 });

    private constructor(address: RouterSettings["callers"]) {
        this.#address = address;
    }

    /** Creates a client without connections. */
    static create(address: RouterSettings["callers"]): StoreClient {
        return new StoreClient(address);
    }

    /**
     * Reads one page.
     *
     * @throws StoreError when the store does not answer within the time, refuses the call or sends no JSON object.
     */
    read(
        path: string,
        query: Readonly<Record<string, string | number>>,
        timeoutMs: number,
    ): Promise<unknown> {
        const parameters = new URLSearchParams();
        Object.entries(query).forEach(([name, value]) => parameters.set(name, String(value)));
        return new Promise((resolve, reject) => {
            const fail = (code: string, status?: number): void => {
                clearTimeout(timer);
                reject(StoreError.create(code, status));
            };
            const request = sendRequest({
                ...this.#address,
                agent: this.#agent,
                path: `${path}?${parameters.toString()}`,
            });
            // A connection may go silent for good, so a late call takes its connection with it.
            const timer = setTimeout(() => {
                request.destroy();
                fail("timeout");
            }, timeoutMs);
            request.on("error", (error: NodeJS.ErrnoException) => fail(error.code ?? "connection-failed"));
            request.on("response", answer => {
                const chunks: Buffer[] = [];
                answer.on("data", (chunk: Buffer) => chunks.push(chunk));
                answer.on("error", (error: NodeJS.ErrnoException) => fail(error.code ?? "truncated"));
                answer.on("end", () => {
                    if (answer.statusCode !== 200) {
                        fail("status", answer.statusCode);
                        return;
                    }
                    clearTimeout(timer);
                    try {
                        resolve(JSON.parse(Buffer.concat(chunks).toString("utf8")));
                    }
                    catch {
                        fail("invalid-body");
                    }
                });
            });
            request.end();
        });
    }

    /** Closes all connections. */
    close(): void {
        this.#agent.destroy();
    }
}

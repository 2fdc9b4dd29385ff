import type { IncomingMessage, ServerResponse } from "node:http";
import { readJsonBody } from "../shared/readJsonBody.js";
import { startHttpServer } from "../shared/startHttpServer.js";

interface Versioned {
    readonly revision: number;
}

const values = new Map<string, Versioned>();
const watches = new Set<() => void>();
let calls = 0;

await startHttpServer("platform", (request, response) => {
    const url = new URL(request.url ?? "/", "http://platform");
    if (url.pathname === "/control/calls") {
        response.end(JSON.stringify({ calls }));
        return;
    }
    if (request.method === "PUT") {
        void storeValue(url.pathname, request, response);
        return;
    }
    calls += 1;
    serveValue(url, response);
});

async function storeValue(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    values.set(path.replace("/control/", "/v1/"), await readJsonBody(request) as Versioned);
    for (const notify of [...watches]) {
        notify();
    }
    response.end("{}");
}

function serveValue(url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get("after") ?? -1);
    const tryReply = (): boolean => {
        const value = values.get(url.pathname);
        if (!value || value.revision <= after) {
            return false;
        }
        response.setHeader("content-type", "application/json");
        response.end(JSON.stringify(value));
        return true;
    };
    if (tryReply()) {
        return;
    }
    const finish = (): void => {
        watches.delete(notify);
        clearTimeout(timer);
    };
    const notify = (): void => {
        if (tryReply()) {
            finish();
        }
    };
    const timer = setTimeout(() => {
        finish();
        response.writeHead(304).end();
    }, Number(url.searchParams.get("waitMs") ?? 0));
    watches.add(notify);
    response.on("close", finish);
}

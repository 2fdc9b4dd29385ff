import type { IncomingMessage, ServerResponse } from "node:http";
import { readJsonBody } from "../shared/readJsonBody.js";
import { sendJson } from "../shared/sendJson.js";
import { startHttpServer } from "../shared/startHttpServer.js";
import type { PlatformFault } from "./platformFault.js";

interface VersionedValue {
    readonly revision: number;
}

/** The platform's published limit on the size of one value. */
const MAX_VALUE_BYTES = 1_048_576;

const history = new Map<string, VersionedValue[]>();
const watches = new Map<() => void, ServerResponse>();
let fault: PlatformFault = {};
let calls = 0;
let replies = 0;

await startHttpServer("platform", (request, response) => {
    const url = new URL(request.url ?? "/", "http://platform");
    if (url.pathname === "/control/calls") {
        sendJson(response, { calls });
        return;
    }
    if (url.pathname === "/control/faults") {
        void setFault(request, response);
        return;
    }
    if (request.method === "PUT") {
        void storeValue(url.pathname.replace("/control/", "/v1/"), request, response);
        return;
    }
    calls += 1;
    if (fault.down) {
        response.socket?.resetAndDestroy();
        return;
    }
    serveValue(url, response);
});

async function setFault(request: IncomingMessage, response: ServerResponse): Promise<void> {
    fault = await readJsonBody(request) as PlatformFault;
    for (const [notify, waiting] of [...watches]) {
        if (fault.down) {
            waiting.socket?.resetAndDestroy();
            continue;
        }
        notify();
    }
    sendJson(response, {});
}

async function storeValue(path: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const value = await readJsonBody(request) as VersionedValue;
    if (Buffer.byteLength(JSON.stringify(value)) > MAX_VALUE_BYTES) {
        sendJson(response, { code: "value-too-large" }, 413);
        return;
    }
    history.set(path, [...history.get(path) ?? [], value]);
    for (const notify of [...watches.keys()]) {
        notify();
    }
    sendJson(response, {});
}

/** Returns the value `staleBy` steps before the newest, but at least the oldest; `undefined` if there is none. */
function getValue(path: string, staleBy: number): VersionedValue | undefined {
    const values = history.get(path) ?? [];
    return values[Math.max(0, values.length - 1 - staleBy)];
}

function pickStaleness(): number {
    replies += 1;
    const stale = Math.floor(replies * (fault.staleShare ?? 0))
        > Math.floor((replies - 1) * (fault.staleShare ?? 0));
    return Math.max(fault.goBack ?? 0, stale ? 1 : 0);
}

function serveValue(url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get("after") ?? -1);
    const tryReply = (): boolean => {
        const value = getValue(url.pathname, pickStaleness());
        const older = value !== undefined && (fault.goBack ?? 0) > 0 && value.revision < after;
        if (!value || (value.revision <= after && !older)) {
            return false;
        }
        sendJson(response, value);
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
    watches.set(notify, response);
    response.on("close", finish);
}

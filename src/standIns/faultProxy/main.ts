import type { IncomingMessage, ServerResponse } from "node:http";
import { readJsonBody } from "../shared/readJsonBody.js";
import { sendJson } from "../shared/sendJson.js";
import { startHttpServer } from "../shared/startHttpServer.js";
import { FaultLink } from "./faultLink.js";
import type { LinkFault } from "./linkFault.js";

interface ControlBody {
    /** Targets (host:port, empty for none yet) of links to create or redirect, by link name. */
    readonly targets?: Readonly<Record<string, string>>;
    /** Names of the links that the control call applies to. */
    readonly links?: readonly string[];
    readonly fault?: LinkFault;
    readonly connection?: number;
    readonly held?: boolean;
}

const links = new Map<string, FaultLink>();

await startHttpServer("fault-proxy", (request, response) => void serveControl(request, response));

async function serveControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJsonBody(request) ?? {}) as ControlBody;
    const named = (body.links ?? []).map(name => links.get(name)).filter(link => link !== undefined);
    if (named.length < (body.links ?? []).length) {
        sendJson(response, { code: "unknown-link" }, 404);
        return;
    }
    switch (`${request.method ?? ""} ${request.url ?? ""}`) {
        case "GET /control/links":
            return sendJson(response, describeLinks());
        case "POST /control/links":
            await Promise.all(
                Object.entries(body.targets ?? {}).map(([name, target]) => setLink(name, target)),
            );
            return sendJson(response, describeLinks());
        case "POST /control/faults":
            named.forEach(link => link.setFault(body.fault ?? {}));
            return sendJson(response, {});
        case "POST /control/resets":
            named.forEach(link => link.reset());
            return sendJson(response, {});
        case "POST /control/holds":
            return sendJson(response, {
                found: named.every(link => link.setHeld(body.connection ?? 0, body.held ?? true)),
            });
        default:
            return sendJson(response, { code: "unknown-control-call" }, 404);
    }
}

async function setLink(name: string, target: string): Promise<void> {
    const link = links.get(name);
    if (link) {
        link.setTarget(target);
        return;
    }
    links.set(name, await FaultLink.create(target));
}

function describeLinks(): object {
    return Object.fromEntries([...links].map(([name, link]) => [name, link.describe()]));
}

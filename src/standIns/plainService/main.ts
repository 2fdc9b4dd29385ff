import { readSettings } from "../shared/readSettings.js";
import { startHttpServer } from "../shared/startHttpServer.js";

const settings = readSettings({ name: "plain", slotLimit: 16 });
const epoch = `${process.pid}-${Date.now()}`;
let running = 0;
const runs: { readonly key: string; readonly requestId: string; }[] = [];

await startHttpServer(settings.name, (request, response) => {
    if (request.url === "/v1/load") {
        response.end(
            JSON.stringify({
                epoch,
                state: "warm",
                running,
                bearable: settings.slotLimit,
                measuredAtMs: Date.now(),
            }),
        );
        return;
    }
    if (request.url === "/control/runs") {
        response.end(JSON.stringify(runs));
        return;
    }
    running += 1;
    const chunks: Buffer[] = [];
    request.on("data", (chunk: Buffer) => chunks.push(chunk));
    request.on("end", () => {
        runs.push({
            key: String(request.headers["idempotency-key"] ?? ""),
            requestId: String(request.headers["x-request-id"] ?? ""),
        });
        running -= 1;
        response.setHeader("content-type", "application/json");
        response.end(
            JSON.stringify({
                method: request.method,
                path: request.url,
                body: Buffer.concat(chunks).toString("utf8"),
            }),
        );
    });
});

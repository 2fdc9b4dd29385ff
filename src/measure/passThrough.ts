import { Agent, request } from "undici";
import { readSettings } from "../standIns/shared/readSettings.js";
import { startHttpServer } from "../standIns/shared/startHttpServer.js";

/** Minimal proxy on Node.js: `http` in, `undici` out, targets round-robin, without accounts, queues or checks. */
const settings = readSettings({ targets: [""], prefix: "/services/order-book" });
const agent = new Agent({ connections: 512, pipelining: 1 });
let served = 0;

await startHttpServer("pass-through", (incoming, response) => {
    void (async () => {
        served += 1;
        const target = settings.targets[served % settings.targets.length] ?? "";
        const answer = await request(`http://${target}${(incoming.url ?? "").replace(settings.prefix, "")}`, {
            method: (incoming.method ?? "GET") as "GET",
            headers: { "content-type": "application/json" },
            body: incoming.method === "GET" ? null : incoming,
            dispatcher: agent,
        });
        response.writeHead(answer.statusCode, {
            "content-type": String(answer.headers["content-type"]),
            "content-length": String(answer.headers["content-length"]),
        });
        for await (const chunk of answer.body) {
            response.write(chunk);
        }
        response.end();
    })();
});

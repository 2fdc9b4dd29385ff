import { Agent } from "undici";
import { sendCall } from "../standIns/client/sendCall.js";
import { readJsonBody } from "../standIns/shared/readJsonBody.js";
import { sendJson } from "../standIns/shared/sendJson.js";
import { startHttpServer } from "../standIns/shared/startHttpServer.js";
import type { LoadOrder } from "./loadOrder.js";
import { runClosedLoop } from "./runClosedLoop.js";

const agent = new Agent({ connections: 512, pipelining: 1 });

await startHttpServer("load-worker", (request, response) => {
    void (async () => {
        const order = await readJsonBody(request) as LoadOrder;
        const result = await runClosedLoop({
            ...order,
            send: () =>
                sendCall({
                    ...order,
                    dispatcher: agent,
                    service: "order-book",
                    method: "GET",
                    path: "/orders/1",
                    body: "",
                }),
        });
        sendJson(response, { ...result, latenciesMs: [] });
    })();
});

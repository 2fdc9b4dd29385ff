import { start } from "nact";
import { setImmediate as waitTurn } from "node:timers/promises";
import { v7 as createUuid } from "uuid";
import { ClaimHolder } from "../../daemon/actors/claimHolder.js";
import { Metrics } from "../../observability/metrics.js";
import { loadPeerDefinition } from "../../transport/loadPeerDefinition.js";
import { collectGarbage } from "./collectGarbage.js";
import { makeScaleView } from "./makeScaleView.js";

const method = loadPeerDefinition().service.HandOverClaims;

/** Measures the heap growth in bytes of a claim holder that receives a number of claims. */
export async function measureClaims(claims: number): Promise<number> {
    const view = makeScaleView(7);
    const holder = ClaimHolder.create(
        {
            identity: { instance: "daemon-0", incarnation: createUuid() },
            system: start(),
            metrics: Metrics.create(),
            peers: { send: () => Promise.reject(new Error("The measured claim holder has no peers.")) },
            getView: () => view,
            subscribeView: () => undefined,
        } as unknown as Parameters<typeof ClaimHolder.create>[0],
    );
    collectGarbage();
    const before = process.memoryUsage().heapUsed;
    for (let index = 0; index < claims; index += 1) {
        const sent = method.requestSerialize({
            instance: "daemon-1",
            claims: [{
                key: createUuid(),
                account: `account-${index % 5200}`,
                attempt: createUuid(),
                state: "run",
            }],
        } as never);
        await holder.handleHandover(method.requestDeserialize(sent));
    }
    await waitTurn();
    collectGarbage();
    const bytes = process.memoryUsage().heapUsed - before;
    await holder.handleHandover({ instance: "", claims: [] });
    return bytes;
}

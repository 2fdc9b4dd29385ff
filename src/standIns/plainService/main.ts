import { setTimeout as sleep } from "node:timers/promises";
import { readSettings } from "../shared/readSettings.js";
import { targetDefaults } from "../target/targetDefaults.js";
import type { TargetExchange } from "../target/targetExchange.js";
import { TargetServer } from "../target/targetServer.js";

const settings = readSettings({ ...targetDefaults, name: "plain", slotLimit: 16, serviceMs: 5 });
await TargetServer.create({ settings, serve: serveCall });

async function serveCall(exchange: TargetExchange): Promise<boolean> {
    exchange.addTokens(settings.requestCost);
    if (settings.serviceMs > 0) {
        await sleep(settings.serviceMs);
    }
    exchange.writer.sendBody(
        "application/json",
        JSON.stringify({ method: exchange.method, path: exchange.path, body: exchange.body }),
    );
    return !exchange.writer.broken && !exchange.signal.aborted;
}

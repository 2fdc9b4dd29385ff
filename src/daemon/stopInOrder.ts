import { setTimeout as sleep } from "node:timers/promises";
import type { DaemonParts } from "./daemonParts.js";
import { sendLeavingNotice } from "./sendLeavingNotice.js";

/** Clocks of callers and instances differ, and an answer needs time to reach its caller. */
const ENTRIES_MARGIN_MS = 500;

/**
 * Stops without interrupting a request: tells the fleet, serves until no valid entries answer names this
 * instance, refuses new requests, finishes those in flight and hands leases, counters and claims back.
 */
export async function stopInOrder(parts: DaemonParts): Promise<void> {
    const { accounting, callers, claims, context, dispatcher, keeper, owner } = parts;
    parts.onLeaving();
    context.logger.info("leaving");
    keeper.markLeaving(context.identity.instance, context.identity.incarnation);
    await sendLeavingNotice(context);
    // The successors are in the groups from now on; what is claimed later follows at the end.
    await claims.sendHandover();
    // An instance may have answered with this entry until it learned of the departure, just now.
    await sleep(context.settings.entriesTermMs + ENTRIES_MARGIN_MS);
    await callers.drain();
    await dispatcher.drain();
    await owner.close();
    await accounting.close();
    await claims.sendHandover();
    keeper.close();
    await callers.close();
    await parts.targets.close();
    parts.operators.close();
    parts.peerServer.close();
    parts.peerClient.close();
    context.logger.info("stopped");
}

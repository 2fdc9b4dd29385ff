import { setTimeout as sleep } from "node:timers/promises";
import type { DaemonParts } from "./daemonParts.js";
import { sendLeavingNotice } from "./sendLeavingNotice.js";

/** Covers clock differences between callers and instances and the transit time of a response to its caller. */
const ENTRIES_TERM_MARGIN_MS = 500;

/**
 * Stops without interrupting a request: notifies the fleet, serves until no valid response to `GET /v1/entries` names
 * this instance, refuses new requests, finishes those in flight, returns leases and transfers counters and claims.
 */
export async function stopGracefully(parts: DaemonParts): Promise<void> {
    const { accounting, callerServer, claimHolder, context, dispatcher, configurationManager, poolOwner } =
        parts;
    parts.onLeaving();
    context.logger.info("leaving");
    configurationManager.markLeaving(context.identity.instance, context.identity.incarnation);
    await sendLeavingNotice(context);
    // Successors belong to the claim groups from now on; claims made later are transferred at the end.
    await claimHolder.sendHandover();
    // A peer may have named this entry to callers until it received the notice, a moment ago.
    await sleep(context.settings.entriesTermMs + ENTRIES_TERM_MARGIN_MS);
    await callerServer.drain();
    await dispatcher.drain();
    await poolOwner.close();
    await accounting.close();
    await claimHolder.sendHandover();
    configurationManager.close();
    await Promise.all([callerServer.close(), parts.operatorServer.close()]);
    await parts.targetClient.close();
    await parts.peerServer.close();
    parts.peerClient.close();
    context.logger.info("stopped");
}

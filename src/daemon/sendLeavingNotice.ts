import type { DaemonContext } from "./daemonContext.js";

const NOTICE_TIMEOUT_MS = 1000;

/**
 * Notifies every listed instance that this one is leaving and retries failed calls once. An unreachable instance
 * learns of the departure from the instance list.
 */
export async function sendLeavingNotice(
    context: Pick<DaemonContext, "identity" | "getView" | "peers">,
): Promise<void> {
    const { incarnation, instance } = context.identity;
    const sendNotice = async (names: readonly string[]): Promise<readonly string[]> => {
        const replies = await Promise.allSettled(
            names.map(name =>
                context.peers.send(name, "AnnounceLeaving", { instance, incarnation }, NOTICE_TIMEOUT_MS)
            ),
        );
        return names.filter((_, index) => replies[index]?.status === "rejected");
    };
    const peerNames = context.getView().instances.instances.map(listed => listed.name)
        .filter(name => name !== instance);
    await sendNotice(await sendNotice(peerNames));
}

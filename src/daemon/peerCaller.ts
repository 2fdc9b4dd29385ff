import type { PeerCalls } from "../transport/peerCalls.js";

/** Sends calls to peers, by instance name unless an implementation states otherwise. */
export interface PeerCaller {
    /**
     * Sends one call.
     *
     * @param timeoutMs Timeout of the whole call in milliseconds.
     * @throws PeerCallError when there is no reply or the instance is not in the list.
     */
    send<M extends keyof PeerCalls>(
        instance: string,
        method: M,
        message: PeerCalls[M]["message"],
        timeoutMs: number,
    ): Promise<PeerCalls[M]["reply"]>;
}

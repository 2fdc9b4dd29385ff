import type { PeerCalls } from "../transport/peerCalls.js";

/** Calls another daemon by instance name and tells failure detection how the call ended. */
export interface PeerCaller {
    /**
     * Sends one call.
     *
     * @param timeoutMs Time for the whole call in milliseconds.
     * @throws PeerCallError when there is no reply or the instance is not in the list.
     */
    send<M extends keyof PeerCalls>(
        instance: string,
        method: M,
        message: PeerCalls[M]["message"],
        timeoutMs: number,
    ): Promise<PeerCalls[M]["reply"]>;
}

import type { PeerHandlers } from "./peerHandlers.js";

/** Message and reply of each call, as `PeerClient.send` takes and returns them. */
export type PeerCalls = {
    readonly [Method in keyof PeerHandlers]: {
        readonly message: Partial<Parameters<PeerHandlers[Method]>[0]>;
        readonly reply: Required<Awaited<ReturnType<PeerHandlers[Method]>>>;
    };
};

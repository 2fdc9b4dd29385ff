import type { PeerCalls } from "../transport/peerCalls.js";
import type { PeerClient } from "../transport/peerClient.js";
import type { PeerCaller } from "./peerCaller.js";

interface SeedCallerOptions {
    readonly client: PeerClient;
    /** Addresses to connect to instead of published ones. */
    readonly addressMap: Readonly<Record<string, string>>;
}

/** Calls daemons by address, for calls before the instance list is known. Failure detection is not told. */
export class SeedCaller implements PeerCaller {
    readonly #options: SeedCallerOptions;

    private constructor(options: SeedCallerOptions) {
        this.#options = options;
    }

    /** Creates a caller over a peer client. */
    static create(options: SeedCallerOptions): SeedCaller {
        return new SeedCaller(options);
    }

    send<M extends keyof PeerCalls>(
        address: string,
        method: M,
        message: PeerCalls[M]["message"],
        timeoutMs: number,
    ): Promise<PeerCalls[M]["reply"]> {
        const { client, addressMap } = this.#options;
        return client.send(addressMap[address] ?? address, method, message, timeoutMs);
    }
}

import type { PeerCalls } from "../transport/peerCalls.js";
import type { PeerClient } from "../transport/peerClient.js";
import type { PeerCaller } from "./peerCaller.js";

interface SeedCallerOptions {
    readonly client: PeerClient;
    /** Maps published addresses (host:port) to the ones to connect to. */
    readonly addressMap: Readonly<Record<string, string>>;
}

/** Calls peers by address, also before the instance list is known. Reports nothing to failure detection. */
export class SeedCaller implements PeerCaller {
    readonly #options: SeedCallerOptions;

    private constructor(options: SeedCallerOptions) {
        this.#options = options;
    }

    /** Creates a caller that sends its calls with a peer client. */
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

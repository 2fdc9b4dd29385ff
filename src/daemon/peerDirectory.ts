import type { ClusterView } from "../core/membership/clusterView.js";
import { PeerCallError } from "../transport/peerCallError.js";
import type { PeerCalls } from "../transport/peerCalls.js";
import type { PeerClient } from "../transport/peerClient.js";
import type { PeerCaller } from "./peerCaller.js";

interface PeerDirectoryOptions {
    readonly client: PeerClient;
    readonly getView: () => ClusterView;
    /** Maps published addresses (host:port) to the ones to connect to. */
    readonly addressMap: Readonly<Record<string, string>>;
    /** Called after each call with its result, for failure detection and metrics. */
    readonly recordResult: (instance: string, method: string, reached: boolean) => void;
}

/** Calls peers by name at the addresses of the instance list and reports whether each call reached its peer. */
export class PeerDirectory implements PeerCaller {
    readonly #options: PeerDirectoryOptions;

    private constructor(options: PeerDirectoryOptions) {
        this.#options = options;
    }

    /** Creates a directory that sends its calls with a peer client. */
    static create(options: PeerDirectoryOptions): PeerDirectory {
        return new PeerDirectory(options);
    }

    async send<M extends keyof PeerCalls>(
        instance: string,
        method: M,
        message: PeerCalls[M]["message"],
        timeoutMs: number,
    ): Promise<PeerCalls[M]["reply"]> {
        const listed = this.#options.getView().instances.instances.find(candidate =>
            candidate.name === instance
        );
        if (!listed) {
            throw PeerCallError.create(method, instance, true, new Error("The instance is not in the list."));
        }
        try {
            const address = this.#options.addressMap[listed.peerAddress] ?? listed.peerAddress;
            const reply = await this.#options.client.send(address, method, message, timeoutMs);
            this.#options.recordResult(instance, method, true);
            return reply;
        }
        catch (error) {
            this.#options.recordResult(
                instance,
                method,
                !(error instanceof PeerCallError && error.unreachable),
            );
            throw error;
        }
    }
}

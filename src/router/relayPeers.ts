import type { MemberRecord } from "../core/routing/memberRecord.js";
import { pickWeightedSubset } from "../core/routing/pickWeightedSubset.js";
import type { ListenAddress } from "../shared/listenAddress.js";

interface RelayPeersOptions {
    /** Port of relayed connections, the same at all instances; `undefined` if nothing is relayed. */
    readonly port: number | undefined;
    /** Lists the live instances that accept callers in the data centre, without this one and without busy ones. */
    readonly listPeers: () => readonly MemberRecord[];
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

/** Peers report their state at this interval at most. */
const LIST_VALIDITY_MS = 50;

/** Picks the instances to which connections are relayed, at random by their share of the processor. */
export class RelayPeers {
    readonly #options: RelayPeersOptions;
    #peers: readonly MemberRecord[] = [];
    /** Monotonic time in milliseconds. */
    #listedUntil = 0;

    private constructor(options: RelayPeersOptions) {
        this.#options = options;
    }

    /** Creates a picker. */
    static create(options: RelayPeersOptions): RelayPeers {
        return new RelayPeers(options);
    }

    /**
     * Finds an instance that has room for another connection; `undefined` if there is none.
     *
     * @param key Identifies the connection.
     */
    find(key: string): ListenAddress | undefined {
        const { port, listPeers, getNow } = this.#options;
        if (port === undefined) {
            return undefined;
        }
        const now = getNow();
        if (now >= this.#listedUntil) {
            this.#peers = listPeers();
            this.#listedUntil = now + LIST_VALIDITY_MS;
        }
        const [peer] = pickWeightedSubset(this.#peers, key, 1);
        return peer && { host: peer.ip, port };
    }
}

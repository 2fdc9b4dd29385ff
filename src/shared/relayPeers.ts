import { pickWeightedSubset } from "../core/routing/pickWeightedSubset.js";
import type { ListenAddress } from "./listenAddress.js";

interface RelayPeer {
    readonly name: string;
    /** Share of the processor relative to other instances. */
    readonly weight: number;
    /** Where it accepts connections that peers relay. */
    readonly address: ListenAddress;
}

interface RelayPeersOptions {
    /** Lists the instances of the data centre that accept relayed connections, without this one and without busy ones. */
    readonly listPeers: () => readonly RelayPeer[];
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

/** A list serves many connections; peers report their state at longer intervals. */
const LIST_VALIDITY_MS = 50;

/** Picks the instances to which connections are relayed, at random by their share of the processor. */
export class RelayPeers {
    readonly #options: RelayPeersOptions;
    #peers: readonly RelayPeer[] = [];
    /** Monotonic time in milliseconds. */
    #listedUntil = Number.NEGATIVE_INFINITY;

    private constructor(options: RelayPeersOptions) {
        this.#options = options;
    }

    /** Creates a picker. */
    static create(options: RelayPeersOptions): RelayPeers {
        return new RelayPeers(options);
    }

    /** Finds an instance for a connection, by an address of its caller; `undefined` if there is none. */
    find(caller: string): ListenAddress | undefined {
        const { listPeers, getNow } = this.#options;
        const now = getNow();
        if (now >= this.#listedUntil) {
            this.#peers = listPeers();
            this.#listedUntil = now + LIST_VALIDITY_MS;
        }
        return pickWeightedSubset(this.#peers, caller, 1)[0]?.address;
    }
}

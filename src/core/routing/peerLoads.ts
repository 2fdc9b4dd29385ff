import type { PeerLoad } from "./peerLoad.js";

const NO_LOAD: PeerLoad = { inFlight: 0, pendingTokens: 0, validUntil: Number.POSITIVE_INFINITY };

/** Load that other instances have put on one target. The sum is cached, as each decision reads it for each target. */
export class PeerLoads {
    readonly #loads = new Map<string, PeerLoad>();
    /** Sum of the loads; valid until the first of them expires. */
    #total: PeerLoad = NO_LOAD;
    #isChanged = false;

    /** Creates the loads of a target that no peer uses. */
    static create(): PeerLoads {
        return new PeerLoads();
    }

    /** Replaces the load of a peer; `undefined` removes it. */
    set(peer: string, load: PeerLoad | undefined): void {
        if (load) {
            this.#loads.set(peer, load);
            this.#isChanged = true;
            return;
        }
        this.#isChanged = this.#loads.delete(peer) || this.#isChanged;
    }

    /** Returns the sum of the loads that are valid at a monotonic time in milliseconds. */
    sum(now: number): PeerLoad {
        if (this.#isChanged || this.#total.validUntil < now) {
            this.#total = this.sumOf([...this.#loads.keys()], now);
            this.#isChanged = false;
        }
        return this.#total;
    }

    /** Returns the sum of the valid loads of the given peers. */
    sumOf(peers: readonly string[], now: number): PeerLoad {
        return peers.reduce((total, peer) => {
            const load = this.#loads.get(peer);
            if (load && load.validUntil < now) {
                this.#loads.delete(peer);
                return total;
            }
            return load ? addLoads(total, load) : total;
        }, NO_LOAD);
    }
}

function addLoads(a: PeerLoad, b: PeerLoad): PeerLoad {
    return {
        inFlight: a.inFlight + b.inFlight,
        pendingTokens: a.pendingTokens + b.pendingTokens,
        validUntil: Math.min(a.validUntil, b.validUntil),
    };
}

import type { ChangeSource } from "../core/routing/changeSource.js";
import type { FleetView } from "./fleetView.js";
import type { PeerChangeSource } from "./peerChangeSource.js";
import { RelayedChangeSource } from "./relayedChangeSource.js";

interface CreateOptions
    extends Omit<Parameters<typeof RelayedChangeSource.create>[0], "readPeer" | "findReaders"> {
    readonly peerChangeSource: PeerChangeSource;
    readonly getFleet: () => FleetView | undefined;
}

/** Creates a source of the platform's changes that reads through peers in the data centre where possible. */
export function createRelayedSource({ peerChangeSource, getFleet, ...options }: CreateOptions): ChangeSource {
    const source = RelayedChangeSource.create({
        ...options,
        readPeer: (host, after) => peerChangeSource.read(host, after),
        findReaders: () => getFleet()?.findReaders() ?? { hosts: [], maxAgeMs: 0 },
    });
    return (after, isUrgent) => source.read(after, isUrgent);
}

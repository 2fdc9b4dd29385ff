import type { ClusterView } from "../core/membership/clusterView.js";
import { parseListenAddress } from "../shared/parseListenAddress.js";
import type { RelayPeers } from "../shared/relayPeers.js";
import type { DaemonSettings } from "./daemonSettings.js";

type ListedPeers = ReturnType<Parameters<typeof RelayPeers.create>[0]["listPeers"]>;

/** Lists the other live instances of the data centre that accept connections which peers relay. */
export function listRelayPeers(
    { instances, suspected, leaving }: Pick<ClusterView, "instances" | "suspected" | "leaving">,
    { instance, dataCentre, addressMap }: Pick<DaemonSettings, "instance" | "dataCentre" | "addressMap">,
): ListedPeers {
    return instances.instances.flatMap(({ name, relayAddress, ...listed }) =>
        relayAddress && name !== instance && listed.dataCentre === dataCentre && listed.state === "live"
            && !suspected.has(name) && !leaving.has(name)
            ? [{ name, weight: 1, address: parseListenAddress(addressMap[relayAddress] ?? relayAddress) }]
            : []
    );
}

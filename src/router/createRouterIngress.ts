import { computeConnectionLimits } from "../core/routing/computeConnectionLimits.js";
import type { MemberRecord } from "../core/routing/memberRecord.js";
import { RelayPeers } from "../shared/relayPeers.js";
import type { DeploymentView } from "./deploymentView.js";
import { Ingress } from "./ingress.js";
import type { IngressOptions } from "./ingressOptions.js";
import type { RequestResolver } from "./requestResolver.js";
import type { RequestServer } from "./requestServer.js";
import type { RouterOptions } from "./routerOptions.js";

/** Idle time-out of a configuration that names none. */
const DEFAULT_BODY_IDLE_MS = 15_000;

interface CreateOptions
    extends
        RouterOptions,
        Pick<IngressOptions, "memory" | "countTargetConnections" | "getNow" | "isStopping"> {
    readonly view: DeploymentView;
    readonly resolver: RequestResolver;
    readonly requestServer: RequestServer;
    /** Lists the live peers of the data centre that accept callers and are not busy. */
    readonly listOpenPeers: () => readonly MemberRecord[];
}

/**
 * Makes an instance accept its callers.
 *
 * @throws PortError when an address cannot be bound.
 */
export function createRouterIngress(options: CreateOptions): Promise<Ingress> {
    const { settings, metrics, view, resolver, requestServer, listOpenPeers, getNow } = options;
    const relayPeers = RelayPeers.create({
        listPeers: () =>
            listOpenPeers().flatMap(({ name, weight, ip }) =>
                settings.relayAddress
                    ? [{ name, weight, address: { ...settings.relayAddress, host: ip } }]
                    : []
            ),
        getNow,
    });
    return Ingress.create({
        ...options,
        callerAddress: settings.callerAddress,
        relayAddress: settings.relayAddress,
        getMaxBodyIdleMs: () =>
            settings.bodyIdleMs ?? view.configuration?.limits.idleTimeoutMs ?? DEFAULT_BODY_IDLE_MS,
        connectionLimits: computeConnectionLimits(settings),
        resolve: (head, path, receivedAt) => resolver.resolve(head, path, receivedAt),
        findAccount: key => view.configuration?.accountsByKey.get(key ?? "")?.name ?? "",
        getLimits: () => view.configuration?.limits,
        serve: exchange => requestServer.serve(exchange),
        findPeer: caller => relayPeers.find(caller),
        onRefused: reason => metrics.countRefusal(reason),
    });
}

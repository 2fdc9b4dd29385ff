import type { CallerExchange } from "./callerExchange.js";
import type { Ingress } from "./ingress.js";
import type { StreamOrigins } from "./streamOrigins.js";

interface ResumeContext {
    readonly streamOrigins: Pick<StreamOrigins, "find">;
    readonly ingress: Pick<Ingress, "refuse" | "isOpen" | "runGuarded"> | undefined;
    readonly forward: (exchange: CallerExchange) => void;
}

/**
 * Serves a request that takes a stream up with the version that began it. If that is not known, or if the route does not
 * lead to its service any more, the request is refused at once: it will not become known.
 */
export function resumeStream(
    exchange: CallerExchange,
    { streamOrigins, ingress, forward }: ResumeContext,
): void {
    const { request, head, incoming } = exchange;
    const { account, route } = request;
    const { host, streamId } = head;
    streamOrigins.find(
        { account, streamId, host, path: incoming.url ?? "/" },
        origin =>
            ingress?.runGuarded(exchange, () => {
                // The caller may have left, or the instance may have stopped, while peers were asked.
                if (!ingress.isOpen(exchange)) {
                    return;
                }
                const service = route.backends.find(backend => backend.service === origin?.service)?.service;
                if (!origin || service === undefined) {
                    ingress.refuse(exchange, "origin-unknown", undefined);
                    return;
                }
                forward({ ...exchange, request: { ...request, service, origin } });
            }),
    );
}

import type { ServiceDefinition } from "@grpc/grpc-js";
import { loadPeerDefinition } from "../transport/loadPeerDefinition.js";
import { PeerCallError } from "../transport/peerCallError.js";
import type { PeerCalls } from "../transport/peerCalls.js";
import type { PeerHandlers } from "../transport/peerHandlers.js";
import type { PeerCaller } from "./peerCaller.js";

interface LoopbackCallerOptions {
    /** Name of this instance; calls to it stay in the process. */
    readonly instance: string;
    readonly remote: PeerCaller;
    /** Read at each call, because the handlers are created after the caller. */
    readonly getHandlers: () => PeerHandlers;
}

/** Dispatches calls to this instance to the handlers in this process and sends other calls over the network. */
export class LoopbackCaller implements PeerCaller {
    readonly #options: LoopbackCallerOptions;
    readonly #service = loadPeerDefinition().service as ServiceDefinition;

    private constructor(options: LoopbackCallerOptions) {
        this.#options = options;
    }

    /** Creates a caller that sends calls to other instances through `remote`. */
    static create(options: LoopbackCallerOptions): LoopbackCaller {
        return new LoopbackCaller(options);
    }

    async send<M extends keyof PeerCalls>(
        instance: string,
        method: M,
        message: PeerCalls[M]["message"],
        timeoutMs: number,
    ): Promise<PeerCalls[M]["reply"]> {
        const definition = this.#service[method];
        if (instance !== this.#options.instance || !definition) {
            return this.#options.remote.send(instance, method, message, timeoutMs);
        }
        // Encoding fills in the defaults of absent fields, and sender and receiver share no objects.
        const decodedMessage: unknown = definition.requestDeserialize(definition.requestSerialize(message));
        const handler = this.#options.getHandlers()[method] as (message: unknown) => Promise<unknown>;
        const reply = await waitWithTimeout(handler(decodedMessage), timeoutMs, method, instance);
        return definition.responseDeserialize(
            definition.responseSerialize(reply),
        ) as PeerCalls[M]["reply"];
    }
}

async function waitWithTimeout<T>(
    reply: Promise<T>,
    timeoutMs: number,
    method: string,
    instance: string,
): Promise<T> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
        timer = setTimeout(() => {
            reject(PeerCallError.create(method, instance, false, new Error("No reply in time.")));
        }, timeoutMs);
    });
    try {
        return await Promise.race([reply, timeout]);
    }
    finally {
        clearTimeout(timer);
    }
}

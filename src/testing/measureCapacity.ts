import type { OfferedRequest } from "./offeredRequest.js";
import { sendLoad } from "./sendLoad.js";

type LoadOptions = Parameters<typeof sendLoad>[1];

interface CapacityOptions extends Omit<LoadOptions, "perSecond" | "durationMs"> {
    /** Callers that send their next request once they have an answer. */
    readonly callers: number;
    readonly measureMs: number;
    readonly isServed: (request: OfferedRequest) => boolean;
}

const MS_PER_SECOND = 1000;
/** A refused caller returns after the Retry-After of a refusal. */
const RETURN_MS = 1000;

/** Returns how many requests a second a server (host:port) answers to callers who wait for each answer. */
export async function measureCapacity(
    address: string,
    { callers, measureMs, isServed, ...load }: CapacityOptions,
): Promise<number> {
    const until = performance.now() + measureMs;
    const countAnswered = async (caller: number): Promise<number> => {
        let answered = 0;
        for (let i = 0; performance.now() < until; i += 1) {
            const buildHeaders = (): Readonly<Record<string, string>> =>
                load.buildHeaders(i * callers + caller);
            const [request] = await sendLoad(address, {
                ...load,
                perSecond: MS_PER_SECOND,
                durationMs: 1,
                buildHeaders,
            });
            if (request && isServed(request)) {
                answered += 1;
            }
            else {
                await new Promise(resolve => setTimeout(resolve, RETURN_MS));
            }
        }
        return answered;
    };
    const counts = await Promise.all(Array.from({ length: callers }, (_, caller) => countAnswered(caller)));
    return counts.reduce((sum, count) => sum + count, 0) * MS_PER_SECOND / measureMs;
}

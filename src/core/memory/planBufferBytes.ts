import { memorySizes } from "./memorySizes.js";

/** Largest share of the limit; more would only hold requests that wait too long. */
const MAX_SHARE = 0.15;
/** Room for two bodies of the largest size that deployments allow, also if the heap alone may reach the limit. */
const MIN_BYTES = 8_388_608;

/**
 * Plans how many bytes of bodies and responses a process may hold, so that baseline, heap, garbage and these bytes fit within
 * the limit of its resident memory.
 *
 * @param heapLimitBytes Old and young space together.
 */
export function planBufferBytes(limitBytes: number, heapLimitBytes: number): number {
    const roomBytes = limitBytes - memorySizes.baseline - heapLimitBytes - memorySizes.garbage;
    return Math.max(MIN_BYTES, Math.min(MAX_SHARE * limitBytes, roomBytes));
}

import type { StreamPlace } from "../core/streams/streamPlace.js";
import { computePosition } from "../shared/computePosition.js";
import type { TakenUpStream } from "./takenUpStream.js";

/** Returns what decides to which service a stream goes. */
export function getStreamPlace({ host, path, streamId }: TakenUpStream): StreamPlace {
    return { host, path, position: streamId === undefined ? undefined : computePosition(streamId) };
}

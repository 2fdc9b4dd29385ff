import type { ServiceDefinition } from "@grpc/grpc-js";
import type { TrafficRecorder } from "./trafficRecorder.js";

/** gRPC length prefix (5 bytes) and HTTP/2 DATA frame header (9 bytes). */
const FRAMING_BYTES = 14;

/** Returns the service definition with codecs that count the bytes of each message. */
export function countTraffic<T extends ServiceDefinition>(
    service: T,
    traffic: TrafficRecorder,
    side: "client" | "server",
): T {
    const counted: Record<string, unknown> = {};
    for (const [name, method] of Object.entries(service)) {
        const requestDirection = side === "client" ? "sent" : "received";
        const replyDirection = side === "client" ? "received" : "sent";
        counted[name] = {
            ...method,
            requestSerialize: (value: object) => {
                const bytes = method.requestSerialize(value);
                traffic.record(name, requestDirection, bytes.length + FRAMING_BYTES);
                return bytes;
            },
            requestDeserialize: (bytes: Buffer) => {
                traffic.record(name, requestDirection, bytes.length + FRAMING_BYTES);
                return method.requestDeserialize(bytes) as object;
            },
            responseSerialize: (value: object) => {
                const bytes = method.responseSerialize(value);
                traffic.record(name, replyDirection, bytes.length + FRAMING_BYTES);
                return bytes;
            },
            responseDeserialize: (bytes: Buffer) => {
                traffic.record(name, replyDirection, bytes.length + FRAMING_BYTES);
                return method.responseDeserialize(bytes) as object;
            },
        };
    }
    return counted as T;
}

/** Receives the size of each control message, counted at the codec. */
export interface TrafficRecorder {
    /**
     * Records one message.
     *
     * @param bytes Encoded message plus the 5 byte gRPC prefix and the 9 byte HTTP/2 frame header.
     */
    readonly record: (method: string, direction: "sent" | "received", bytes: number) => void;
}

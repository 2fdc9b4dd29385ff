/** One attempt of a caller, as the caller saw it; times are monotonic milliseconds. */
export interface ObservedRequest {
    readonly requestId: string;
    readonly route: "stream" | "once" | "safe" | "unsafe";
    /** Host of the instance that got the request. */
    readonly host: string;
    readonly sentAt: number;
    readonly endedAt: number;
    /** End of the time that the request named. */
    readonly deadline: number;
    /** True if the caller's own connection broke before the end of the response. */
    readonly isBrokenByCaller: boolean;
    /** First attempt of the stream that the request takes up, and the last event that its caller has. */
    readonly resumed?: {
        readonly streamId: string; /** Number of the event, from 1 on. */
        readonly lastEvent: number;
    };
}

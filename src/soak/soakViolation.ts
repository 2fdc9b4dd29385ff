/**
 * Broken guarantee: streams of several versions or with gaps, requests that were cut or that nobody answered, streams that
 * do not go on after all instances were killed, processes that ended by themselves or do not serve, callers of an overloaded
 * instance, how many requests it answers, how long its refusals take, or any other.
 */
export interface SoakViolation {
    readonly rule:
        | "stream-order"
        | "lost-request"
        | "unanswered"
        | "lost-after-restart"
        | "fault"
        | "overload"
        | "goodput"
        | "refusal-time"
        | "other";
    /** Request identifier, or a name of what else the violation concerns. */
    readonly subject: string;
    readonly text: string;
}

/** Times in milliseconds that a target takes before the head of each response, and before each event of a stream. */
export interface TargetPace {
    readonly headMs: number;
    readonly eventMs: number;
}

/** What the scheduler asks of request limits; times are monotonic milliseconds. */
export interface LimitGate {
    /** Returns whether a target has a request limit. */
    isLimited(target: string): boolean;
    /** Returns whether this instance may send a request to a target now. */
    isOpen(target: string, now: number): boolean;
    /** Returns whether this instance has a permit for a limited target that would be lost unless it is used now. */
    hasSpare(target: string, now: number): boolean;
    /** Takes the permit for a request to a target; does nothing if the target has no limit. */
    takePermit(target: string, now: number): void;
    /** Records a request for a service, also one that is sent again. */
    addRequest(service: string, now: number): void;
    /** Records that a request was refused because no target could take it. */
    addRefusal(service: string, now: number): void;
    /** Returns the rate of permits for a service, or `undefined` while its limits are too new to tell. */
    getPermitsPerSecond(service: string, now: number): number | undefined;
}

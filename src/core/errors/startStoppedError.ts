/** A start that a stop signal ended before the process served anybody. */
export class StartStoppedError extends Error {
    override readonly name = "StartStoppedError";
    readonly code = "start-stopped";

    private constructor() {
        super("A stop signal ended the start.");
    }

    /** Creates the error. */
    static create(): StartStoppedError {
        return new StartStoppedError();
    }
}

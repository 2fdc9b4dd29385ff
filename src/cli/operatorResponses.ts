interface OperatorResponse<T> {
    readonly address: string;
    readonly value: T;
}

interface OperatorFailure {
    readonly address: string;
    readonly reason: string;
}

/** Responses of several daemons to the same call. `--json` prints the member names. */
export interface OperatorResponses<T> {
    readonly answers: readonly OperatorResponse<T>[];
    /** Daemons without a usable response. */
    readonly failures: readonly OperatorFailure[];
}

interface OperatorAnswer<T> {
    readonly address: string;
    readonly value: T;
}

interface OperatorFailure {
    readonly address: string;
    readonly reason: string;
}

/** Responses of several daemons to the same call. */
export interface OperatorAnswers<T> {
    readonly answers: readonly OperatorAnswer<T>[];
    /** Daemons without a usable response. */
    readonly failures: readonly OperatorFailure[];
}

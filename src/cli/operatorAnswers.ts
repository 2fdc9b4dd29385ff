interface OperatorAnswer<T> {
    readonly address: string;
    readonly value: T;
}

interface OperatorFailure {
    readonly address: string;
    readonly reason: string;
}

/** What several daemons answered to the same question. */
export interface OperatorAnswers<T> {
    readonly answers: readonly OperatorAnswer<T>[];
    /** Daemons that did not answer. */
    readonly failures: readonly OperatorFailure[];
}

interface OriginQuestion {
    readonly key: string;
    /** Peers that have not answered. */
    readonly hosts: Set<string>;
    /** Monotonic time in milliseconds. */
    readonly deadline: number;
    readonly onAnswer: (origin: string | undefined) => void;
}

/** Two ways across regions and a turn of a busy instance; callers wait for the answer. */
const ASK_TIMEOUT_MS = 300;
const MAX_QUESTIONS = 1000;

/** Questions for the origin of a stream that peers have not answered yet. */
export class OriginQuestions {
    readonly #questions = new Map<number, OriginQuestion>();
    #lastNumber = 0;

    /** Creates a set without questions. */
    static create(): OriginQuestions {
        return new OriginQuestions();
    }

    /**
     * Adds a question to some hosts and returns its number; `undefined` if there are too many.
     *
     * @param onAnswer Gets the digest of the first origin that a host answers, empty if it is not known for certain, or
     * `undefined` if there is none in time.
     */
    add(
        key: string,
        hosts: readonly string[],
        now: number,
        onAnswer: OriginQuestion["onAnswer"],
    ): number | undefined {
        if (this.#questions.size >= MAX_QUESTIONS || hosts.length === 0) {
            onAnswer(undefined);
            return undefined;
        }
        this.#lastNumber += 1;
        this.#questions.set(this.#lastNumber, {
            key,
            hosts: new Set(hosts),
            deadline: now + ASK_TIMEOUT_MS,
            onAnswer,
        });
        return this.#lastNumber;
    }

    /** Applies an answer: the digest of the origin, empty if it is not known for certain, `null` without a record. */
    apply(number: number, key: string, host: string, origin: string | null): void {
        const question = this.#questions.get(number);
        // A late answer to a process that ran before this one may have the same number.
        if (question?.key !== key || !question.hosts.delete(host)) {
            return;
        }
        if (origin !== null || question.hosts.size === 0) {
            this.#end(number, question, origin ?? undefined);
        }
    }

    /** Ends the questions whose time is over. */
    expire(now: number): void {
        for (const [number, question] of this.#questions) {
            if (question.deadline <= now) {
                this.#end(number, question, undefined);
            }
        }
    }

    #end(number: number, question: OriginQuestion, origin: string | undefined): void {
        this.#questions.delete(number);
        question.onAnswer(origin);
    }
}

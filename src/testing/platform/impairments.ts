interface Impairment {
    /** Host of an instance, identifier of a target, or a name that the test gives to something else. */
    readonly subject: string;
    /** What was done to the subject, where several things are possible. */
    readonly kind: string | undefined;
    /** Monotonic time in milliseconds. */
    readonly from: number;
    /** Monotonic time in milliseconds; infinite while it lasts. */
    until: number;
}

/** Record of what a test did to the parts of a fleet. */
export class Impairments {
    readonly #list: Impairment[] = [];

    /** Creates an empty record. */
    static create(): Impairments {
        return new Impairments();
    }

    /** Records that an impairment begins. Returns the function that records its end. */
    start(subject: string, kind?: string): () => void {
        const impairment = { subject, kind, from: performance.now(), until: Number.POSITIVE_INFINITY };
        this.#list.push(impairment);
        return () => {
            impairment.until = performance.now();
        };
    }

    /** Records an impairment that begins and ends now, such as a reset. */
    mark(subject: string): void {
        this.start(subject)();
    }

    /** Returns the first impairment of a subject at some moment of a period, in monotonic milliseconds. */
    find(subject: string, from: number, until: number): Impairment | undefined {
        return this.#list.find(other =>
            other.subject === subject && other.from <= until && other.until >= from
        );
    }
}

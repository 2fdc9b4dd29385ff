import { pickReaders } from "../routing/pickReaders.js";

interface Candidate {
    readonly name: string;
    readonly isClosed: boolean;
}

/** A vote counts at its coordinator for this long after it arrived. */
const VALIDITY_MS = 600;
/** After a change no vote is cast for this long, so that the former coordinator has stopped counting the last one. */
const WITHHOLD_MS = VALIDITY_MS + 500;

/**
 * The instance that divides the limits of the targets of the data centre for this one. Each instance backs at most one
 * coordinator at a time with its part of each limit, so that the parts add up to the limit whatever instances believe
 * of each other.
 */
export class CoordinatorVote {
    static readonly validityMs = VALIDITY_MS;
    #coordinator: string | undefined;
    #withheldUntil: number;

    private constructor(withheldUntil: number) {
        this.#withheldUntil = withheldUntil;
    }

    /** Creates a vote that is cast for nobody before a monotonic time in milliseconds. */
    static create(withheldUntil: number): CoordinatorVote {
        return new CoordinatorVote(withheldUntil);
    }

    /** Returns the coordinator that has the vote, or `undefined` while it is withheld. */
    get(now: number): string | undefined {
        return now < this.#withheldUntil ? undefined : this.#coordinator;
    }

    /** Coordinator that has the vote now or as soon as it is no longer withheld. */
    get next(): string | undefined {
        return this.#coordinator;
    }

    /**
     * Keeps the coordinator while it is live and open; otherwise picks the one that most others back, or the first by
     * hash.
     *
     * @param candidates Live instances of the data centre, this one included.
     * @param backed Coordinators that the others back, one entry for each.
     */
    update(candidates: readonly Candidate[], backed: readonly string[], now: number): void {
        const open = candidates.filter(({ isClosed }) => !isClosed).map(({ name }) => name);
        const eligible = open.length > 0 ? open : candidates.map(({ name }) => name);
        if (this.#coordinator !== undefined && eligible.includes(this.#coordinator)) {
            return;
        }
        const [first] = pickReaders(eligible);
        const votes = new Map<string, number>();
        backed.filter(name => eligible.includes(name)).forEach(name =>
            votes.set(name, (votes.get(name) ?? 0) + 1)
        );
        const [mostBacked] = [...votes].sort((a, b) => b[1] - a[1] || (a[0] < b[0] ? -1 : 1))[0] ?? [first];
        if (this.#coordinator !== undefined) {
            this.#withheldUntil = Math.max(this.#withheldUntil, now + WITHHOLD_MS);
        }
        this.#coordinator = mostBacked;
    }
}

import type { CrashRecord } from "./crashRecord.js";
import type { TargetCrash } from "./targetCrash.js";
import type { TargetDescriptor } from "./targetDescriptor.js";

interface CrashDetectorOptions {
    readonly crashRecord: CrashRecord;
    /** Called when a target is found to have crashed, with the number of responses that it broke off here. */
    readonly onCrash: (targetId: string, brokenResponses: number) => void;
    /** Called when a response has ended with its connection, so that it is found out whether the target has crashed. */
    readonly onBroken: (target: TargetDescriptor) => void;
}

interface EndedResponse extends Omit<TargetCrash, "targetId"> {
    /** Crash keys of the request. */
    readonly keys: readonly string[];
    /** True if the response may have been complete: it ended with its connection, and outside an event. */
    readonly mayBeComplete: boolean;
}

interface EndedResponses {
    readonly target: TargetDescriptor;
    readonly responses: readonly EndedResponse[];
}

/** The platform removes a target that crashed after three silent intervals of 1.2 s, which is read within 1.3 s. */
const CONFIRMATION_MS = 6000;

/**
 * Tells crashes of targets from broken connections: a target has crashed if its connections break and it then refuses
 * new ones, is removed, or is replaced by another target or a later start of its own.
 */
export class CrashDetector {
    readonly #options: CrashDetectorOptions;
    /** Responses that ended with their connection, by target. */
    readonly #ended = new Map<string, EndedResponses>();

    private constructor(options: CrashDetectorOptions) {
        this.#options = options;
    }

    /** Creates a detector that has seen no response. */
    static create(options: CrashDetectorOptions): CrashDetector {
        return new CrashDetector(options);
    }

    /** Records a complete response. Times are monotonic, in milliseconds. */
    recordComplete(keys: readonly string[], sentAt: number, now: number): void {
        this.#options.crashRecord.recordSuccess(keys, sentAt, now);
    }

    /** Records a response that ended with its connection to the target. */
    recordEnd(target: TargetDescriptor, response: Omit<EndedResponse, "endedAt">, now: number): void {
        if (response.keys.length === 0) {
            return;
        }
        const known = this.#ended.get(target.id);
        const responses = known?.target.startedAtMs === target.startedAtMs ? known.responses : [];
        this.#ended.set(target.id, {
            target,
            responses: [...responses, { ...response, endedAt: now }],
        });
        this.#options.onBroken(target);
    }

    /** Records that a target refuses connections, or that another one has taken its address. */
    recordGone(targetId: string, now: number): void {
        const { crashRecord, onCrash } = this.#options;
        const responses = this.#ended.get(targetId)?.responses ?? [];
        this.#ended.delete(targetId);
        if (responses.length === 0) {
            return;
        }
        onCrash(targetId, responses.length);
        responses.forEach(({ keys, sentAt, endedAt }) =>
            crashRecord.recordCrash(keys, { targetId, sentAt, endedAt }, now)
        );
    }

    /** Compares the targets with a new list of the platform. */
    setTargets(targets: readonly TargetDescriptor[], now: number): void {
        if (this.#ended.size === 0) {
            return;
        }
        for (const [id, { target: { address, startedAtMs } }] of this.#ended) {
            const isListed = targets.some(other => other.id === id && other.startedAtMs === startedAtMs);
            const isReplaced = targets.some(other =>
                other.id !== id && other.address === address && other.startedAtMs > startedAtMs
            );
            if (!isListed || isReplaced) {
                this.recordGone(id, now);
            }
        }
    }

    /** Forgets responses whose target has not turned out to have crashed; those that may be complete count as such. */
    expire(now: number): void {
        for (const [id, { target, responses }] of this.#ended) {
            const [first] = responses;
            if (!first || first.endedAt + CONFIRMATION_MS > now) {
                continue;
            }
            const kept = responses.filter(({ endedAt }) => endedAt + CONFIRMATION_MS > now);
            responses
                .filter(response => response.mayBeComplete && !kept.includes(response))
                .forEach(({ keys, sentAt, endedAt }) =>
                    this.#options.crashRecord.recordSuccess(keys, sentAt, endedAt)
                );
            if (kept.length > 0) {
                this.#ended.set(id, { target, responses: kept });
            }
            else {
                this.#ended.delete(id);
            }
        }
    }
}

import type { PromptCrash } from "./promptCrash.js";
import type { PromptCrashes } from "./promptCrashes.js";
import type { TargetDescriptor } from "./targetDescriptor.js";

interface CrashDetectorOptions {
    readonly promptCrashes: PromptCrashes;
    /** Called when a target is found to have crashed, with the number of responses that it broke off here. */
    readonly onCrash: (targetId: string, brokenResponses: number) => void;
}

interface EndedResponse extends PromptCrash {
    readonly partIds: readonly string[];
    /** True if the response may have been complete: it ended with its connection, and outside an event. */
    readonly mayBeComplete: boolean;
}

interface EndedResponses {
    readonly startedAtMs: number;
    readonly responses: readonly EndedResponse[];
}

/** The platform removes a target that crashed after three silent intervals of 1.2 s, which is read within 1.3 s. */
const CONFIRMATION_MS = 6000;

/**
 * Tells crashes of targets from broken connections: a target has crashed if its connections break and it then refuses
 * new ones, or is replaced or removed.
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
    recordComplete(partIds: readonly string[], sentAt: number, now: number): void {
        this.#options.promptCrashes.recordSuccess(partIds, sentAt, now);
    }

    /** Records a response that ended with its connection to the target. */
    recordEnd(target: TargetDescriptor, response: Omit<EndedResponse, "endedAt">, now: number): void {
        if (response.partIds.length === 0) {
            return;
        }
        const known = this.#ended.get(target.id);
        const responses = known?.startedAtMs === target.startedAtMs ? known.responses : [];
        this.#ended.set(target.id, {
            startedAtMs: target.startedAtMs,
            responses: [...responses, { ...response, endedAt: now }],
        });
    }

    /** Records that a target refuses connections, or that another one has taken its address. */
    recordGone(targetId: string, now: number): void {
        const { promptCrashes, onCrash } = this.#options;
        const responses = this.#ended.get(targetId)?.responses ?? [];
        this.#ended.delete(targetId);
        if (responses.length === 0) {
            return;
        }
        onCrash(targetId, responses.length);
        responses.forEach(({ partIds, sentAt, endedAt }) =>
            promptCrashes.recordCrash(partIds, { sentAt, endedAt }, now)
        );
    }

    /** Compares the targets with a new list of the platform. */
    setTargets(targets: readonly TargetDescriptor[], now: number): void {
        if (this.#ended.size === 0) {
            return;
        }
        const listed = new Map(targets.map(target => [target.id, target.startedAtMs]));
        for (const [id, { startedAtMs }] of this.#ended) {
            if (listed.get(id) !== startedAtMs) {
                this.recordGone(id, now);
            }
        }
    }

    /** Forgets responses whose target has not turned out to have crashed; those that may be complete count as such. */
    expire(now: number): void {
        for (const [id, { startedAtMs, responses }] of this.#ended) {
            const [first] = responses;
            if (!first || first.endedAt + CONFIRMATION_MS > now) {
                continue;
            }
            const kept = responses.filter(({ endedAt }) => endedAt + CONFIRMATION_MS > now);
            responses
                .filter(response => response.mayBeComplete && !kept.includes(response))
                .forEach(({ partIds, sentAt, endedAt }) =>
                    this.#options.promptCrashes.recordSuccess(partIds, sentAt, endedAt)
                );
            if (kept.length > 0) {
                this.#ended.set(id, { startedAtMs, responses: kept });
            }
            else {
                this.#ended.delete(id);
            }
        }
    }
}

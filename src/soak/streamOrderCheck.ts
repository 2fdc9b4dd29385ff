import { computeEventId } from "../standIns/platform/cooperative/computeEventId.js";
import type { ObservedRequest } from "./observedRequest.js";
import { parseEvents } from "./parseEvents.js";
import type { SoakViolation } from "./soakViolation.js";

/** Number of events in each stream of `CooperativeFleet`. */
const EVENTS_PER_STREAM = 12;

/** Checks that the events of a stream follow each other, and that one software version made them all. */
export class StreamOrderCheck {
    readonly #violations: SoakViolation[] = [];
    /** Version that made the first event of a stream, by its first attempt. */
    readonly #versions = new Map<string, string>();

    /** Creates a check that has seen nothing. */
    static create(): StreamOrderCheck {
        return new StreamOrderCheck();
    }

    get violations(): readonly SoakViolation[] {
        return this.#violations;
    }

    /** Returns the version that began a stream, by its first attempt. */
    getVersion(streamId: string): string | undefined {
        return this.#versions.get(streamId);
    }

    /**
     * Checks the events of one attempt. Returns their number.
     *
     * @param emptyAfter Numbers of the last events after which a target completed the stream of this attempt without an event. Neither
     * a caller nor an instance can tell that from a stream of which only the end was lost.
     */
    record(
        { requestId, path, resumed }: ObservedRequest,
        body: string,
        isWhole: boolean,
        emptyAfter: ReadonlySet<number>,
    ): number {
        const streamId = resumed?.streamId ?? requestId;
        const lastEvent = resumed?.lastEvent ?? 0;
        const events = parseEvents(body);
        const versions = new Set<string>();
        events.forEach((event, i) => {
            const number = lastEvent + i + 1;
            const isNext = event.number === number && event.id === computeEventId(path, number);
            if (!isNext || event.requestId !== requestId) {
                const text = event.text.replaceAll("\n", " ");
                this.#add(requestId, `event ${number} is "${text}"`);
            }
            const version = event.version ?? "";
            const expected = this.#versions.get(streamId) ?? version;
            this.#versions.set(streamId, expected);
            if (version !== expected && !versions.has(version)) {
                versions.add(version);
                this.#add(requestId, `event ${number} is by ${version}, ${expected} began ${streamId}`);
            }
        });
        const last = lastEvent + events.length;
        const isEmptyRest = last > 0 && emptyAfter.has(last);
        if (isWhole && !isEmptyRest && last !== EVENTS_PER_STREAM) {
            this.#add(requestId, `complete after ${events.length} events from ${lastEvent + 1} on`);
        }
        return events.length;
    }

    #add(requestId: string, text: string): void {
        this.#violations.push({ rule: "stream-order", subject: requestId, text });
    }
}

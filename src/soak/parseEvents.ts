interface StreamEvent {
    readonly id: number;
    /** Position in the stream, from 1 on. */
    readonly number: number;
    /** Request of the run that made the event. */
    readonly requestId: string;
    /** Software version of the target that made the event. */
    readonly version: string | undefined;
    readonly text: string;
}

const EVENT_PATTERN = /^id: (\d+)\ndata: (\S+) (\d+)(?: (\S+))?$/;

/** Parses the whole events of a stand-in's stream; the identifier and number of one that cannot be read are NaN. */
export function parseEvents(body: string): readonly StreamEvent[] {
    return body.split("\n\n").slice(0, -1).map(text => {
        const [, id, requestId = "", number, version] = EVENT_PATTERN.exec(text) ?? [];
        return { id: Number(id), number: Number(number), requestId, version, text };
    });
}

import type { RoutedRequest } from "../../core/routing/routedRequest.js";
import { ResponseSizes } from "../../core/spill/responseSizes.js";
import type { SpillInputs } from "../../core/spill/spillInputs.js";
import type { SpillMember } from "../../core/spill/spillMember.js";
import type { SpillRecord } from "../../core/spill/spillRecord.js";
import { SummaryRecord } from "../../core/spill/summaryRecord.js";
import type { ForwardAttempt } from "../forwardAttempt.js";
import type { LogSink } from "../logSink.js";
import type { RouterMetrics } from "../routerMetrics.js";
import type { RouterSettings } from "../routerSettings.js";

interface RouterSpillOptions {
    readonly settings: Pick<RouterSettings, "instance" | "spill">;
    readonly log: Pick<LogSink, "write">;
    readonly metrics: Pick<RouterMetrics, "registerGauges">;
    /** Lists the live instances, with this one. */
    readonly listMembers: () => readonly SpillMember[];
    readonly startedAt: number;
    /** Monotonic time in milliseconds. */
    readonly getNow: () => number;
}

interface Flow {
    readonly service: string;
    readonly dataCentre: string;
    readonly isOtherRegion: boolean;
    startedAt: number;
    lastAt: number;
    /** Requests since the start of the flow; 0 while there is none. */
    flowRequests: number;
    requests: number;
    bytesOut: number;
    bytesIn: number;
}

/** Flows that are counted apart: targets of other writers may name any number of data centres. */
const MAX_FLOWS = 1000;
const OTHER = "other";
/** A starting instance does not know yet how many instances share the capacity of a data centre. */
const MEMBER_DISCOVERY_MS = 2000;
/** A flow without a request for this long has stopped. */
const IDLE_MS = 2000;

/** Counts and logs the requests that leave the data centre, and holds what their decisions depend on. */
export class RouterSpill {
    readonly #options: RouterSpillOptions;
    readonly inputs: SpillInputs;
    /** By service and data centre. */
    readonly #flows = new Map<string, Flow>();

    private constructor(options: RouterSpillOptions, settings: SpillInputs["settings"]) {
        this.#options = options;
        this.inputs = {
            settings,
            instance: options.settings.instance,
            responseSizes: ResponseSizes.create(),
            summaries: SummaryRecord.create(),
            listMembers: () =>
                options.getNow() - options.startedAt < MEMBER_DISCOVERY_MS
                    ? undefined
                    : options.listMembers(),
            onLeft: (service, record) => this.#recordLeft(service, record),
        };
    }

    /** Creates the spill of an instance; `undefined` without the settings group. */
    static create(options: RouterSpillOptions): RouterSpill | undefined {
        const { spill } = options.settings;
        return spill && new RouterSpill(options, spill);
    }

    /** Records the end of an attempt; `isComplete` is true if its response is. */
    recordAttempt(request: RoutedRequest, attempt: ForwardAttempt, isComplete: boolean): void {
        const { receivedBytes, isWritten, grant: { spill } } = attempt;
        if (isComplete) {
            this.inputs.responseSizes.record(request.route.name, receivedBytes);
        }
        if (spill && isWritten) {
            const flow = this.#getFlow(request.service, spill.dataCentre, spill.isOtherRegion);
            flow.bytesOut += request.bodyBytes ?? 0;
            flow.bytesIn += receivedBytes;
        }
    }

    /** Logs the flows that have stopped. */
    expire(now: number): void {
        for (const flow of this.#flows.values()) {
            if (flow.flowRequests > 0 && now - flow.lastAt >= IDLE_MS) {
                const { service, dataCentre, isOtherRegion, flowRequests, startedAt, lastAt } = flow;
                this.#options.log.write("spill-stopped", {
                    service,
                    dataCentre,
                    isOtherRegion,
                    requests: flowRequests,
                    ms: Math.round(lastAt - startedAt),
                });
                flow.flowRequests = 0;
            }
        }
    }

    #recordLeft(service: string, spill: SpillRecord): void {
        const now = this.#options.getNow();
        const flow = this.#getFlow(service, spill.dataCentre, spill.isOtherRegion);
        flow.requests += 1;
        flow.flowRequests += 1;
        flow.lastAt = now;
        if (flow.flowRequests === 1) {
            flow.startedAt = now;
            const { dataCentre, isOtherRegion } = flow;
            this.#options.log.write("spill-started", {
                service,
                dataCentre,
                isOtherRegion,
                gainMs: spill.gainMs === undefined ? undefined : Math.round(spill.gainMs),
            });
        }
    }

    #getFlow(service: string, dataCentre: string, isOtherRegion: boolean): Flow {
        const labels = buildLabels(service, dataCentre, isOtherRegion);
        const known = this.#flows.get(labels);
        if (known) {
            return known;
        }
        if (this.#flows.size >= MAX_FLOWS && service !== OTHER) {
            return this.#getFlow(OTHER, OTHER, isOtherRegion);
        }
        const flow: Flow = {
            service,
            dataCentre,
            isOtherRegion,
            startedAt: 0,
            lastAt: 0,
            flowRequests: 0,
            requests: 0,
            bytesOut: 0,
            bytesIn: 0,
        };
        this.#flows.set(labels, flow);
        this.#options.metrics.registerGauges({
            [`spill_requests_total{${labels}}`]: () => flow.requests,
            [`spill_bytes_total{${labels},direction="out"}`]: () => flow.bytesOut,
            [`spill_bytes_total{${labels},direction="in"}`]: () => flow.bytesIn,
        });
        return flow;
    }
}

function buildLabels(service: string, dataCentre: string, isOtherRegion: boolean): string {
    return `service=${JSON.stringify(service)},data_centre=${
        JSON.stringify(dataCentre)
    },other_region="${isOtherRegion}"`;
}

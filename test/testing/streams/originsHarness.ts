import type { MemberRecord } from "../../../src/core/routing/memberRecord.js";
import type { RouterConfiguration } from "../../../src/core/routing/routerConfiguration.js";
import type { RouteRule } from "../../../src/core/routing/routeRule.js";
import type { TargetDescriptor } from "../../../src/core/routing/targetDescriptor.js";
import type { StreamOrigin } from "../../../src/core/streams/streamOrigin.js";
import type { OriginMessage } from "../../../src/router/originMessage.js";
import { StreamOrigins } from "../../../src/router/streamOrigins.js";
import { makeRoutedRequest } from "../scheduler/makeRoutedRequest.js";

function makeMember(name: string, dataCentre: string): MemberRecord {
    return {
        name,
        dataCentre,
        region: dataCentre,
        ip: `ip of ${name}`,
        callerAddress: "127.0.0.1:1",
        incarnation: 0,
        sequence: 0,
        state: "open",
        weight: 1,
    };
}

const MEMBERS = ["self", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"]
    .map((name, i) => makeMember(name, `dc${i % 3}`));

function makeConfiguration(routes: readonly Partial<RouteRule>[]): RouterConfiguration {
    const rules = routes.map(fields => ({ ...makeRoutedRequest().route, ...fields }));
    return { routesByHost: new Map([["h", rules]]) } as unknown as RouterConfiguration;
}

/** Origins of streams at one of nine instances in three data centres, which reads the list every half second. */
export class OriginsHarness {
    /** Live instances, with this one. */
    members: readonly MemberRecord[] = MEMBERS;
    readonly sent: (readonly [string, OriginMessage])[] = [];
    readonly events: string[] = [];
    now = 0;
    readonly origins = StreamOrigins.create({
        settings: { instance: "self", maxChangeDelayMs: 2500 },
        log: { write: event => void this.events.push(event) },
        getNow: () => this.now,
        listMembers: () => this.members,
        send: (message, host) => void this.sent.push([host, message]),
    });

    private constructor() {
        this.setRoute({});
    }

    /** Creates an instance that has read a configuration and no list. */
    static create(): OriginsHarness {
        return new OriginsHarness();
    }

    /** Replaces all routes by one. */
    setRoute(fields: Partial<RouteRule>): void {
        this.setRoutes([fields]);
    }

    /** Replaces all routes; those with the longest prefix come first. */
    setRoutes(routes: readonly Partial<RouteRule>[]): void {
        this.origins.observeConfiguration(makeConfiguration(routes), this.now);
    }

    /** Follows the list for a time in milliseconds. */
    observe(targets: readonly TargetDescriptor[], forMs: number): void {
        this.origins.observeTargets(targets, this.now);
        for (const until = this.now + forMs; this.now < until; this.now += 500) {
            this.origins.recordConfirmation(this.now);
            this.origins.flush(this.now);
        }
        this.origins.recordConfirmation(this.now);
        this.origins.flush(this.now);
    }

    /** Takes the messages of a kind that were sent, with their hosts; others are dropped. */
    take(kind: OriginMessage[0]): readonly (readonly [string, OriginMessage])[] {
        return this.sent.splice(0).filter(([, [sent]]) => sent === kind);
    }

    /** Records that a stream has begun at a target. */
    recordBegun(streamId: string, target: TargetDescriptor, path = "/"): void {
        this.origins.recordBegun({ account: "a", streamId, host: "h", path, target }, this.now);
    }

    /** Finds the origin of a stream; `none` before the answer. */
    find(streamId: string | undefined, path = "/"): { origin: StreamOrigin | undefined | "none"; } {
        const found: { origin: StreamOrigin | undefined | "none"; } = { origin: "none" };
        this.origins.find({ account: "a", streamId, host: "h", path }, origin => found.origin = origin);
        return found;
    }
}

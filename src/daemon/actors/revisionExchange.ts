import type { ClusterView } from "../../core/membership/clusterView.js";

interface RevisionMessage {
    readonly instance: string;
    readonly configurationRevision: number;
    readonly configurationDigest: string;
    readonly instanceListRevision: number;
}

interface RevisionFields {
    readonly configurationRevision: number;
    readonly configurationDigest: string;
    readonly instanceListRevision: number;
}

type ObserveRevisions = (
    instance: string,
    revision: number,
    digest: string,
    instanceListRevision: number,
) => void;

/**
 * Exchanges configuration and instance list revisions in counter reports and their replies. The digest of 64
 * characters is sent only to a peer that is not known to have the same one; an empty digest stands for the receiver's.
 */
export class RevisionExchange {
    readonly #getView: () => ClusterView;
    readonly #observeRevisions: ObserveRevisions;
    readonly #peerVersions = new Map<string, { readonly revision: number; readonly digest: string; }>();

    private constructor(getView: () => ClusterView, observeRevisions: ObserveRevisions) {
        this.#getView = getView;
        this.#observeRevisions = observeRevisions;
    }

    /** Creates an exchange without known peers. */
    static create(getView: () => ClusterView, observeRevisions: ObserveRevisions): RevisionExchange {
        return new RevisionExchange(getView, observeRevisions);
    }

    /** Returns the revision fields of a message to a peer. */
    build(receiver: string): RevisionFields {
        const view = this.#getView();
        const known = this.#peerVersions.get(receiver);
        const isKnown = known?.revision === view.configurationRevision
            && known.digest === view.configurationDigest;
        return {
            // Revision -1 (no configuration) has no unsigned form; 0 is below every published revision.
            configurationRevision: Math.max(0, view.configurationRevision),
            configurationDigest: isKnown ? "" : view.configurationDigest,
            instanceListRevision: Math.max(0, view.instances.revision),
        };
    }

    /** Records the revision fields of a peer's message. */
    observe(message: RevisionMessage): void {
        const view = this.#getView();
        const isLocalDigest = message.configurationDigest === ""
            && message.configurationRevision === view.configurationRevision;
        const digest = isLocalDigest ? view.configurationDigest : message.configurationDigest;
        this.#peerVersions.set(message.instance, { revision: message.configurationRevision, digest });
        this.#observeRevisions(
            message.instance,
            message.configurationRevision,
            digest,
            message.instanceListRevision,
        );
    }
}

/**
 * Reason for which a request got no whole response:
 *
 * - `deadline`: it ended after the time that its caller waits.
 * - `away`: its connection was refused after the end of a process, before its successor listened.
 * - `closing`: its connection was refused in the last quarter of the time that a stopping instance has.
 * - `killed`, `paused`: its instance was, while it was open.
 * - `target`: a target crashed, or broke the response off or spoilt it.
 * - `link`: the link to its target was faulty, or, if no target got it, a link to some target of its service.
 * - `stop-timeout`: it was sent early in a planned stop, and its target was still at work when the time to stop was over.
 * - `crossed`: the instance closed the idle connection on which the caller was sending it.
 * - `taken`: the soak itself held the port of the callers, accepted the connection and reset it.
 * - `queued`: the kernel accepted its new connection just when the stopping instance closed its listening socket.
 */
export type IncompleteCause =
    | "deadline"
    | "away"
    | "closing"
    | "killed"
    | "paused"
    | "target"
    | "link"
    | "stop-timeout"
    | "crossed"
    | "taken"
    | "queued";

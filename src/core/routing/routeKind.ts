/** How often a request may run: `safe` ones repeatedly, the others at most once unless a stream can be resumed. */
export type RouteKind = "safe" | "unsafe" | "stream";

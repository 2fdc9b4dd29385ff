/** Kinds of reports between instances: of one instance, and summaries for its data centre and for others. */
export type ReportScope = "instance" | "local-summary" | "data-centre";

interface MetricSample {
    readonly name: string;
    readonly labels: Readonly<Record<string, string>>;
    readonly value: number;
}

/** Parses a page in the Prometheus text format. */
export function parseMetrics(page: string): readonly MetricSample[] {
    return page.split("\n").flatMap(line => {
        const match = /^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)/.exec(line);
        if (!match) {
            return [];
        }
        const labels = [...(match[2] ?? "").matchAll(/(\w+)="([^"]*)"/g)].map((
            [, name, value],
        ) => [name, value]);
        return [{
            name: match[1] ?? "",
            labels: Object.fromEntries(labels) as Record<string, string>,
            value: Number(match[3]),
        }];
    });
}

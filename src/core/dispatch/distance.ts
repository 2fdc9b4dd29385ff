/** How far a pool is from this daemon: 0 same data centre, 1 same region, 2 another region. */
export type Distance = 0 | 1 | 2;

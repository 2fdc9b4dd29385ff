/** Distance of a pool from this instance: 0 local data centre, 1 local region, 2 remote region. */
export type Distance = 0 | 1 | 2;

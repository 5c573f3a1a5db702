/** Directions of a link, as seen from this VM. */
export const LinkDirection = { inbound: "in", outbound: "out" } as const;
export type LinkDirection = typeof LinkDirection[keyof typeof LinkDirection];

/** What a VM can handle that VMs of earlier releases cannot. */
export const Feature = {
  /** Items of kind `workspace`, and keys of callers. */
  workspaces: "workspaces",
} as const;
export type Feature = typeof Feature[keyof typeof Feature];

/** Features of this release, as listed in greetings and watch requests. */
export const ownFeatures: readonly Feature[] = Object.values(Feature);

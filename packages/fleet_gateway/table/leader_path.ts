/** How calls reach the control leader. */
export interface LeaderPath {
  /** Peer address of the leader. */
  readonly leader: string;
  /**
   * Peer address of the control VM that forwards calls to the leader; null if
   * they are sent to the leader itself.
   */
  readonly through: string | null;
}

/** A path through another control VM. */
export type DetourPath = LeaderPath & { readonly through: string };

/** Whether a path leads through another control VM. */
export function isDetour(path: LeaderPath): path is DetourPath {
  return path.through !== null;
}

/** Returns the path on which calls are sent to the VM at an address itself. */
export function directPath(leader: string): LeaderPath {
  return { leader, through: null };
}

/** Peer address of the VM to which calls on a path are sent. */
export function firstVm({ leader, through }: LeaderPath): string {
  return through ?? leader;
}

/** Whether two paths are the same. */
export function isSamePath(
  left: LeaderPath | null,
  right: LeaderPath,
): boolean {
  return left?.leader === right.leader && left.through === right.through;
}

/**
 * Returns another path to the leader of a path, if there is one.
 *
 * @param namedBy Peer addresses of control VMs that name the leader.
 */
export function alternativePath(
  { leader, through }: LeaderPath,
  namedBy: Iterable<string>,
): LeaderPath | undefined {
  const other = [...namedBy].find((each) =>
    each !== through && each !== leader
  );
  if (other !== undefined) return { leader, through: other };
  return through === null ? undefined : directPath(leader);
}

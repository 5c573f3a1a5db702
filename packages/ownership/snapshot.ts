import { decode, encode } from "@msgpack/msgpack";
import { parseBundle } from "@kingcupglade/bundle";
import { emptyControlState } from "./model.ts";
import type { BundleRecord, ControlState } from "./model.ts";

type StoredBundle = Omit<BundleRecord, "bundle">;

interface StoredControlState extends
  Omit<
    ControlState,
    "bundle" | "vms" | "targets" | "groups" | "roles"
  > {
  readonly bundle: StoredBundle | null;
  readonly vms: readonly (readonly [string, never])[];
  readonly targets: readonly (readonly [string, never])[];
  readonly groups: readonly (readonly [string, never])[];
  readonly roles: readonly (readonly [string, never])[];
}

/** Encodes the replicated state for a snapshot. */
export function encodeControlState(state: ControlState): Uint8Array {
  return encode({
    ...state,
    bundle: state.bundle && { ...state.bundle, bundle: null },
    vms: [...state.vms],
    targets: [...state.targets],
    groups: [...state.groups],
    roles: [...state.roles],
  }, { ignoreUndefined: true });
}

/** Decodes a snapshot; empty bytes decode to the initial state. */
export function decodeControlState(bytes: Uint8Array): ControlState {
  if (bytes.length === 0) return emptyControlState;
  const stored = decode(bytes) as StoredControlState;
  return {
    ...stored,
    rehomings: stored.rehomings ?? [],
    bundle: stored.bundle && {
      ...stored.bundle,
      bundle: parseBundle(stored.bundle.signed.document),
    },
    vms: new Map(stored.vms),
    targets: new Map(stored.targets),
    groups: new Map(stored.groups),
    roles: new Map(stored.roles),
  };
}

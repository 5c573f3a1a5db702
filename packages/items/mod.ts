/**
 * Configuration as individually versioned items: routes, services, limits
 * and workspaces.
 * The highest version of each item wins.
 *
 * @module
 */
export { applyChange } from "./apply_change.ts";
export type { ChangeResult } from "./apply_change.ts";
export { checkContent } from "./check_content.ts";
export { describeChange, describeItems } from "./describe_items.ts";
export { ItemsDigest, ItemsDigestCache } from "./items_digest.ts";
export { combineDigests, hashOfText, SetDigest } from "./set_digest.ts";
export { RouteIndex } from "./route_index.ts";
export { findNeverKnownServices } from "./never_known_services.ts";
export { itemId, ItemKind, RequestKind } from "./types.ts";
export type {
  ItemChange,
  ItemContent,
  ItemRemoval,
  Limits,
  Route,
  RoutePart,
  Service,
  StoredItem,
  StoredItems,
  SubmittedItem,
  Workspace,
} from "./types.ts";

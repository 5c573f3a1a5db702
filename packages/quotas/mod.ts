/**
 * Rate limits of workspaces over all gateways: allowances that the leader lends
 * and gateways keep to.
 *
 * @module
 */
export {};

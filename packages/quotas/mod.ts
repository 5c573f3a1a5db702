/**
 * Rate limits of workspaces over all gateways: allowances that the leader lends
 * and gateways keep to.
 *
 * @module
 */
export { BorrowerRecorder, ProposalResult } from "./borrower_recorder.ts";
export type { BorrowerRecorderOptions } from "./borrower_recorder.ts";
export { borrowerId, changeBorrowers } from "./borrowers.ts";
export type { BorrowerBounds, BorrowerChange, Borrowers } from "./borrowers.ts";
export { GatewayQuotas, QuotaRejection } from "./gateway_quotas.ts";
export type {
  GatewayQuotasOptions,
  QuotaState,
  QuotaUse,
} from "./gateway_quotas.ts";
export { QuotaAdmissions } from "./quota_admissions.ts";
export type { QuotaDecision } from "./quota_admissions.ts";
export {
  packAnswer,
  packReport,
  unpackAnswer,
  unpackReport,
} from "./messages.ts";
export type {
  PackedAnswer,
  PackedReport,
  QuotaAnswer,
  QuotaAnswerRow,
  QuotaCall,
  QuotaReply,
  QuotaReport,
  QuotaReportRow,
} from "./messages.ts";
export { QuotaLender } from "./quota_lender.ts";
export type { QuotaLenderOptions } from "./quota_lender.ts";
export {
  defaultQuotaSettings,
  leaseMilliseconds,
  loanMilliseconds,
  totalAllowance,
} from "./quota_settings.ts";
export type { QuotaLimit, QuotaSettings } from "./quota_settings.ts";

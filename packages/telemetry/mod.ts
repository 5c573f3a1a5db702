/**
 * JSON log lines and Prometheus metrics.
 *
 * @module
 */
export { RateLimitedLogger } from "./rate_limited_logger.ts";
export { LineWriter } from "./line_writer.ts";
export { createLogger, describeFailure } from "./logger.ts";
export type { LogEvent, LogFields, Logger, LoggerOptions } from "./logger.ts";
export { createMetrics } from "./metrics.ts";
export type { Metrics } from "./metrics.ts";
export { RequestMetrics, RequestSeries } from "./request_series.ts";
export type { RequestMetricsOptions, SeriesLabels } from "./request_series.ts";

import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: ["packages/**/*_test.ts"],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
  },
});

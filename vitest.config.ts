import { defineConfig } from "vitest/config";

export default defineConfig({
  test: {
    include: [
      "packages/**/*_test.ts",
      "platform/**/*_test.ts",
      "tools/*_test.mjs",
    ],
    testTimeout: 240_000,
    hookTimeout: 240_000,
    maxWorkers: 4,
  },
});

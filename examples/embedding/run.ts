import { runExample } from "./own_ranges.ts";

for (const line of runExample()) console.log(line);

import { ownRanges } from "./own_ranges.ts";

for (const line of ownRanges()) console.log(line);

import type { DeploymentOptions } from "./deployment.ts";

/** The deployment of Hsinchu Precision Jig Works: nine VMs in three regions. */
export const hsinchu: DeploymentOptions = {
  dataCentres: [
    { name: "hsinchu-a", region: "hsinchu" },
    { name: "hsinchu-b", region: "hsinchu" },
    { name: "taichung-a", region: "taichung" },
    { name: "taichung-b", region: "taichung" },
    { name: "kaohsiung-a", region: "kaohsiung" },
    { name: "kaohsiung-b", region: "kaohsiung" },
  ],
  vms: {
    "vm-1": "hsinchu-a",
    "vm-2": "hsinchu-b",
    "vm-3": "hsinchu-b",
    "vm-4": "taichung-a",
    "vm-5": "taichung-b",
    "vm-6": "taichung-b",
    "vm-7": "kaohsiung-a",
    "vm-8": "kaohsiung-b",
    "vm-9": "kaohsiung-b",
  },
  voters: ["vm-1", "vm-4", "vm-7"],
  withDisk: ["vm-1", "vm-2", "vm-4", "vm-5", "vm-7"],
  content: {
    services: [
      { name: "jig-catalogue", kind: "shared" },
      { name: "fixture-stock", kind: "keyed", initialRanges: 48 },
    ],
    tenants: [{ name: "toolroom" }, { name: "engineers" }],
    routes: [
      {
        pathPrefix: "/drawings/",
        service: "jig-catalogue",
        tenant: { header: "x-tenant" },
      },
      {
        pathPrefix: "/fixtures/",
        service: "fixture-stock",
        tenant: { header: "x-tenant" },
        key: { pathSegment: 1 },
      },
    ],
  },
};

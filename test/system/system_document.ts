/**
 * The document of the simulated system, and the section texts that edits send.
 *
 * @module
 */

import {
  fixtureHash,
  fixtureKey,
  jobClassText,
  teamText,
} from "../../src/process/configuration/configuration_fixture.ts";

/** The instances of the simulation and their locations. */
export const SYSTEM_INSTANCES = [
  { id: "n1", dataCentre: "north", region: "one" },
  { id: "n2", dataCentre: "north", region: "one" },
  { id: "n3", dataCentre: "north", region: "one" },
  { id: "s1", dataCentre: "south", region: "two" },
  { id: "s2", dataCentre: "south", region: "two" },
] as const;

/** The ID of an instance of the simulation. */
export type SystemInstanceId = typeof SYSTEM_INSTANCES[number]["id"];

/** The data centres of the simulation. */
export const SYSTEM_DATA_CENTRES = ["north", "south"] as const;

/** The name of a data centre of the simulation. */
export type SystemDataCentre = typeof SYSTEM_DATA_CENTRES[number];

/** The hash of the key of the team `operations`. */
export const OPERATIONS_HASH = fixtureHash(fixtureKey("operations"));

/** The text of a data centre's section. */
export function dataCentreText(
  name: SystemDataCentre,
  status: "in" | "out",
): string {
  const region = name === "north" ? "one" : "two";
  return `[dataCentres.${name}]
owner = "operations"
region = "${region}"
status = "${status}"
drainMs = 3000
startPermissionMs = 2000
returnFractionPerMinute = 1.0

[[dataCentres.${name}.racks]]
name = "r1"
workers = 2
coresPerWorker = 1000
memoryBytesPerWorker = 1000000000000
acceleratorsPerWorker = 8
`;
}

/** The initial document of the simulation. */
export const SYSTEM_DOCUMENT = `formatVersion = 1

${teamText("operations", "operations")}
[clientAccounts.buyers]
owner = "operations"

[[clientAccounts.buyers.guarantees]]
dataCentre = "north"
racks = 1
workersPerRack = 1
acceleratorsPerWorker = 8
count = 1

${jobClassText("normal", { owner: "operations", rank: 4 })}
${dataCentreText("north", "in")}
${dataCentreText("south", "in")}
[services.loft]
owner = "operations"
slotsPerServer = 2
retryBudgetFraction = 1

[[services.loft.classes]]
name = "quote"
rank = 0
queueLimit = 4
`;

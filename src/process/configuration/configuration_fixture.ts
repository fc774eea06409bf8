/**
 * A small document and the keys of its teams, for tests.
 *
 * @module
 * @internal
 */

import type { TeamId } from "../../base/identity.ts";
import type { EditCommand } from "./configuration_command.ts";

/** A fake key hash, which contains the key itself. */
export function fixtureHash(key: string): string {
  return `scrypt$00$${Buffer.from(key).toString("hex")}`;
}

/** Whether the key matches a hash made by {@link fixtureHash}. */
export function matchesFixture(key: string, hash: string): Promise<boolean> {
  return Promise.resolve(fixtureHash(key) === hash);
}

/** The initial key of a team in the fixture. */
export function fixtureKey(team: TeamId): string {
  return `key-of-${team}`;
}

/** Teams `operations`, `rating` and `trips`, and sections of every kind. */
export const FIXTURE_DOCUMENT = `formatVersion = 1

${teamText("operations", "operations")}
${teamText("rating", "operations")}
${teamText("trips", "operations")}
[clientAccounts.buyers]
owner = "rating"

[[clientAccounts.buyers.guarantees]]
dataCentre = "north"
racks = 1
workersPerRack = 2
acceleratorsPerWorker = 8
count = 1

[jobClasses.normal]
owner = "rating"
rank = 4

[dataCentres.north]
owner = "operations"
region = "one"
startPermissionMs = 2000

[[dataCentres.north.racks]]
name = "north-1"
workers = 4
coresPerWorker = 32
memoryBytesPerWorker = 1000000
acceleratorsPerWorker = 8

[dataCentres.south]
owner = "operations"
region = "two"

[services.clearance]
owner = "trips"

[[services.clearance.classes]]
name = "normal"
rank = 4
`;

/** A team's section; by default with its initial key. */
export function teamText(
  team: TeamId,
  owner: TeamId,
  keys: readonly string[] = [fixtureKey(team)],
): string {
  const hashes = keys.map((key) => JSON.stringify(fixtureHash(key)));
  return `[teams.${team}]\nowner = "${owner}"\nkeyHashes = [${
    hashes.join(", ")
  }]\n`;
}

/** The section of the data centre `north` with the given status. */
export function northText(
  status: "in" | "out",
  options: { startPermissionMs?: number } = {},
): string {
  return `[dataCentres.north]
owner = "operations"
region = "one"
status = "${status}"
startPermissionMs = ${options.startPermissionMs ?? 2000}

[[dataCentres.north.racks]]
name = "north-1"
workers = 4
coresPerWorker = 32
memoryBytesPerWorker = 1000000
acceleratorsPerWorker = 8
`;
}

/** A job class's section. */
export function jobClassText(
  name: string,
  options: { owner: TeamId; rank: number },
): string {
  const { owner, rank } = options;
  return `[jobClasses.${name}]\nowner = "${owner}"\nrank = ${rank}\n`;
}

/** An edit of the job class `normal` by its owner `rating`, by default. */
export function fixtureEdit(changes: Partial<EditCommand>): EditCommand {
  const team = changes.team ?? "rating";
  return {
    kind: "edit",
    editId: "edit-1",
    team,
    keyHash: fixtureHash(fixtureKey(team)),
    sectionId: { kind: "jobClasses", name: "normal" },
    baseVersion: 1,
    change: {
      kind: "replace",
      text: jobClassText("normal", { owner: "rating", rank: 5 }),
    },
    atMs: 1_000,
    ...changes,
  };
}

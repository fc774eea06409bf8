/**
 * The failure scenario of disks that refuse writes for a while.
 *
 * @module
 */

import { CONFIGURATION_GROUP } from "../../src/process/daemon/configuration_subsystem.ts";
import type { Cluster } from "./cluster.ts";
import type { EditLoad } from "./edit_load.ts";

/** Most of the five voters. */
const FAILED_DISKS = 3;

/** What the scenario needs of the others. */
export interface DiskScenarioOptions {
  /** Edits that go on meanwhile. */
  readonly edits: EditLoad;
  readonly waitUntilAllServe: () => Promise<void>;
}

/**
 * Makes one follower's disk after another refuse the vote of an election, and
 * repairs it; returns the violations.
 */
export async function failDisksInTurn(
  cluster: Cluster,
  options: DiskScenarioOptions,
): Promise<string[]> {
  const { edits, waitUntilAllServe } = options;
  const violations: string[] = [];
  const failedIds: string[] = [];
  while (failedIds.length < FAILED_DISKS) {
    const leaderId = await cluster.leader(CONFIGURATION_GROUP);
    const status = await cluster.member(leaderId, CONFIGURATION_GROUP);
    const id = status!.voterIds.find((voterId) =>
      voterId !== leaderId && !failedIds.includes(voterId)
    )!;
    failedIds.push(id);
    const exitsBefore = cluster.exitCodes(id).length;
    await failDisk(cluster, { id, leaderId });
    const acceptedBefore = edits.accepted.length;
    await cluster.waitUntil(
      "more edits are accepted",
      () => edits.accepted.length > acceptedBefore + 3,
    );
    if (cluster.exitCodes(id).length !== exitsBefore) {
      violations.push(`${id} exited`);
    }
    await waitUntilAllServe();
  }
  await edits.stop();
  const lastLeaderId = await cluster.leader(CONFIGURATION_GROUP);
  return [...violations, ...await edits.findViolations(lastLeaderId)];
}

/** Lets an election meet a disk that refuses its vote, and repairs the disk. */
async function failDisk(
  cluster: Cluster,
  options: { id: string; leaderId: string },
): Promise<void> {
  const { id, leaderId } = options;
  const isSuspended = async () => {
    const member = await cluster.member(id, CONFIGURATION_GROUP);
    return member?.disk?.suspendedAtMs !== undefined;
  };
  cluster.blockStateFile(id, CONFIGURATION_GROUP);
  cluster.signal(leaderId, "SIGKILL");
  await cluster.waitUntil(`${id} is suspended`, isSuspended);
  cluster.unblockStateFile(id, CONFIGURATION_GROUP);
  await cluster.waitUntil(
    `${id} takes part again`,
    async () => !await isSuspended(),
  );
}

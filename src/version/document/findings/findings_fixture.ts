/**
 * A small document without findings, from which tests derive faulty ones.
 *
 * @module
 */

import type { Document } from "../document.ts";
import { parseDocument } from "../parse_document.ts";

/** The text of the document. */
export const CLEAN_TEXT = `formatVersion = 1

[teams.ops]
owner = "ops"
keyHashes = ["scrypt$00$11"]

[clientAccounts.desk]
owner = "ops"
borrowingWeight = 1
borrowingLimitAccelerators = 4
guarantees = [
  { dataCentre = "north", racks = 1, workersPerRack = 2, acceleratorsPerWorker = 8, count = 1 },
]

[jobClasses.urgent]
owner = "ops"
rank = 0
startTargetMs = 1_900
throttleFactor = 3
stopFactor = 10

[dataCentres.north]
owner = "ops"
region = "one"
status = "in"
drainMs = 120_000
returnFractionPerMinute = 0.25
racks = [
  { name = "a", workers = 4, coresPerWorker = 8, memoryBytesPerWorker = 1, acceleratorsPerWorker = 8 },
]

[services.quote]
owner = "ops"
slotsPerServer = 8
dataCentreWeights = { north = 1 }
drainedServers = ["s1"]

[[services.quote.classes]]
name = "normal"
rank = 1
queueLimit = 200
defaultTimeoutMs = 2_000
`;

/** The text with each `from` replaced by `to`; fails if one isn't there. */
export function changedText(
  ...changes: readonly (readonly [from: string, to: string])[]
): string {
  return changes.reduce((text, [from, to]) => {
    if (!text.includes(from)) {
      throw new Error(`the document has no ${from}`);
    }
    return text.replace(from, () => to);
  }, CLEAN_TEXT);
}

/** The document with these changes. */
export function changedDocument(
  ...changes: readonly (readonly [from: string, to: string])[]
): Document {
  return parseDocument(changedText(...changes)).mapLeft((error) => {
    throw error;
  }).unsafeCoerce();
}

/**
 * Chooses the data centre of a job, by pure functions of the document.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { DataCentreId } from "../../../base/identity.ts";
import type {
  DataCentre,
  Document,
} from "../../../version/document/document.ts";
import {
  declaredRacks,
  type JobSpecification,
  whyNeverFits,
} from "../core/mod.ts";

/**
 * The data centre whose log decides whether the job is new: the first that
 * the job names, or one chosen by rendezvous hashing of the job's ID. A data
 * centre's status doesn't matter, so that a resubmission reaches the same log.
 */
export function homeDataCentre(
  job: JobSpecification,
  document: Document,
): DataCentreId | undefined {
  const named = job.dataCentres[0];
  if (named !== undefined) {
    return named;
  }
  const ranked = Object.keys(document.dataCentres)
    .map((id) => ({ id, hash: rendezvousHash(job.jobId, id) }))
    .sort((left, right) => left.hash.localeCompare(right.hash));
  return ranked[0]?.id;
}

/**
 * The data centres to which a job that waits in `here` may be transferred, best
 * first. None when it can run here, when no other one could hold it, or when
 * all that could are out and `here` could run it too once it is in.
 */
export function transferTargets(
  job: JobSpecification,
  options: { here: DataCentreId; document: Document },
): readonly DataCentreId[] {
  const { here, document } = options;
  const own = document.dataCentres[here];
  if (own === undefined || canRun(job, { id: here, section: own })) {
    return [];
  }
  const others = Object.entries(document.dataCentres)
    .filter(([id]) => id !== here)
    .filter(([id, section]) => isAllowed(job, id) && fits(job, section))
    .sort(([leftId, left], [rightId, right]) =>
      rankOf(left, own) - rankOf(right, own) || leftId.localeCompare(rightId)
    );
  const open = others.filter(([, section]) => section.status === "in");
  if (open.length > 0) {
    return open.map(([id]) => id);
  }
  // No data centre can run it now: it waits in one that can once it is in.
  const couldRunHere = isAllowed(job, here) && fits(job, own);
  return couldRunHere ? [] : others.map(([id]) => id);
}

/**
 * Error text when none of the job's allowed data centres could ever hold it;
 * undefined when one could.
 */
export function findMisfit(
  job: JobSpecification,
  document: Document,
): string | undefined {
  const reasons = Object.entries(document.dataCentres)
    .filter(([id]) => isAllowed(job, id))
    .map(([id, section]) => ({
      id,
      reason: whyNeverFits(job, declaredRacks(section)),
    }));
  if (reasons.some(({ reason }) => reason === undefined)) {
    return undefined;
  }
  return reasons.map(({ id, reason }) => `${id}: ${reason}`).join(" ");
}

/** Error text for a name in the job that the document doesn't define. */
export function findUnknownName(
  job: JobSpecification,
  document: Document,
): string | undefined {
  if (document.clientAccounts[job.clientAccount] === undefined) {
    return `no client account ${job.clientAccount}`;
  }
  if (document.jobClasses[job.jobClass] === undefined) {
    return `no job class ${job.jobClass}`;
  }
  const unknown = job.dataCentres
    .find((id) => document.dataCentres[id] === undefined);
  return unknown === undefined ? undefined : `no data centre ${unknown}`;
}

function canRun(
  job: JobSpecification,
  at: { id: DataCentreId; section: DataCentre },
): boolean {
  return isAllowed(job, at.id) && at.section.status === "in" &&
    fits(job, at.section);
}

function isAllowed(job: JobSpecification, id: DataCentreId): boolean {
  return job.dataCentres.length === 0 || job.dataCentres.includes(id);
}

/** Whether the declared hardware could hold the gang if all were free. */
function fits(job: JobSpecification, section: DataCentre): boolean {
  return whyNeverFits(job, declaredRacks(section)) === undefined;
}

/** Ranks the same region first, because links between regions are slow. */
function rankOf(section: DataCentre, own: DataCentre): number {
  return section.region === own.region ? 0 : 1;
}

function rendezvousHash(jobId: string, id: DataCentreId): string {
  return createHash("sha256").update(`${jobId}\n${id}`).digest("hex");
}

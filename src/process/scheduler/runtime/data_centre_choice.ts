/**
 * Which data centre a job belongs in. Pure functions of the document.
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
 * the job names, or one drawn by its identity. It depends on nothing that
 * operators change in passing, so that a resent job finds the first one.
 */
export function homeDataCentre(
  job: JobSpecification,
  document: Document,
): DataCentreId | undefined {
  const named = job.dataCentres[0];
  if (named !== undefined) {
    return named;
  }
  const drawn = Object.keys(document.dataCentres)
    .map((id) => ({ id, weight: drawWeight(job.jobId, id) }))
    .sort((left, right) => left.weight.localeCompare(right.weight));
  return drawn[0]?.id;
}

/**
 * Where a job that waits in `here` may go, best first: nowhere when it can run
 * here, or when no other data centre can take it.
 */
export function moveTargets(
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
  // Nobody can take it now: it waits where it could run one day.
  const couldRunHere = isAllowed(job, here) && fits(job, own);
  return couldRunHere ? [] : others.map(([id]) => id);
}

/**
 * Why no data centre that the job allows could ever hold it, as a sentence;
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

/** A name in the job that the document doesn't have, as a sentence. */
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

/** Whether the declared hardware, all free, could hold the gang. */
function fits(job: JobSpecification, section: DataCentre): boolean {
  return whyNeverFits(job, declaredRacks(section)) === undefined;
}

/** The same region first: the link between regions is slow. */
function rankOf(section: DataCentre, own: DataCentre): number {
  return section.region === own.region ? 0 : 1;
}

function drawWeight(jobId: string, id: DataCentreId): string {
  return createHash("sha256").update(`${jobId}\n${id}`).digest("hex");
}

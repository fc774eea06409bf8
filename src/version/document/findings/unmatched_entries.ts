/**
 * Entries of a valid document that can never have an effect.
 *
 * @module
 */

import type { Document } from "../document.ts";
import { SECTION_KINDS, type SectionId } from "../section_id.ts";
import type { SectionFinding } from "./document_finding.ts";

/** The rank of urgent jobs, the only ones with a start target. */
const URGENT_RANK = 0;

/** Returns the entries that can never have an effect. */
export function findUnmatchedEntries(document: Document): SectionFinding[] {
  return [
    ...findOwnersWithoutKeys(document),
    ...findUnusableGuarantees(document),
    ...findUnreachableLimits(document),
    ...findUnusedStartTargets(document),
    ...findUnusedServiceEntries(document),
  ];
}

/** Sections that nobody can edit, since their owner has no key. */
function findOwnersWithoutKeys(document: Document): SectionFinding[] {
  const findings: SectionFinding[] = [];
  for (const kind of SECTION_KINDS) {
    const sections: Record<string, { owner: string }> = document[kind];
    for (const [name, { owner }] of Object.entries(sections)) {
      const team = Object.hasOwn(document.teams, owner)
        ? document.teams[owner]
        : undefined;
      if (team?.keyHashes.length === 0) {
        findings.push({
          sectionId: { kind, name },
          path: ["owner"],
          reason: `team ${owner} has no key, so no edit is ever accepted`,
        });
      }
    }
  }
  return findings;
}

/** Guarantees in a data centre that is out, where no task starts. */
function findUnusableGuarantees(document: Document): SectionFinding[] {
  return Object.entries(document.clientAccounts).flatMap(([name, account]) =>
    account.guarantees.flatMap(({ dataCentre }, index) =>
      document.dataCentres[dataCentre]?.status === "out"
        ? [{
          sectionId: { kind: "clientAccounts" as const, name },
          path: ["guarantees", index, "dataCentre"],
          reason: `data centre ${dataCentre} is out, so no task starts there`,
        }]
        : []
    )
  );
}

/** Borrowing limits that the hardware can't reach, or without borrowing. */
function findUnreachableLimits(document: Document): SectionFinding[] {
  const pool = Object.values(document.dataCentres)
    .flatMap(({ racks }) => racks)
    .reduce((sum, rack) => sum + rack.workers * rack.acceleratorsPerWorker, 0);
  const findings: SectionFinding[] = [];
  for (const [name, account] of Object.entries(document.clientAccounts)) {
    const { borrowingLimitAccelerators: limit, borrowingWeight } = account;
    const place = {
      sectionId: { kind: "clientAccounts" as const, name },
      path: ["borrowingLimitAccelerators"],
    };
    if (limit === undefined) {
      continue;
    }
    if (borrowingWeight === 0) {
      const reason = "nothing is borrowed with borrowingWeight 0";
      findings.push({ ...place, reason });
    } else if (limit > pool) {
      const reason = `${limit} is above the ${pool} accelerators of all ` +
        "data centres";
      findings.push({ ...place, reason });
    }
  }
  return findings;
}

function findUnusedStartTargets(document: Document): SectionFinding[] {
  return Object.entries(document.jobClasses).flatMap(([name, jobClass]) =>
    jobClass.startTargetMs !== undefined && jobClass.rank !== URGENT_RANK
      ? [{
        sectionId: { kind: "jobClasses" as const, name },
        path: ["startTargetMs"],
        reason: `only rank ${URGENT_RANK} has a start target, not rank ` +
          jobClass.rank,
      }]
      : []
  );
}

function findUnusedServiceEntries(document: Document): SectionFinding[] {
  const findings: SectionFinding[] = [];
  const dataCentres = Object.keys(document.dataCentres);
  for (const [name, service] of Object.entries(document.services)) {
    const sectionId: SectionId = { kind: "services", name };
    const { dataCentreWeights: weights, drainedServers } = service;
    if (
      dataCentres.length > 0 &&
      dataCentres.every((dataCentre) => weights[dataCentre] === 0)
    ) {
      findings.push({
        sectionId,
        path: ["dataCentreWeights"],
        reason: "every data centre has weight 0, so no request is served",
      });
    }
    drainedServers.forEach((server, index) => {
      if (drainedServers.indexOf(server) < index) {
        findings.push({
          sectionId,
          path: ["drainedServers", index],
          reason: `${server} is already drained by an earlier entry`,
        });
      }
    });
  }
  return findings;
}

/**
 * Rules across sections, checked on the whole document before an edit is
 * accepted.
 *
 * @module
 */

import type { DataCentreId } from "../../base/identity.ts";
import type { DataCentre, Document } from "./document.ts";
import { findUnplacedGuarantee } from "./guarantee_packing.ts";
import { SECTION_KINDS, type SectionId } from "./section_id.ts";

/** Maximum workers that one data centre may declare. */
export const DATA_CENTRE_WORKERS_LIMIT = 4_096;

/** Maximum accelerators that one worker may declare. */
export const WORKER_ACCELERATORS_LIMIT = 64;

/** Maximum shapes that may be guaranteed in one data centre. */
export const DATA_CENTRE_SHAPES_LIMIT = 1_024;

/** A violated rule: the section, the field in it and the reason. */
export interface DocumentFault {
  readonly sectionId: SectionId;
  /** Path of the field within the section. */
  readonly path: readonly (string | number)[];
  readonly reason: string;
}

/** How to check a document. */
export interface CheckDocumentOptions {
  /**
   * A valid document that this one was derived from. Data centres whose
   * hardware and guarantees are the same objects in both are not packed again.
   */
  readonly before?: Document;
}

/** Returns all violated rules; none when the document is valid. */
export function checkDocument(
  document: Document,
  options: CheckDocumentOptions = {},
): DocumentFault[] {
  return [
    ...checkOwners(document),
    ...checkTeams(document),
    ...checkRacks(document),
    ...checkGuarantees(document, options.before),
    ...checkServices(document),
  ];
}

/** Sorted by name, so that every instance reports faults in the same order. */
function sortedEntries<T>(
  sections: Readonly<Record<string, T>>,
): [string, T][] {
  return Object.entries(sections).sort(([a], [b]) => a < b ? -1 : 1);
}

function checkOwners(document: Document): DocumentFault[] {
  const faults: DocumentFault[] = [];
  for (const kind of SECTION_KINDS) {
    for (
      const [name, section] of sortedEntries<{ owner: string }>(document[kind])
    ) {
      if (!Object.hasOwn(document.teams, section.owner)) {
        faults.push({
          sectionId: { kind, name },
          path: ["owner"],
          reason: `there is no team ${section.owner}`,
        });
      }
    }
  }
  return faults;
}

/**
 * Checks team names and keys. A team that owns itself needs a key, since
 * nobody could edit it otherwise.
 */
function checkTeams(document: Document): DocumentFault[] {
  const faults: DocumentFault[] = [];
  for (const [name, team] of sortedEntries(document.teams)) {
    const sectionId: SectionId = { kind: "teams", name };
    if (name.includes(":")) {
      faults.push({
        sectionId,
        path: [],
        reason: "a team's name has no colon, since its keys follow one",
      });
    }
    if (team.owner === name && team.keyHashes.length === 0) {
      faults.push({
        sectionId,
        path: ["keyHashes"],
        reason: "a team that owns itself needs a key",
      });
    }
    if (new Set(team.keyHashes).size < team.keyHashes.length) {
      faults.push({
        sectionId,
        path: ["keyHashes"],
        reason: "the same key hash stands twice",
      });
    }
  }
  return faults;
}

function checkRacks(document: Document): DocumentFault[] {
  const faults: DocumentFault[] = [];
  for (const [name, dataCentre] of sortedEntries(document.dataCentres)) {
    const sectionId: SectionId = { kind: "dataCentres", name };
    const index = firstRepeated(dataCentre.racks.map((rack) => rack.name));
    if (index !== undefined) {
      faults.push({
        sectionId,
        path: ["racks", index, "name"],
        reason: "another rack of the data centre has this name",
      });
    }
    const oversize = findOversize(dataCentre);
    if (oversize !== undefined) {
      faults.push({ sectionId, path: ["racks"], reason: oversize });
    }
  }
  return faults;
}

/** Why the hardware exceeds the limits, which bound the cost of packing. */
function findOversize(dataCentre: DataCentre): string | undefined {
  const { racks } = dataCentre;
  const workers = racks.reduce((sum, rack) => sum + rack.workers, 0);
  if (workers > DATA_CENTRE_WORKERS_LIMIT) {
    return `a data centre has at most ${DATA_CENTRE_WORKERS_LIMIT} workers`;
  }
  const maxAccelerators = Math.max(
    0,
    ...racks.map((rack) => rack.acceleratorsPerWorker),
  );
  if (maxAccelerators > WORKER_ACCELERATORS_LIMIT) {
    return `a worker has at most ${WORKER_ACCELERATORS_LIMIT} accelerators`;
  }
  return undefined;
}

function checkGuarantees(
  document: Document,
  before: Document | undefined,
): DocumentFault[] {
  const faults: DocumentFault[] = [];
  const used = new Set<DataCentreId>();
  for (const [name, account] of sortedEntries(document.clientAccounts)) {
    account.guarantees.forEach(({ dataCentre }, index) => {
      if (Object.hasOwn(document.dataCentres, dataCentre)) {
        used.add(dataCentre);
      } else {
        faults.push({
          sectionId: { kind: "clientAccounts", name },
          path: ["guarantees", index, "dataCentre"],
          reason: `there is no data centre ${dataCentre}`,
        });
      }
    });
  }
  const unchanged = unchangedDataCentres(document, before);
  for (const dataCentre of [...used].sort()) {
    const fault = unchanged.has(dataCentre)
      ? undefined
      : checkGuaranteesFit(document, dataCentre);
    if (fault !== undefined) {
      faults.push(fault);
    }
  }
  return faults;
}

/** Data centres whose hardware and guarantees are the same as in `before`. */
function unchangedDataCentres(
  document: Document,
  before: Document | undefined,
): Set<DataCentreId> {
  const unchanged = new Set<DataCentreId>();
  if (before === undefined) {
    return unchanged;
  }
  for (const [name, section] of Object.entries(before.dataCentres)) {
    if (document.dataCentres[name] === section) {
      unchanged.add(name);
    }
  }
  const accounts = [document.clientAccounts, before.clientAccounts];
  for (const name of accounts.flatMap((sections) => Object.keys(sections))) {
    const [current, previous] = accounts.map((sections) => sections[name]);
    if (current !== previous) {
      const guarantees = [current, previous].flatMap((entry) =>
        entry?.guarantees ?? []
      );
      guarantees.forEach(({ dataCentre }) => unchanged.delete(dataCentre));
    }
  }
  return unchanged;
}

/** Checks that the hardware fits all guarantees of the data centre together. */
function checkGuaranteesFit(
  document: Document,
  dataCentre: DataCentreId,
): DocumentFault | undefined {
  const hardware = document.dataCentres[dataCentre] as DataCentre;
  if (findOversize(hardware) !== undefined) {
    return undefined;
  }
  if (countShapes(document, dataCentre) > DATA_CENTRE_SHAPES_LIMIT) {
    return {
      sectionId: { kind: "dataCentres", name: dataCentre },
      path: [],
      reason: `more than ${DATA_CENTRE_SHAPES_LIMIT} shapes are guaranteed`,
    };
  }
  const unplaced = findUnplacedGuarantee(document, dataCentre);
  if (unplaced === undefined) {
    return undefined;
  }
  const { clientAccount, guaranteeIndex, guarantee } = unplaced;
  const { racks, workersPerRack, acceleratorsPerWorker, count } = guarantee;
  return {
    sectionId: { kind: "clientAccounts", name: clientAccount },
    path: ["guarantees", guaranteeIndex],
    reason: `${count} x (${racks} racks x ${workersPerRack} workers x ` +
      `${acceleratorsPerWorker} accelerators) does not fit the racks of ` +
      `${dataCentre} together with all other guarantees there`,
  };
}

function countShapes(document: Document, dataCentre: DataCentreId): number {
  return Object.values(document.clientAccounts)
    .flatMap((account) => account.guarantees)
    .filter((guarantee) => guarantee.dataCentre === dataCentre)
    .reduce((sum, guarantee) => sum + guarantee.count, 0);
}

function checkServices(document: Document): DocumentFault[] {
  const faults: DocumentFault[] = [];
  for (const [name, service] of sortedEntries(document.services)) {
    const sectionId: SectionId = { kind: "services", name };
    for (const dataCentre of Object.keys(service.dataCentreWeights)) {
      if (!Object.hasOwn(document.dataCentres, dataCentre)) {
        faults.push({
          sectionId,
          path: ["dataCentreWeights", dataCentre],
          reason: `there is no data centre ${dataCentre}`,
        });
      }
    }
    const index = firstRepeated(service.classes.map((entry) => entry.name));
    if (index !== undefined) {
      faults.push({
        sectionId,
        path: ["classes", index, "name"],
        reason: "another class of the service has this name",
      });
    }
  }
  return faults;
}

function firstRepeated(names: readonly string[]): number | undefined {
  const index = names.findIndex((name, at) => names.indexOf(name) < at);
  return index < 0 ? undefined : index;
}

/**
 * Limits of a valid document that contradict each other.
 *
 * @module
 */

import type { Document } from "../document.ts";
import type { SectionFinding } from "./document_finding.ts";

/** Returns the limits that contradict each other. */
export function findContradictoryLimits(document: Document): SectionFinding[] {
  return [
    ...checkClientAccounts(document),
    ...checkJobClasses(document),
    ...checkDataCentres(document),
    ...checkServices(document),
  ];
}

function checkClientAccounts(document: Document): SectionFinding[] {
  const findings: SectionFinding[] = [];
  for (const [name, account] of Object.entries(document.clientAccounts)) {
    const { guarantees, borrowingWeight, borrowingLimitAccelerators } = account;
    const sectionId = { kind: "clientAccounts" as const, name };
    if (guarantees.length === 0 && borrowingWeight === 0) {
      findings.push({
        sectionId,
        path: ["borrowingWeight"],
        reason: "without guarantees and with weight 0, queued jobs never start",
      });
    }
    if (borrowingWeight > 0 && borrowingLimitAccelerators === 0) {
      findings.push({
        sectionId,
        path: ["borrowingLimitAccelerators"],
        reason: `a limit of 0 contradicts borrowingWeight ${borrowingWeight}`,
      });
    }
  }
  return findings;
}

function checkJobClasses(document: Document): SectionFinding[] {
  const findings: SectionFinding[] = [];
  for (const [name, jobClass] of Object.entries(document.jobClasses)) {
    const { throttleFactor, stopFactor, startTargetMs } = jobClass;
    const sectionId = { kind: "jobClasses" as const, name };
    if (throttleFactor >= stopFactor) {
      findings.push({
        sectionId,
        path: ["throttleFactor"],
        reason: `${throttleFactor} is not below stopFactor ${stopFactor}, so ` +
          "a job is stopped before it is throttled",
      });
    }
    if (startTargetMs === 0) {
      findings.push({
        sectionId,
        path: ["startTargetMs"],
        reason: "a start target of 0 can't be met",
      });
    }
  }
  return findings;
}

function checkDataCentres(document: Document): SectionFinding[] {
  const findings: SectionFinding[] = [];
  const [longest] = Object.entries(document.jobClasses)
    .sort(([, left], [, right]) => right.checkpointMs - left.checkpointMs);
  for (const [name, dataCentre] of Object.entries(document.dataCentres)) {
    const { drainMs, returnFractionPerMinute } = dataCentre;
    const sectionId = { kind: "dataCentres" as const, name };
    if (longest !== undefined && longest[1].checkpointMs > drainMs) {
      findings.push({
        sectionId,
        path: ["drainMs"],
        reason: `${drainMs} is below checkpointMs ${longest[1].checkpointMs} ` +
          `of job class ${longest[0]}`,
      });
    }
    if (returnFractionPerMinute === 0) {
      findings.push({
        sectionId,
        path: ["returnFractionPerMinute"],
        reason: "with 0 only urgent jobs start once the data centre is back in",
      });
    }
  }
  return findings;
}

function checkServices(document: Document): SectionFinding[] {
  const findings: SectionFinding[] = [];
  for (const [name, service] of Object.entries(document.services)) {
    const { slotsPerServer, connectionsPerServer } = service;
    const sectionId = { kind: "services" as const, name };
    if (slotsPerServer > connectionsPerServer) {
      findings.push({
        sectionId,
        path: ["slotsPerServer"],
        reason: `${slotsPerServer} is above connectionsPerServer ` +
          connectionsPerServer,
      });
    }
    service.classes.forEach(({ queueLimit, defaultTimeoutMs }, index) => {
      const path = ["classes", index];
      if (queueLimit === 0) {
        findings.push({
          sectionId,
          path: [...path, "queueLimit"],
          reason: "a queue limit of 0 refuses every request that must wait",
        });
      }
      if (defaultTimeoutMs === 0) {
        findings.push({
          sectionId,
          path: [...path, "defaultTimeoutMs"],
          reason: "a timeout of 0 has passed when the request arrives",
        });
      }
      if (defaultTimeoutMs > service.outcomeRetentionMs) {
        findings.push({
          sectionId,
          path: [...path, "defaultTimeoutMs"],
          reason: `${defaultTimeoutMs} is above outcomeRetentionMs ` +
            `${service.outcomeRetentionMs}, so a retry in time may run again`,
        });
      }
    });
  }
  return findings;
}

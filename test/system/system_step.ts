/**
 * The steps of a random history. They are plain data: failing histories are
 * printed, and tests repeat them.
 *
 * @module
 */

import fc from "fast-check";
import {
  SYSTEM_DATA_CENTRES,
  SYSTEM_INSTANCES,
  type SystemDataCentre,
  type SystemInstanceId,
} from "./system_document.ts";
import { SYSTEM_WORKER_IDS, type SystemWorkerId } from "./system_workers.ts";

/** One step of a history; `at` is the instance that it concerns. */
export type SystemStep =
  | { readonly kind: "pass"; readonly byMs: number }
  /** Submits a job of `1 + job % tasks` tasks. */
  | {
    readonly kind: "submit";
    readonly at: SystemInstanceId;
    readonly job: number;
    readonly tasks: number;
    readonly runMs: number;
  }
  | {
    readonly kind: "cancel";
    readonly at: SystemInstanceId;
    readonly job: number;
  }
  /** Two operators edit the same section from the same version at once. */
  | {
    readonly kind: "race";
    readonly at: SystemInstanceId;
    readonly other: SystemInstanceId;
    readonly rank: number;
  }
  /** Resends the last edit, as after a lost answer. */
  | { readonly kind: "resend"; readonly at: SystemInstanceId }
  /** Puts a data centre in or takes it out. */
  | {
    readonly kind: "switch";
    readonly at: SystemInstanceId;
    readonly dataCentre: SystemDataCentre;
    readonly status: "in" | "out";
  }
  /** Sends a request to one instance, and shortly after to another. */
  | {
    readonly kind: "request";
    readonly at: SystemInstanceId;
    readonly other: SystemInstanceId;
    readonly request: number;
    readonly timeoutMs: number;
  }
  /** Sets the fraction of requests that fail at backend servers. */
  | { readonly kind: "serverFaults"; readonly rate: number }
  | { readonly kind: "crash"; readonly at: SystemInstanceId }
  /** Resumes an instance that is frozen, or starts one that is down. */
  | { readonly kind: "start"; readonly at: SystemInstanceId }
  | { readonly kind: "stop"; readonly at: SystemInstanceId }
  /**
   * Ends all faults; an instance then loses its disk, and after its repair
   * `next` crashes, unless it is the same instance.
   */
  | {
    readonly kind: "wipe";
    readonly at: SystemInstanceId;
    readonly next: SystemInstanceId;
  }
  | { readonly kind: "freeze"; readonly at: SystemInstanceId }
  | { readonly kind: "resume"; readonly at: SystemInstanceId }
  | {
    readonly kind: "cutOneWay";
    readonly at: SystemInstanceId;
    readonly other: SystemInstanceId;
  }
  | { readonly kind: "cutRegions" }
  | { readonly kind: "heal" }
  /** Sets the rates of lost, duplicated and late messages. */
  | { readonly kind: "weather"; readonly rate: number }
  /** Sets whether the worker fails all tasks that it starts. */
  | {
    readonly kind: "failing";
    readonly worker: SystemWorkerId;
    readonly isOn: boolean;
  }
  /** Kills or revives a worker. */
  | {
    readonly kind: "worker";
    readonly worker: SystemWorkerId;
    readonly lives: boolean;
  };

const at = fc.constantFrom(...SYSTEM_INSTANCES.map(({ id }) => id));
const other = at;
const dataCentre = fc.constantFrom(...SYSTEM_DATA_CENTRES);
const worker = fc.constantFrom(...SYSTEM_WORKER_IDS);
const job = fc.nat({ max: 7 });
const constantKind = <Kind extends string>(kind: Kind) => fc.constant(kind);

/** Any step; work is more frequent than faults. */
export const anySystemStep: fc.Arbitrary<SystemStep> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: constantKind("pass"),
      byMs: fc.constantFrom(50, 300, 1_000, 3_000),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: constantKind("submit"),
      at,
      job,
      tasks: fc.constantFrom(1, 2, 3, 4),
      runMs: fc.constantFrom(500, 3_000, 25_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: constantKind("cancel"), at, job }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: constantKind("race"),
      at,
      other,
      rank: fc.nat({ max: 9 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: constantKind("resend"), at }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: constantKind("switch"),
      at,
      dataCentre,
      status: fc.constantFrom("in" as const, "out" as const),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: constantKind("request"),
      at,
      other,
      request: fc.nat({ max: 9 }),
      timeoutMs: fc.constantFrom(100, 600, 2_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: constantKind("serverFaults"),
      rate: fc.constantFrom(0, 0.5),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: constantKind("crash"), at }) },
  { weight: 3, arbitrary: fc.record({ kind: constantKind("start"), at }) },
  { weight: 1, arbitrary: fc.record({ kind: constantKind("stop"), at }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: constantKind("wipe"), at, next: at }),
  },
  { weight: 1, arbitrary: fc.record({ kind: constantKind("freeze"), at }) },
  { weight: 1, arbitrary: fc.record({ kind: constantKind("resume"), at }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: constantKind("cutOneWay"), at, other }),
  },
  { weight: 1, arbitrary: fc.record({ kind: constantKind("cutRegions") }) },
  { weight: 2, arbitrary: fc.record({ kind: constantKind("heal") }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: constantKind("weather"),
      rate: fc.constantFrom(0, 0.05, 0.2),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: constantKind("failing"),
      worker,
      isOn: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: constantKind("worker"),
      worker,
      lives: fc.boolean(),
    }),
  },
);

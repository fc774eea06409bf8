/**
 * The steps of a random history: what is done to the system, in words that
 * can be printed and read back from a seed.
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

/** One step of a history. */
export type SystemStep =
  | { readonly kind: "pass"; readonly byMs: number }
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
  /** Operators edit the same section from the same version at once. */
  | {
    readonly kind: "race";
    readonly at: SystemInstanceId;
    readonly other: SystemInstanceId;
    readonly rank: number;
  }
  /** The last edit once more, as after a lost answer. */
  | { readonly kind: "resend"; readonly at: SystemInstanceId }
  | {
    readonly kind: "switch";
    readonly at: SystemInstanceId;
    readonly dataCentre: SystemDataCentre;
    readonly status: "in" | "out";
  }
  /** One request through two instances, the second a little later. */
  | {
    readonly kind: "request";
    readonly at: SystemInstanceId;
    readonly other: SystemInstanceId;
    readonly request: number;
    readonly timeoutMs: number;
  }
  | { readonly kind: "serverFaults"; readonly rate: number }
  | { readonly kind: "crash"; readonly at: SystemInstanceId }
  | { readonly kind: "start"; readonly at: SystemInstanceId }
  | { readonly kind: "stop"; readonly at: SystemInstanceId }
  /** Loses its disk; after the repair another instance crashes. */
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
  | { readonly kind: "weather"; readonly rate: number }
  | {
    readonly kind: "failing";
    readonly worker: SystemWorkerId;
    readonly isOn: boolean;
  }
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
const is = <Kind extends string>(kind: Kind) => fc.constant(kind);

/** Any step; work comes more often than faults. */
export const anySystemStep: fc.Arbitrary<SystemStep> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: is("pass"),
      byMs: fc.constantFrom(50, 300, 1_000, 3_000),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: is("submit"),
      at,
      job,
      tasks: fc.constantFrom(1, 2, 3, 4),
      runMs: fc.constantFrom(500, 3_000, 25_000),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: is("cancel"), at, job }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: is("race"),
      at,
      other,
      rank: fc.nat({ max: 9 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: is("resend"), at }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: is("switch"),
      at,
      dataCentre,
      status: fc.constantFrom("in" as const, "out" as const),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: is("request"),
      at,
      other,
      request: fc.nat({ max: 9 }),
      timeoutMs: fc.constantFrom(100, 600, 2_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: is("serverFaults"),
      rate: fc.constantFrom(0, 0.5),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: is("crash"), at }) },
  { weight: 3, arbitrary: fc.record({ kind: is("start"), at }) },
  { weight: 1, arbitrary: fc.record({ kind: is("stop"), at }) },
  { weight: 1, arbitrary: fc.record({ kind: is("wipe"), at, next: at }) },
  { weight: 1, arbitrary: fc.record({ kind: is("freeze"), at }) },
  { weight: 1, arbitrary: fc.record({ kind: is("resume"), at }) },
  { weight: 1, arbitrary: fc.record({ kind: is("cutOneWay"), at, other }) },
  { weight: 1, arbitrary: fc.record({ kind: is("cutRegions") }) },
  { weight: 2, arbitrary: fc.record({ kind: is("heal") }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: is("weather"),
      rate: fc.constantFrom(0, 0.05, 0.2),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: is("failing"), worker, isOn: fc.boolean() }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: is("worker"), worker, lives: fc.boolean() }),
  },
);

/**
 * Several state machines behind one log, so that a data centre pays for one
 * group's heartbeats and elections, and not for one group a part.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../base/mod.ts";
import type { StateMachine } from "../replication/replicated_log.ts";

/** A command for one of the parts. */
export interface PartCommand {
  readonly part: string;
  readonly command: unknown;
}

/** The version of the snapshot's own format. */
const SNAPSHOT_FORMAT_VERSION = 1;

const snapshotSchema = z.strictObject({
  formatVersion: z.literal(SNAPSHOT_FORMAT_VERSION),
  parts: z.record(
    z.string(),
    z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  ),
});

type AnyMachine = StateMachine<unknown, unknown>;

/** Applies each command to the part that it is for. */
export class SharedMachine implements StateMachine<PartCommand, unknown> {
  #parts: ReadonlyMap<string, AnyMachine>;

  constructor(options: { parts: Readonly<Record<string, AnyMachine>> }) {
    this.#parts = new Map(Object.entries(options.parts));
  }

  apply({ part, command }: PartCommand, index: number): unknown {
    return this.#parts.get(part)?.apply(command, index);
  }

  snapshot(): Uint8Array {
    const parts: Record<string, Uint8Array> = {};
    for (const [name, machine] of this.#parts) {
      parts[name] = machine.snapshot();
    }
    return pack({ formatVersion: SNAPSHOT_FORMAT_VERSION, parts });
  }

  /** A part that the snapshot doesn't know stays as it is. */
  restore(snapshot: Uint8Array): Result<void> {
    const checked = snapshotSchema.safeParse(unpack(snapshot));
    if (!checked.success) {
      return failure("storageFailed", { detail: "not a shared snapshot" });
    }
    let result: Result<void> = Right(undefined);
    for (const [name, machine] of this.#parts) {
      const bytes = checked.data.parts[name];
      if (bytes !== undefined) {
        result = result.chain(() => machine.restore(bytes));
      }
    }
    return result;
  }
}

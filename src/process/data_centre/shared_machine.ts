/**
 * Several state machines behind one log. Sharing one replication group spares
 * a data centre the heartbeats and elections of a group per state machine.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import { Right } from "purify-ts/Either";
import * as z from "zod";
import { failure, type Result } from "../../base/mod.ts";
import type { StateMachine } from "../replication/replicated_log.ts";

/** A command for one of the components. */
export interface ComponentCommand {
  /** The component's name. */
  readonly part: string;
  readonly command: unknown;
}

/** Format version of the shared snapshot. */
const SNAPSHOT_FORMAT_VERSION = 1;

const snapshotSchema = z.strictObject({
  formatVersion: z.literal(SNAPSHOT_FORMAT_VERSION),
  parts: z.record(
    z.string(),
    z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  ),
});

type AnyMachine = StateMachine<unknown, unknown>;

/** Applies each command to the component that it names. */
export class SharedMachine implements StateMachine<ComponentCommand, unknown> {
  #components: ReadonlyMap<string, AnyMachine>;

  constructor(options: { parts: Readonly<Record<string, AnyMachine>> }) {
    this.#components = new Map(Object.entries(options.parts));
  }

  apply({ part, command }: ComponentCommand, index: number): unknown {
    return this.#components.get(part)?.apply(command, index);
  }

  snapshot(): Uint8Array {
    const parts: Record<string, Uint8Array> = {};
    for (const [name, machine] of this.#components) {
      parts[name] = machine.snapshot();
    }
    return pack({ formatVersion: SNAPSHOT_FORMAT_VERSION, parts });
  }

  /**
   * A component that the snapshot doesn't contain keeps its state. If one can't
   * be restored, all keep theirs.
   */
  restore(snapshot: Uint8Array): Result<void> {
    return parseSnapshot(snapshot).chain(({ parts }) => {
      const replaced: { machine: AnyMachine; before: Uint8Array }[] = [];
      for (const [name, machine] of this.#components) {
        const bytes = parts[name];
        if (bytes === undefined) {
          continue;
        }
        replaced.push({ machine, before: machine.snapshot() });
        const restored = restorePart(machine, bytes);
        if (restored.isLeft()) {
          replaced.forEach((part) => restorePart(part.machine, part.before));
          return restored;
        }
      }
      return Right(undefined);
    });
  }
}

function parseSnapshot(
  snapshot: Uint8Array,
): Result<z.infer<typeof snapshotSchema>> {
  try {
    return Right(snapshotSchema.parse(unpack(snapshot)));
  } catch (error) {
    return failure("storageFailed", {
      detail: `not a snapshot of a shared state machine: ${String(error)}`,
    });
  }
}

function restorePart(machine: AnyMachine, bytes: Uint8Array): Result<void> {
  try {
    return machine.restore(bytes);
  } catch (error) {
    return failure("storageFailed", { detail: String(error) });
  }
}

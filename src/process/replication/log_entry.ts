/**
 * Entries and snapshots of a replicated log.
 *
 * @module
 */

import { pack, unpack } from "msgpackr";
import * as z from "zod";
import {
  type GroupConfiguration,
  groupConfigurationSchema,
} from "./group_configuration.ts";

/** Validates encoded bytes. */
export const bytesSchema = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array,
);

/** Validates a {@link LogEntry}. */
export const logEntrySchema = z.strictObject({
  /** Position in the group's log, from 1. */
  index: z.int().min(1),
  /** The term of the leader that created the entry. */
  term: z.int().min(1),
  /** `start` is the empty entry with which a leader begins its term. */
  kind: z.enum(["command", "configuration", "start"]),
  /** The encoded command or configuration. */
  data: bytesSchema,
});

/** One entry of the log. */
export type LogEntry = z.infer<typeof logEntrySchema>;

/** The state of the group after the entry at `index`. */
export interface LogSnapshot {
  readonly index: number;
  readonly term: number;
  readonly configuration: GroupConfiguration;
  /** The encoded state machine. */
  readonly data: Uint8Array;
}

/** The state, besides entries, that a member must persist before it answers. */
export interface HardState {
  /**
   * Identifies the stored state: a member that lost its state gets a higher
   * one.
   */
  readonly incarnation: number;
  /** The group's ID, or undefined while the member belongs to none. */
  readonly formationId: string | undefined;
  readonly term: number;
  /** The member that got this member's vote in the term. */
  readonly votedFor: string | undefined;
  /**
   * The members that are to form the group with this one; absent once it belongs
   * to a group, and on members that join one.
   */
  readonly founderIds?: readonly string[] | undefined;
}

/** The approximate size of an entry in a message, in bytes. */
export function entryBytes(entry: LogEntry): number {
  return entry.data.byteLength + ENTRY_OVERHEAD_BYTES;
}

const ENTRY_OVERHEAD_BYTES = 24;

/** Encodes a configuration as the data of an entry. */
export function encodeConfiguration(
  configuration: GroupConfiguration,
): Uint8Array {
  return pack(configuration);
}

/** Decodes the configuration in an entry's data. */
export function decodeConfiguration(data: Uint8Array): GroupConfiguration {
  return groupConfigurationSchema.parse(unpack(data));
}

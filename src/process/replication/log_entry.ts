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
  /** Counts the entries of a group, from 1. */
  index: z.int().min(1),
  /** The term of the leader that made it. */
  term: z.int().min(1),
  /** `start` opens a leader's term and changes nothing. */
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
  /** What the state machine made of itself. */
  readonly data: Uint8Array;
}

/** What a member must remember besides entries, before it answers. */
export interface HardState {
  /** Which start of this member; a member that lost its state has a new one. */
  readonly incarnation: number;
  /** The group's identity, or undefined while none is known. */
  readonly formationId: string | undefined;
  readonly term: number;
  /** The member that got this one's vote in the term. */
  readonly votedFor: string | undefined;
}

/** About what an entry takes in a message, in bytes. */
export function entryBytes(entry: LogEntry): number {
  return entry.data.byteLength + ENTRY_OVERHEAD_BYTES;
}

const ENTRY_OVERHEAD_BYTES = 24;

/** The configuration as an entry carries it. */
export function encodeConfiguration(
  configuration: GroupConfiguration,
): Uint8Array {
  return pack(configuration);
}

/** The configuration that an entry carries. */
export function decodeConfiguration(data: Uint8Array): GroupConfiguration {
  return groupConfigurationSchema.parse(unpack(data));
}

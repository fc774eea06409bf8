/**
 * Opening of a member's stored log, at the start and after a disk fault.
 *
 * @module
 */

import { Right } from "purify-ts/Either";
import type { Clock } from "../../base/clock.ts";
import { type EventLog, SILENT_EVENT_LOG } from "../../base/event_log.ts";
import type { RandomSource } from "../../base/random_source.ts";
import type { Result } from "../../base/sesame_error.ts";
import type { LogStore } from "./log_store.ts";
import { EMPTY_SNAPSHOT } from "./raft_log.ts";
import type { StoredLog } from "./stored_log.ts";

/** Incarnations within one millisecond of the clock. */
const INCARNATIONS_PER_MS = 1_024;

/** Options of {@link openStore}. */
export interface OpeningOptions {
  readonly groupId: string;
  readonly store: LogStore | undefined;
  /** The members that form the group, if this one is to form it with them. */
  readonly founderIds?: readonly string[] | undefined;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events?: EventLog;
}

/**
 * Loads the member's log. If there is none, or it is damaged, the member starts
 * without state under a new incarnation and catches up from its peers.
 */
export async function openStore(
  options: OpeningOptions,
): Promise<Result<StoredLog>> {
  const { store } = options;
  if (store === undefined) {
    return Right(emptyLog(options));
  }
  const loaded = await store.load();
  if (loaded.isLeft()) {
    return loaded.map(() => emptyLog(options));
  }
  const found = loaded.unsafeCoerce();
  switch (found.kind) {
    case "whole":
      return Right(found.log);
    case "corrupt":
      (options.events ?? SILENT_EVENT_LOG).emit("logCorrupt", {
        group: options.groupId,
        detail: found.detail,
      });
      return await startEmpty(options, store);
    case "empty":
      return await startEmpty(options, store);
  }
}

async function startEmpty(
  options: OpeningOptions,
  store: LogStore,
): Promise<Result<StoredLog>> {
  const log = emptyLog(options);
  const wiped = await store.wipe();
  if (wiped.isLeft()) {
    return wiped.map(() => log);
  }
  const persisted = await store.persist([{
    kind: "persist",
    sequence: 0,
    hardState: log.hardState,
    snapshot: undefined,
    replacesEntries: false,
    entries: [],
  }]);
  return persisted.map(() => log);
}

/**
 * An empty log, under an incarnation that this member has never had: it grows
 * with the clock, and a peer that knows a higher one reports it.
 */
function emptyLog(options: OpeningOptions): StoredLog {
  const { founderIds } = options;
  const nowMs = Math.max(1, Math.floor(options.clock.nowMs()));
  const incarnation = nowMs * INCARNATIONS_PER_MS +
    options.random.nextInt(INCARNATIONS_PER_MS);
  return {
    hardState: {
      incarnation,
      formationId: undefined,
      term: 0,
      votedFor: undefined,
      founderIds,
    },
    snapshot: EMPTY_SNAPSHOT,
    entries: [],
  };
}

/**
 * A member between two openings of its log: its core, and the calls that depend
 * on it.
 *
 * @module
 */

import type { SesameError } from "../../base/sesame_error.ts";
import { SILENT_EVENT_LOG } from "../../base/event_log.ts";
import type { PeerChannel } from "../../connection/peer_network.ts";
import type { AppliedState } from "./applied_state.ts";
import { CoreDriver } from "./core_driver.ts";
import { LeaderCalls } from "./leader_calls.ts";
import type { MemberDisk } from "./member_disk.ts";
import { RaftCore } from "./raft_core.ts";
import type { RaftEnvelope } from "./raft_message.ts";
import type { ReplicationMemberOptions } from "./member_options.ts";
import type { ReplicationTiming } from "./replication_timing.ts";
import type { StoredLog } from "./stored_log.ts";

/** The catch-up rate if no limit is set. */
const UNLIMITED_BYTES_PER_SECOND = 1e12;

/** What outlives a session. */
export interface SessionContext<Command, Outcome> {
  readonly options: ReplicationMemberOptions<Command, Outcome>;
  readonly timing: ReplicationTiming;
  readonly disk: MemberDisk;
  readonly applied: AppliedState<Command, Outcome>;
  readonly channel: PeerChannel<RaftEnvelope>;
  /** Called after every step. */
  readonly onStep: () => void;
  /** Called when the session has ended by a fault. */
  readonly onFailure: (error: SesameError) => void;
}

/** A core with its calls. */
export class MemberSession<Command, Outcome> {
  readonly driver: CoreDriver<Command, Outcome>;
  readonly calls: LeaderCalls<Command, Outcome>;

  constructor(context: SessionContext<Command, Outcome>, log: StoredLog) {
    const { options, timing, disk, applied, channel } = context;
    const { clock, network, groupId, mutations } = options;
    const core = new RaftCore({
      selfId: network.selfId,
      members: options.members,
      founderIds: options.founderIds,
      wantedVoters: options.wantedVoters,
      random: options.random,
      timing,
      ...log,
      nowMs: clock.nowMs(),
      steadyMs: clock.steadyMs(),
      catchUpBytesPerSecond: options.catchUpBytesPerSecond ??
        (() => UNLIMITED_BYTES_PER_SECOND),
      ...(mutations === undefined ? {} : { mutations }),
    });
    this.driver = new CoreDriver({
      groupId,
      core,
      applied,
      channel,
      store: disk.store,
      clock,
      events: options.events ?? SILENT_EVENT_LOG,
      tickMs: timing.tickMs,
      onMemberDiscovered: options.onMemberDiscovered ?? (() => undefined),
      onStep: context.onStep,
      onSynced: () => disk.markSynced(),
      onFailure: context.onFailure,
    });
    this.calls = new LeaderCalls({ driver: this.driver, channel, clock });
  }

  receive(from: string, envelope: RaftEnvelope): void {
    if (!this.calls.receive(from, envelope)) {
      this.driver.step({ kind: "message", from, envelope });
    }
  }

  /** Ends all calls; nothing more is persisted or sent by the core. */
  close(): void {
    this.driver.stop();
    this.calls.stop();
  }
}

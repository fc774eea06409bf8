/**
 * Replicated logs: consensus among the instances of a group.
 *
 * @module
 */

export { registerDiskMetrics } from "./disk_metrics.ts";
export { GroupMonitor } from "./group_monitor.ts";
export type { GroupMember } from "./raft_effect.ts";
export {
  type DiskStatus,
  MemberRole,
  type MemberStatus,
  type ReplicatedLog,
  type StateMachine,
} from "./replicated_log.ts";
export type {
  MemberChange,
  ReplicationMemberOptions,
} from "./member_options.ts";
export { ReplicationMember } from "./replication_member.ts";
export {
  COMMAND_LIMIT_BYTES,
  leaseMs,
  MAX_CLOCK_DRIFT,
  REPLICATION_TIMING,
  type ReplicationTiming,
} from "./replication_timing.ts";

/**
 * Log events about the batch scheduler. Numbers 7000 to 7999.
 *
 * @module
 */

import type { EventDefinition } from "./event_definition.ts";

/** Events about batch jobs, their tasks and their workers. */
export const BATCH_EVENTS = {
  batchLeaderBegan: {
    number: 7000,
    level: "info",
    text: "This instance leads the batch scheduler under a new epoch.",
    fields: ["epoch", "jobs", "openRuns", "workers"],
  },
  batchLeaderEnded: {
    number: 7001,
    level: "info",
    text: "This instance no longer leads the batch scheduler.",
    fields: ["epoch"],
  },
  batchLeaderFailed: {
    number: 7002,
    level: "warn",
    text: "A leader's session failed, or could not begin.",
    fields: ["detail"],
  },
  runsInherited: {
    number: 7003,
    level: "info",
    text:
      "A new leader took over open runs and orders them again. runs: task/run@worker.",
    fields: ["jobIds", "runs"],
  },
  batchJobAccepted: {
    number: 7010,
    level: "info",
    text: "A job was stored.",
    fields: ["jobId", "queue", "account"],
  },
  batchJobRefused: {
    number: 7011,
    level: "info",
    text: "A job was refused; nothing of it is stored.",
    fields: [
      "jobId",
      "queue",
      "account",
      "reason",
      "retryAfterS",
      "returns",
      "cost",
      "detail",
    ],
  },
  batchJobEnded: {
    number: 7012,
    level: "info",
    text: "A job ended.",
    fields: ["jobId", "phase", "tookMs", "cost"],
  },
  batchCallUnanswered: {
    number: 7013,
    level: "warn",
    text:
      "A call may have been carried out, but no leader confirmed it in time.",
    fields: [
      "jobId",
      "call",
      "leftMs",
      "leaderId",
      "reachedAgoMs",
      "attempts",
    ],
  },
  batchCallUnavailable: {
    number: 7014,
    level: "info",
    text: "A call was rejected because no leader could be reached.",
    fields: [
      "jobId",
      "call",
      "leftMs",
      "leaderId",
      "reachedAgoMs",
      "attempts",
    ],
  },
  batchCancelAnswered: {
    number: 7015,
    level: "info",
    text:
      "The leader answered a cancel that this instance received. attempts: the instances called before, and how each call ended.",
    fields: ["jobId", "answer", "tookMs", "leaderId", "attempts"],
  },
  batchCancelHandled: {
    number: 7016,
    level: "info",
    text:
      "The leader handled a cancel. answer: unknown if its commit failed or another leader took over.",
    fields: ["jobId", "answer", "tookMs"],
  },
  batchSubmissionAbandoned: {
    number: 7017,
    level: "info",
    text:
      "A submission was dropped before it was stored, since its caller has gone; the job doesn't run unless it is sent again.",
    fields: ["jobId"],
  },
  taskStarted: {
    number: 7020,
    level: "info",
    text: "A start of tasks is stored and is sent to their workers.",
    fields: ["jobId", "occurrence", "step", "run", "tasks", "workers"],
  },
  taskEnded: {
    number: 7021,
    level: "info",
    text:
      "The end of a run is stored. worker: the incarnation that it was started on; holder: the one that may have had it last; proof: what showed that it is over; lateStartLeftMs: for how long a start that got no answer may still be carried out, 0 for none.",
    fields: [
      "jobId",
      "task",
      "run",
      "how",
      "worker",
      "holder",
      "proof",
      "startsSent",
      "lateStartLeftMs",
    ],
  },
  taskStartRefused: {
    number: 7022,
    level: "info",
    text: "A worker refused to start a run.",
    fields: ["jobId", "task", "run", "worker", "reason", "startsSent"],
  },
  taskOrderUnanswered: {
    number: 7023,
    level: "info",
    text: "An order got no answer; it may be sent again.",
    fields: ["jobId", "task", "run", "worker", "order", "detail"],
  },
  taskStoppedUnknown: {
    number: 7024,
    level: "warn",
    text: "A worker is told to stop a run that isn't open there.",
    fields: ["jobId", "task", "run", "worker"],
  },
  taskPreempted: {
    number: 7025,
    level: "info",
    text: "A run is stopped to free capacity for more urgent work.",
    fields: ["jobId", "task", "forJobId", "cost"],
  },
  taskSlow: {
    number: 7026,
    level: "warn",
    text: "A run hardly advances on its worker.",
    fields: ["jobId", "task", "run", "worker", "progress", "lagMs"],
  },
  batchWorkerJoined: {
    number: 7030,
    level: "info",
    text: "The leader opened its link to a worker, new or already known.",
    fields: ["worker", "dataCentre", "isDraining"],
  },
  batchWorkerLeft: {
    number: 7031,
    level: "info",
    text: "A worker left, is absent with no lease left, or was replaced.",
    fields: ["worker"],
  },
  batchWorkerReached: {
    number: 7032,
    level: "info",
    text: "A worker answers renewals, for the first time or again.",
    fields: ["worker"],
  },
  batchWorkerSilent: {
    number: 7033,
    level: "warn",
    text: "A worker didn't answer a renewal.",
    fields: ["worker", "detail"],
  },
  batchWorkerSuspect: {
    number: 7034,
    level: "warn",
    text: "Runs of different jobs failed on a worker; it is avoided.",
    fields: ["worker", "task"],
  },
  batchWorkerLeaving: {
    number: 7035,
    level: "info",
    text: "A worker reported that it leaves; its runs are stopped.",
    fields: ["worker", "hasRuns"],
  },
  batchWorkerSpeed: {
    number: 7036,
    level: "info",
    text: "A worker's speed class changed; speed 1 is typical of its service.",
    fields: ["worker", "speedClass", "speed"],
  },
  batchCommitSlow: {
    number: 7040,
    level: "warn",
    text: "A batch was slow to commit.",
    fields: ["durationMs", "items"],
  },
  batchPlanSlow: {
    number: 7047,
    level: "warn",
    text: "A planning pass took long; the leader did nothing else meanwhile.",
    fields: ["durationMs", "liveJobs", "openRuns"],
  },
  accountLimitReached: {
    number: 7060,
    level: "info",
    text:
      "A client account's limit holds its waiting tasks back; the amounts are what it has running.",
    fields: ["account", "cpuMilli", "memoryMb", "accelerators"],
  },
  accountLimitCleared: {
    number: 7061,
    level: "info",
    text: "A client account's limit has held nothing back for some seconds.",
    fields: ["account"],
  },
  batchConfigured: {
    number: 7041,
    level: "info",
    text:
      "A configuration came into force, or was ignored because it isn't newer.",
    fields: ["version", "versionInForce"],
  },
  batchConfigurationRefused: {
    number: 7042,
    level: "info",
    text: "A configuration was refused and changes nothing.",
    fields: ["detail"],
  },
  batchItemTooLarge: {
    number: 7045,
    level: "error",
    text: "A change doesn't fit into an entry of the log; it took no effect.",
    fields: ["kind"],
  },
  batchOutcomeUnknown: {
    number: 7046,
    level: "warn",
    text:
      "A deposed leader's last changes may take effect; it logs none of them. jobIds: the first of their jobs.",
    fields: ["items", "jobIds", "moreJobs"],
  },
  batchOrderAbandoned: {
    number: 7044,
    level: "info",
    text:
      "An order about a data centre wasn't carried out: its caller gave up.",
    fields: ["dataCentre", "isOut"],
  },
  batchDataCentreSwitched: {
    number: 7043,
    level: "info",
    text: "A data centre was taken out of service or back in.",
    fields: ["dataCentre", "isOut"],
  },
  settingsReloaded: {
    number: 7050,
    level: "info",
    text: "The settings file was read again.",
    fields: ["detail"],
  },
} as const satisfies Record<string, EventDefinition>;

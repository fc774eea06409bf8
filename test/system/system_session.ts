/**
 * What operators, client accounts and callers do with the system bed; every
 * call goes on by itself, and its end is shown to the oracle.
 *
 * @module
 */

import { jobSpecificationSchema } from "../../src/process/scheduler/core/job.ts";
import { jobClassText } from "../../src/process/configuration/configuration_fixture.ts";
import type { EditRequest } from "../../src/process/configuration/configuration_service.ts";
import type { HttpCall } from "../../src/process/http/mod.ts";
import { readRequest } from "../../src/process/routing/read_request.ts";
import { RequestHeader } from "../../src/process/routing/request_headers.ts";
import type { CallerAnswer } from "../../src/process/routing/request_service.ts";
import { parseSectionId } from "../../src/version/document/section_id.ts";
import type { SeenEdit } from "./edit_judge.ts";
import type { SystemBed } from "./system_bed.ts";
import {
  dataCentreText,
  OPERATIONS_HASH,
  type SystemDataCentre,
  type SystemInstanceId,
} from "./system_document.ts";
import type { SystemNode } from "./system_node.ts";

/** One edit, ready to be sent and resent. */
export interface PreparedEdit {
  readonly seen: Omit<SeenEdit, "sentAtMs">;
  readonly request: EditRequest;
}

/** How a call ended, as a person would note it. */
export type SessionNote = (line: string) => void;

/** How long a stop waits for calls to end. */
const STOP_MS = 10_000;

/** The users of one bed. */
export class SystemSession {
  readonly #bed: SystemBed;
  readonly #note: SessionNote;
  /** Calls under way, by the process that they were made to. */
  readonly #open = new Map<SystemNode, number>();
  #edits = 0;

  constructor(bed: SystemBed, options: { note?: SessionNote } = {}) {
    this.#bed = bed;
    this.#note = options.note ?? (() => undefined);
  }

  /** Hands in a job of small tasks; the same job again is no error. */
  async submit(
    at: SystemInstanceId,
    job: { jobId: string; tasks: number; runMs: number },
  ): Promise<void> {
    const { jobId, tasks, runMs } = job;
    const node = this.#bed.awake(at);
    if (node === undefined) {
      return;
    }
    this.#bed.oracle.tasks.noteSubmitted(jobId, tasks);
    const result = await node.scheduler.submit(jobSpecificationSchema.parse({
      jobId,
      clientAccount: "buyers",
      jobClass: "normal",
      tasks,
      resources: { cores: 1, memoryBytes: 1, accelerators: 4 },
      declaredRunMs: runMs,
      command: ["run", String(runMs)],
    }));
    result.caseOf({
      Left: ({ kind }) => this.#note(`submit ${jobId} at ${at}: ${kind}`),
      Right: () => {
        this.#bed.oracle.tasks.noteAcknowledged(jobId);
        this.#note(`submit ${jobId} at ${at}: accepted`);
      },
    });
  }

  async cancel(at: SystemInstanceId, jobId: string): Promise<void> {
    const result = await this.#bed.awake(at)?.scheduler.cancel(jobId);
    const end = result?.caseOf({
      Left: ({ kind }) => String(kind),
      Right: () => "accepted",
    });
    this.#note(`cancel ${jobId} at ${at}: ${end ?? "instance is down"}`);
  }

  /** An edit of the job class, from the section's version at an instance. */
  prepareRank(at: SystemInstanceId, rank: number): PreparedEdit | undefined {
    return this.#prepare(at, {
      section: "jobClasses.normal",
      text: jobClassText("normal", { owner: "operations", rank }),
    });
  }

  /** An edit that takes a data centre out, or puts it in. */
  prepareStatus(
    at: SystemInstanceId,
    change: { dataCentre: SystemDataCentre; status: "in" | "out" },
  ): PreparedEdit | undefined {
    const { dataCentre, status } = change;
    return this.#prepare(at, {
      section: `dataCentres.${dataCentre}`,
      text: dataCentreText(dataCentre, status),
      change,
    });
  }

  /** Sends an edit, for the first time or once more. */
  async send(at: SystemInstanceId, edit: PreparedEdit): Promise<void> {
    const { clock, oracle } = this.#bed;
    const node = this.#bed.awake(at);
    if (node === undefined) {
      return;
    }
    const seen = { ...edit.seen, sentAtMs: clock.nowMs() };
    oracle.edits.noteSent(seen);
    const result = await node.configuration.edit(edit.request);
    const label = `edit ${seen.editId} of ${seen.section} at ${at}`;
    result.caseOf({
      Left: ({ kind }) => this.#note(`${label}: ${kind}`),
      Right: ({ outcome, editState: standing }) => {
        if (outcome.kind !== "accepted") {
          oracle.edits.noteRejected(seen.editId);
          this.#note(`${label}: ${outcome.kind}`);
          return;
        }
        const isInForce = standing?.state === "accepted";
        oracle.edits.noteAccepted(seen, {
          version: outcome.version,
          atMs: clock.nowMs(),
          isInForce,
        });
        this.#note(`${label}: ${standing?.state} as ${outcome.version}`);
      },
    });
  }

  /** A caller's try of a non-idempotent request. */
  async call(
    at: SystemInstanceId,
    request: { requestId: string; timeoutMs: number },
  ): Promise<void> {
    const { requestId, timeoutMs } = request;
    const node = this.#bed.awake(at);
    if (node === undefined) {
      return;
    }
    const end = this.#bed.oracle.requests.begin(requestId);
    const nowMs = this.#bed.clock.nowMs();
    this.#countOpen(node, 1);
    const read = readRequest(callOf(requestId, timeoutMs, nowMs), {
      version: node.configuration.current(),
      newRequestId: () => requestId,
    });
    const result = read.isLeft()
      ? read.map<CallerAnswer>(neverReached)
      : await node.routing.answer(read.unsafeCoerce(), {
        signal: new AbortController().signal,
      });
    this.#countOpen(node, -1);
    end(result);
    const text = result.caseOf({
      Left: (error) => `${error.kind} (${error.answer.execution})`,
      Right: ({ answer }) => `answered ${answer.httpStatus}`,
    });
    this.#note(`request ${requestId} at ${at}: ${text}`);
  }

  /** Waits till every job has ended, for so long at most. */
  async untilJobsEnd(limitMs: number): Promise<void> {
    const { clock, oracle } = this.#bed;
    const deadlineMs = clock.nowMs() + limitMs;
    while (!oracle.tasks.haveJobsEnded && clock.nowMs() < deadlineMs) {
      await this.#bed.pass(5_000);
    }
  }

  /** Looks once more at every job and copy, after all faults ended. */
  async judgeEnd(): Promise<void> {
    const { oracle, awakeIds } = this.#bed;
    const states = new Map<string, string>();
    for (const jobId of oracle.tasks.acknowledged) {
      const asked = this.#bed.node("s1")?.scheduler.findJob(jobId);
      const found = asked && await this.#bed.finish(asked);
      found?.ifRight(({ value }) => states.set(jobId, value.state));
    }
    oracle.tasks.noteEnd(states);
    oracle.edits.noteEnd(
      new Map(awakeIds.map((id) => [
        id,
        this.#bed.node(id)?.configuration.current().version ?? 0,
      ])),
    );
  }

  /**
   * Stops an instance as the daemon does: no new calls, an end for all that
   * were begun, then the parts. Gives how many calls had no end.
   */
  async stop(at: SystemInstanceId): Promise<number> {
    const node = this.#bed.awake(at);
    if (node === undefined) {
      return 0;
    }
    const deadlineMs = this.#bed.clock.nowMs() + STOP_MS;
    while (this.#openAt(node) > 0 && this.#bed.clock.nowMs() < deadlineMs) {
      await this.#bed.pass(50);
    }
    await this.#bed.stop(at);
    return this.#openAt(node);
  }

  #openAt(node: SystemNode): number {
    return this.#open.get(node) ?? 0;
  }

  #countOpen(node: SystemNode, by: number): void {
    this.#open.set(node, (this.#open.get(node) ?? 0) + by);
  }

  #prepare(
    at: SystemInstanceId,
    edit: {
      section: string;
      text: string;
      change?: { dataCentre: SystemDataCentre; status: "in" | "out" };
    },
  ): PreparedEdit | undefined {
    const { section, text, change } = edit;
    const sectionId = parseSectionId(section).unsafeCoerce();
    const machine = this.#bed.awake(at)?.configuration.machine;
    const baseVersion = machine?.section(sectionId)?.version;
    if (baseVersion === undefined) {
      return undefined;
    }
    this.#edits += 1;
    const editId = `e${this.#edits}`;
    return {
      seen: { editId, section, baseVersion, ...change },
      request: {
        editId,
        team: "operations",
        keyHash: OPERATIONS_HASH,
        sectionId,
        baseVersion,
        change: { kind: "replace", text },
      },
    };
  }
}

/** The call that the HTTP front would read. */
function callOf(requestId: string, timeoutMs: number, nowMs: number): HttpCall {
  return {
    method: "POST",
    path: "/v1/services/loft/requests",
    query: new URLSearchParams(),
    parameters: { service: "loft" },
    headers: {
      [RequestHeader.requestId]: requestId,
      [RequestHeader.timeoutMs]: String(timeoutMs),
      [RequestHeader.idempotent]: "false",
    },
    receivedAtMs: nowMs,
    body: new TextEncoder().encode(requestId),
    signal: new AbortController().signal,
  };
}

function neverReached(): never {
  throw new Error("a refused request has no answer");
}

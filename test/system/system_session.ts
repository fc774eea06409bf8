/**
 * What operators, client accounts and callers do with the system bed; every
 * call goes on by itself, and its end is shown to the oracle.
 *
 * @module
 */

import { jobSpecificationSchema } from "../../src/process/scheduler/core/job.ts";
import { jobClassText } from "../../src/process/configuration/configuration_fixture.ts";
import type { EditRequest } from "../../src/process/configuration/configuration_service.ts";
import { parseSectionId } from "../../src/version/document/section_id.ts";
import type { SeenEdit } from "./edit_judge.ts";
import type { SystemBed } from "./system_bed.ts";
import {
  dataCentreText,
  OPERATIONS_HASH,
  type SystemDataCentre,
  type SystemInstanceId,
} from "./system_document.ts";

/** One edit, ready to be sent and resent. */
export interface PreparedEdit {
  readonly seen: Omit<SeenEdit, "sentAtMs">;
  readonly request: EditRequest;
}

/** How a call ended, as a person would note it. */
export type SessionNote = (line: string) => void;

/** The users of one bed. */
export class SystemSession {
  readonly #bed: SystemBed;
  readonly #note: SessionNote;
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
      Right: ({ outcome, standing }) => {
        if (outcome.kind !== "accepted") {
          oracle.edits.noteRejected(seen.editId);
          this.#note(`${label}: ${outcome.kind}`);
          return;
        }
        const isInForce = standing?.state === "accepted" ||
          (this.#bed.mutation.claimsRemovalEarly ?? false);
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
    const result = await node.routing.answer({
      isNamed: true,
      record: {
        requestId,
        service: "loft",
        clientAccount: undefined,
        requestClass: "quote",
        isIdempotent: false,
        receivedAtMs: nowMs,
        deadlineMs: nowMs + timeoutMs,
        path: "/",
        contentType: undefined,
        body: new TextEncoder().encode(requestId),
        configurationVersion: 1,
      },
    }, { signal: new AbortController().signal });
    end(result);
    const text = result.caseOf({
      Left: (error) => `${error.kind} (${error.answer.execution})`,
      Right: ({ answer }) => `answered ${answer.httpStatus}`,
    });
    this.#note(`request ${requestId} at ${at}: ${text}`);
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

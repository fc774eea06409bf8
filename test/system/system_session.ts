/**
 * The calls of operators, client accounts and callers in the simulated system.
 * Calls run concurrently, and the oracle records their results.
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
import type { SentEdit } from "./edit_checker.ts";
import type { SystemSimulation } from "./system_simulation.ts";
import {
  dataCentreText,
  OPERATIONS_HASH,
  type SystemDataCentre,
  type SystemInstanceId,
} from "./system_document.ts";
import type { SystemNode } from "./system_node.ts";

/** An edit that can be sent repeatedly. */
export interface PreparedEdit {
  readonly details: Omit<SentEdit, "sentAtMs">;
  readonly request: EditRequest;
}

/** Receives a line of text on the result of each call. */
export type WriteLine = (line: string) => void;

/** How long a graceful stop waits for requests to end. */
const STOP_TIMEOUT_MS = 10_000;

/** Makes calls to the instances of one simulation. */
export class SystemSession {
  readonly #simulation: SystemSimulation;
  readonly #writeLine: WriteLine;
  /** The number of requests in progress at each node. */
  readonly #requestsInProgress = new Map<SystemNode, number>();
  #edits = 0;

  constructor(
    simulation: SystemSimulation,
    options: { writeLine?: WriteLine } = {},
  ) {
    this.#simulation = simulation;
    this.#writeLine = options.writeLine ?? (() => undefined);
  }

  /** Submits a job; submitting the same job again is no error. */
  async submit(
    at: SystemInstanceId,
    job: { jobId: string; tasks: number; runMs: number },
  ): Promise<void> {
    const { jobId, tasks, runMs } = job;
    const node = this.#simulation.responsive(at);
    if (node === undefined) {
      return;
    }
    this.#simulation.oracle.tasks.recordSubmitted(jobId, tasks);
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
      Left: ({ kind }) => this.#writeLine(`submit ${jobId} at ${at}: ${kind}`),
      Right: () => {
        this.#simulation.oracle.tasks.recordAcknowledged(jobId);
        this.#writeLine(`submit ${jobId} at ${at}: accepted`);
      },
    });
  }

  async cancel(at: SystemInstanceId, jobId: string): Promise<void> {
    const result = await this.#simulation.responsive(at)?.scheduler.cancel(
      jobId,
    );
    const end = result?.caseOf({
      Left: ({ kind }) => String(kind),
      Right: () => "accepted",
    });
    this.#writeLine(
      `cancel ${jobId} at ${at}: ${end ?? "instance is down or frozen"}`,
    );
  }

  /** Prepares an edit of a job class, based on the instance's version of it. */
  prepareRankEdit(
    at: SystemInstanceId,
    rank: number,
  ): PreparedEdit | undefined {
    return this.#prepare(at, {
      section: "jobClasses.normal",
      text: jobClassText("normal", { owner: "operations", rank }),
    });
  }

  /** Prepares an edit that takes a data centre out or puts it in. */
  prepareStatusEdit(
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

  /** Sends or resends an edit. */
  async sendEdit(at: SystemInstanceId, edit: PreparedEdit): Promise<void> {
    const { clock, oracle } = this.#simulation;
    const node = this.#simulation.responsive(at);
    if (node === undefined) {
      return;
    }
    const details = { ...edit.details, sentAtMs: clock.nowMs() };
    oracle.edits.recordSent(details);
    const result = await node.configuration.edit(edit.request);
    const label = `edit ${details.editId} of ${details.section} at ${at}`;
    result.caseOf({
      Left: ({ kind }) => this.#writeLine(`${label}: ${kind}`),
      Right: ({ outcome, editState }) => {
        if (outcome.kind !== "accepted") {
          oracle.edits.recordRejected(details.editId);
          this.#writeLine(`${label}: ${outcome.kind}`);
          return;
        }
        const hasTakenEffect = editState?.state === "accepted";
        oracle.edits.recordAccepted(details, {
          version: outcome.version,
          atMs: clock.nowMs(),
          hasTakenEffect,
        });
        this.#writeLine(`${label}: ${editState?.state} as ${outcome.version}`);
      },
    });
  }

  /** Sends a non-idempotent request, or tries it again. */
  async sendRequest(
    at: SystemInstanceId,
    request: { requestId: string; timeoutMs: number },
  ): Promise<void> {
    const { requestId, timeoutMs } = request;
    const node = this.#simulation.responsive(at);
    if (node === undefined) {
      return;
    }
    const endCall = this.#simulation.oracle.requests.beginCall(requestId);
    const nowMs = this.#simulation.clock.nowMs();
    this.#addRequestsInProgress(node, 1);
    const parsed = readRequest(createHttpCall(requestId, timeoutMs, nowMs), {
      version: node.configuration.current(),
      newRequestId: () => requestId,
    });
    const result = parsed.isLeft()
      ? parsed.map<CallerAnswer>(neverReached)
      : await node.routing.answer(parsed.unsafeCoerce(), {
        signal: new AbortController().signal,
      });
    this.#addRequestsInProgress(node, -1);
    endCall(result);
    const text = result.caseOf({
      Left: (error) => `${error.kind} (${error.answer.execution})`,
      Right: ({ answer }) => `answered ${answer.httpStatus}`,
    });
    this.#writeLine(`request ${requestId} at ${at}: ${text}`);
  }

  /** Waits until every accepted job has ended, for at most `limitMs`. */
  async waitForJobsToEnd(limitMs: number): Promise<void> {
    const { clock, oracle } = this.#simulation;
    const deadlineMs = clock.nowMs() + limitMs;
    while (!oracle.tasks.haveJobsEnded && clock.nowMs() < deadlineMs) {
      await this.#simulation.advance(5_000);
    }
  }

  /** After all faults have ended, checks accepted jobs and document versions. */
  async checkFinalState(): Promise<void> {
    const { oracle, responsiveIds } = this.#simulation;
    const states = new Map<string, string>();
    for (const jobId of oracle.tasks.acknowledged) {
      const pending = this.#simulation.node("s1")?.scheduler.findJob(jobId);
      const result = pending && await this.#simulation.finish(pending);
      result?.ifRight(({ value }) => states.set(jobId, value.state));
    }
    oracle.tasks.checkFinalStates(states);
    oracle.edits.checkFinalVersions(
      new Map(responsiveIds.map((id) => [
        id,
        this.#simulation.node(id)?.configuration.current().version ?? 0,
      ])),
    );
  }

  /**
   * Stops an instance as the daemon does: waits for the requests in progress,
   * then stops the subsystems. The caller must send no new requests meanwhile.
   * Returns the number of requests that did not end.
   */
  async stop(at: SystemInstanceId): Promise<number> {
    const node = this.#simulation.responsive(at);
    if (node === undefined) {
      return 0;
    }
    const deadlineMs = this.#simulation.clock.nowMs() + STOP_TIMEOUT_MS;
    while (
      this.#requestsInProgressAt(node) > 0 &&
      this.#simulation.clock.nowMs() < deadlineMs
    ) {
      await this.#simulation.advance(50);
    }
    await this.#simulation.stop(at);
    return this.#requestsInProgressAt(node);
  }

  #requestsInProgressAt(node: SystemNode): number {
    return this.#requestsInProgress.get(node) ?? 0;
  }

  #addRequestsInProgress(node: SystemNode, by: number): void {
    this.#requestsInProgress.set(
      node,
      (this.#requestsInProgress.get(node) ?? 0) + by,
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
    const machine = this.#simulation.responsive(at)?.configuration.machine;
    const baseVersion = machine?.section(sectionId)?.version;
    if (baseVersion === undefined) {
      return undefined;
    }
    this.#edits += 1;
    const editId = `e${this.#edits}`;
    return {
      details: { editId, section, baseVersion, ...change },
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

/** The call as the HTTP server would pass it on. */
function createHttpCall(
  requestId: string,
  timeoutMs: number,
  nowMs: number,
): HttpCall {
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
  throw new Error("a rejected request has no answer");
}

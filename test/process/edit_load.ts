/**
 * Operators of a process test: they concurrently edit the same section, and
 * resend an edit whose answer was lost.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { SectionId } from "../../src/version/document/section_id.ts";
import { SectionClient } from "../../src/programs/commands/config/section_client.ts";
import { type Cluster, delay } from "./cluster.ts";

const KEY = "operations:demo-operations-key";
const SECTION: SectionId = { kind: "jobClasses", name: "overnight" };

/** Keeps the edits of a test far below `editsPerTeamLimit`. */
const EDIT_DELAY_MS = 250;

interface AcceptedEdit {
  readonly editId: string;
  readonly version: number;
  readonly text: string;
}

/** Operators that edit until they are stopped. */
export class EditLoad {
  readonly accepted: AcceptedEdit[] = [];
  /** The IDs of edits whose outcome their operator did not learn. */
  readonly unresolved: string[] = [];
  #cluster: Cluster;
  #operators: Promise<void>[] = [];
  #isStopped = false;

  constructor(options: { cluster: Cluster; operators: number }) {
    this.#cluster = options.cluster;
    for (let index = 0; index < options.operators; index++) {
      this.#operators.push(this.#runOperator(index));
    }
  }

  /** Stops the operators, and waits for their last answers. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#operators);
  }

  /**
   * Checks that an instance's history has every accepted edit at its version,
   * and that no two accepted edits share a version.
   */
  async findViolations(instanceId: string): Promise<string[]> {
    const answer = await this.#cluster.get(
      instanceId,
      "/v1/configuration/history?limit=1000&section=jobClasses.overnight",
    );
    const { entries } = answer as {
      entries: { editId: string | null; version: number }[];
    };
    const byEdit = new Map(
      entries.map(({ editId, version }) => [editId, version]),
    );
    const versions = this.accepted.map(({ version }) => version);
    const lost = this.accepted
      .filter(({ editId, version }) => byEdit.get(editId) !== version)
      .map(({ editId }) => `the accepted edit ${editId} is lost`);
    const hasDuplicate = new Set(versions).size !== versions.length;
    return hasDuplicate
      ? [...lost, "two accepted edits share a version"]
      : lost;
  }

  async #runOperator(firstInstance: number): Promise<void> {
    const { instances } = this.#cluster.layout;
    for (let turn = firstInstance; !this.#isStopped; turn++) {
      const instance = instances[turn % instances.length];
      const sections = new SectionClient({
        client: this.#cluster.client(instance?.id ?? ""),
        key: KEY,
        attemptsLimit: 10,
        retryDelayMs: 200,
      });
      await this.#edit(sections);
      await delay(EDIT_DELAY_MS);
    }
  }

  async #edit(sections: SectionClient): Promise<void> {
    const current = (await sections.read(SECTION)).toMaybe().extract();
    if (current?.text === undefined) {
      await sections.delay(100);
      return;
    }
    const editId = randomUUID();
    const checkpointMs = 1_000 + Math.floor(Math.random() * 100_000);
    const text = current.text.replace(
      /checkpointMs = [\d_]+/,
      `checkpointMs = ${checkpointMs}`,
    );
    const result = await sections.edit({
      sectionId: SECTION,
      editId,
      baseVersion: current.version,
      text,
    });
    result.caseOf({
      Left: (error) => {
        if (error.kind !== "conflict") {
          this.unresolved.push(editId);
        }
      },
      Right: ({ version }) => {
        this.accepted.push({ editId, version: version ?? 0, text });
      },
    });
  }
}

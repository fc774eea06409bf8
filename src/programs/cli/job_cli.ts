/**
 * Definitions of the commands about jobs and workers.
 *
 * @module
 */

import type { CAC } from "cac";
import {
  cancelJob,
  listJobs,
  listWorkers,
  showJob,
  submitJob,
} from "../commands/job_commands.ts";
import { type Flags, numberFlag, runCommand, textFlag } from "./flags.ts";

/** Adds `submit`, `jobs`, `job`, `cancel` and `workers`. */
export function addJobCommands(program: CAC): void {
  program
    .command("submit <file>", "Submit the job that a TOML file describes")
    .option("--job-id <id>", "Job ID; default from the file, or a new one")
    .action((file: string, flags: Flags) =>
      runCommand(
        flags,
        (context) =>
          submitJob(context, { file, ...textFlag(flags, "jobId", "jobId") }),
      )
    );
  program
    .command("jobs", "List the newest jobs")
    .option("--limit <count>", "Maximum number of jobs")
    .action((flags: Flags) =>
      runCommand(
        flags,
        (context) =>
          listJobs(
            context,
            numberFlag(flags, "limit", { name: "limit", atLeast: 1 }),
          ),
      )
    );
  program
    .command("job <id>", "Show one job and why it is waiting")
    .action((jobId: string, flags: Flags) =>
      runCommand(flags, (context) => showJob(context, { jobId }))
    );
  program
    .command("cancel <id>", "Cancel a job")
    .action((jobId: string, flags: Flags) =>
      runCommand(flags, (context) => cancelJob(context, { jobId }))
    );
  program
    .command("workers", "List the workers")
    .action((flags: Flags) => runCommand(flags, listWorkers));
}

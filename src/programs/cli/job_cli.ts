/**
 * The command line of jobs and workers.
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
import { count, type Flags, run, text } from "./flags.ts";

/** Adds `submit`, `jobs`, `job`, `cancel` and `workers`. */
export function addJobCommands(program: CAC): void {
  program
    .command("submit <file>", "Queue the job that a TOML file describes")
    .option("--job-id <id>", "Its identity; the file's, or a new one")
    .action((file: string, flags: Flags) =>
      run(
        flags,
        (context) =>
          submitJob(context, { file, ...text(flags, "jobId", "jobId") }),
      )
    );
  program
    .command("jobs", "List the newest jobs")
    .option("--limit <count>", "At most so many")
    .action((flags: Flags) =>
      run(flags, (context) => listJobs(context, count(flags, "limit")))
    );
  program
    .command("job <id>", "Show one job and the reason for which it waits")
    .action((jobId: string, flags: Flags) =>
      run(flags, (context) => showJob(context, { jobId }))
    );
  program
    .command("cancel <id>", "Cancel a job")
    .action((jobId: string, flags: Flags) =>
      run(flags, (context) => cancelJob(context, { jobId }))
    );
  program
    .command("workers", "List the workers")
    .action((flags: Flags) => run(flags, listWorkers));
}

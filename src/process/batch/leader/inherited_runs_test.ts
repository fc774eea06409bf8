import test from "ava";
import { describeInheritedRuns } from "./inherited_runs.ts";

/** The given number of jobs with the given number of open runs each. */
function openRuns(jobs: number, runsPerJob: number) {
  return Array.from({ length: jobs * runsPerJob }, (_, at) => {
    const jobId = `job${Math.floor(at / runsPerJob)}`;
    const task = { jobId, occurrence: 0, step: 0, index: at % runsPerJob };
    const taskKey = `${jobId}.0.0.${task.index}`;
    return { task, taskKey, run: 1, worker: `w${at}@1` };
  });
}

test("each job has a line of its own, with its runs and their workers", (t) => {
  t.deepEqual(describeInheritedRuns(openRuns(2, 2)), [
    { jobIds: "job0", runs: "job0.0.0.0/1@w0@1 job0.0.0.1/1@w1@1" },
    { jobIds: "job1", runs: "job1.0.0.0/1@w2@1 job1.0.0.1/1@w3@1" },
  ]);
  t.deepEqual(describeInheritedRuns([]), []);
});

for (
  const [jobs, runsPerJob] of [
    [1, 10_000],
    [100, 99],
    [101, 1],
    [5_000, 1],
    [3_000, 4],
  ] as const
) {
  test(`the lines about ${jobs} jobs with ${runsPerJob} runs fit into the event's budget`, (t) => {
    const runs = openRuns(jobs, runsPerJob);
    const lines = describeInheritedRuns(runs);
    t.true(lines.length < 200, `${lines.length} lines`);
    t.is(lines.flatMap((line) => line.runs.split(" ")).length, runs.length);
    const jobIds = new Set(lines.flatMap((line) => line.jobIds.split(" ")));
    t.is(jobIds.size, jobs);
  });
}

/** Finds tasks that ran twice in a history of starts and ends. */

/** One text for each pair of runs in a history, which is in order of time. */
export function findOverlaps(history) {
  const running = new Map();
  const overlaps = [];
  for (const { kind, task, run, worker, atMs } of history) {
    const runs = running.get(task) ?? new Set();
    running.set(task, runs);
    if (kind === "end") {
      runs.delete(run);
      continue;
    }
    for (const other of runs) {
      overlaps.push(
        `${task}: run ${run} started on ${worker} at ${atMs} ms while run ` +
          `${other} was running`,
      );
    }
    runs.add(run);
  }
  return overlaps;
}

/**
 * One text for each start of a task after a run of it that ended `done`, if that
 * end was taken note of: `acknowledgedEnds` has the last such end of each worker.
 */
export function findRepeats(history, acknowledgedEnds) {
  const doneAtMs = new Map();
  const repeats = [];
  for (const { kind, task, run, worker, atMs, how, number } of history) {
    const isNoted = number <= (acknowledgedEnds.get(worker) ?? 0);
    if (kind === "end" && how === "done" && isNoted) {
      doneAtMs.set(task, atMs);
    } else if (kind === "start" && doneAtMs.has(task)) {
      repeats.push(
        `${task}: run ${run} started on ${worker} at ${atMs} ms, after a run ` +
          `had ended as done at ${doneAtMs.get(task)} ms`,
      );
    }
  }
  return repeats;
}

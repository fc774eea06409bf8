/** Finds runs of one task that were there at the same time. */

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

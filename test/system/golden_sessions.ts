/**
 * The golden sessions: each gives the text of its file under test/golden.
 *
 * @module
 */

import { runOperatorSession } from "./operator_session.ts";
import { Story } from "./story.ts";
import { SYSTEM_INSTANCES } from "./system_document.ts";

/** Where the files are, from the root of the repository. */
export const GOLDEN_FOLDER = "test/golden";

/** One golden session; its file has its name. */
export interface GoldenSession {
  readonly name: string;
  readonly run: () => Promise<string>;
}

/** Every golden session. */
export const GOLDEN_SESSIONS: readonly GoldenSession[] = [
  { name: "operator_session", run: runOperatorSession },
  { name: "normal_day", run: normalDay },
  { name: "data_centre_out_and_back", run: dataCentreOutAndBack },
  { name: "region_cut_and_healed", run: regionCutAndHealed },
  { name: "operators_racing", run: operatorsRacing },
  { name: "rolling_restart", run: rollingRestart },
  { name: "overload", run: overload },
];

async function openStory(title: string): Promise<Story> {
  const story = new Story({ title });
  await story.bed.open();
  return story;
}

async function normalDay(): Promise<string> {
  const story = await openStory("A normal day");
  const { bed, session } = story;
  story.tell("three jobs come, one of them a gang of four");
  void session.submit("n1", { jobId: "rating", tasks: 1, runMs: 2_000 });
  void session.submit("s1", { jobId: "sweep", tasks: 4, runMs: 4_000 });
  void session.submit("n3", { jobId: "blend", tasks: 2, runMs: 6_000 });
  await bed.pass(1_000);
  story.tell("a request comes, and once more through another instance");
  void session.call("n2", { requestId: "quote-1", timeoutMs: 1_500 });
  await bed.pass(50);
  void session.call("s2", { requestId: "quote-1", timeoutMs: 1_500 });
  await bed.pass(1_000);
  story.tell("operators lower the rank of a job class");
  void story.edit("n2", session.prepareRank("n2", 6));
  await bed.pass(2_000);
  story.tell("a job is cancelled while it runs");
  void session.cancel("s2", "blend");
  await bed.pass(5_000);
  return await story.end();
}

async function dataCentreOutAndBack(): Promise<string> {
  const story = await openStory("A data centre is taken out and comes back");
  const { bed, session } = story;
  story.tell("two gangs come");
  void session.submit("s1", { jobId: "first", tasks: 4, runMs: 10_000 });
  void session.submit("s2", { jobId: "second", tasks: 4, runMs: 10_000 });
  await bed.pass(2_000);
  story.tell("operators take the north out");
  const out = { dataCentre: "north", status: "out" } as const;
  void story.edit("s1", session.prepareStatus("s1", out));
  await bed.pass(8_000);
  story.tell("a job comes while the north is out");
  void session.submit("n1", { jobId: "third", tasks: 1, runMs: 1_000 });
  await bed.pass(12_000);
  story.tell("the north is put back in");
  const back = { dataCentre: "north", status: "in" } as const;
  void story.edit("n1", session.prepareStatus("n1", back));
  await bed.pass(3_000);
  void session.submit("n2", { jobId: "fourth", tasks: 4, runMs: 1_000 });
  void session.submit("n2", { jobId: "fifth", tasks: 4, runMs: 1_000 });
  await bed.pass(10_000);
  return await story.end();
}

async function regionCutAndHealed(): Promise<string> {
  const story = await openStory("The regions lose each other");
  const { bed, session } = story;
  void session.submit("s1", { jobId: "before", tasks: 2, runMs: 9_000 });
  await bed.pass(1_000);
  story.tell("the link between the regions goes silent");
  bed.links.cutRegions();
  await bed.pass(3_000);
  story.tell("the south is taken out, which it can't learn");
  const out = { dataCentre: "south", status: "out" } as const;
  const removal = session.prepareStatus("n1", out);
  void story.edit("n1", removal);
  await bed.pass(6_000);
  story.tell("the operators ask for their edit again");
  void story.edit("n2", removal);
  await bed.pass(2_000);
  story.tell("jobs and requests come on both sides");
  for (const at of ["n1", "s1"] as const) {
    for (const number of [1, 2]) {
      const jobId = `cut-${at}-${number}`;
      void session.submit(at, { jobId, tasks: 1, runMs: 1_000 });
      const requestId = `quote-${at}-${number}`;
      void session.call(at, { requestId, timeoutMs: 1_500 });
    }
  }
  await bed.pass(6_000);
  story.tell("the link is back");
  bed.links.heal();
  await bed.pass(8_000);
  story.tell("the south is put back in");
  const back = { dataCentre: "south", status: "in" } as const;
  void story.edit("n1", session.prepareStatus("n1", back));
  await bed.pass(8_000);
  return await story.end();
}

async function operatorsRacing(): Promise<string> {
  const story = await openStory("Operators race one another");
  const { bed, session } = story;
  story.tell("three operators edit one section from the same version");
  const edits = (["n1", "n2", "s1"] as const)
    .map((at, index) => ({ at, edit: session.prepareRank(at, index) }));
  edits.forEach(({ at, edit }) => void story.edit(at, edit));
  await bed.pass(2_000);
  story.tell("each sends the same edit again, through another instance");
  edits.forEach(({ edit }) => void story.edit("s2", edit));
  await bed.pass(2_000);
  story.tell("the instance that leads dies right after an edit reaches it");
  const last = session.prepareRank("n1", 9);
  void story.edit("n1", last);
  await bed.pass(5);
  bed.crash("n1");
  await bed.pass(4_000);
  story.tell("its operator had no answer and resends the edit");
  void story.edit("n2", last);
  await bed.pass(2_000);
  return await story.end();
}

async function rollingRestart(): Promise<string> {
  const story = await openStory("Every instance is restarted in turn");
  const { bed, session } = story;
  void session.submit("n1", { jobId: "long", tasks: 4, runMs: 60_000 });
  await bed.pass(1_000);
  for (const { id } of SYSTEM_INSTANCES) {
    story.tell(`${id} gets a request and is told to stop`);
    const requestId = `quote-${id}`;
    void session.call(id, { requestId, timeoutMs: 1_500 });
    await bed.pass(5);
    const cut = await session.stop(id);
    story.tell(`${id} has stopped and cut off ${cut} calls; it starts again`);
    await bed.start(id);
    await bed.pass(6_000);
  }
  return await story.end();
}

async function overload(): Promise<string> {
  const story = await openStory("More comes than can be done");
  const { bed, session } = story;
  story.tell("thirty requests at once, for two servers with two slots each");
  for (let number = 1; number <= 30; number++) {
    const requestId = `north:quote-${number}`;
    void session.call("n1", { requestId, timeoutMs: 400 });
  }
  await bed.pass(2_000);
  story.tell("six gangs of four at once, for room for two");
  for (let number = 1; number <= 6; number++) {
    const jobId = `gang-${number}`;
    void session.submit("n2", { jobId, tasks: 4, runMs: 3_000 });
  }
  await bed.pass(3_000);
  story.tell("a wave of cancellations");
  [2, 4, 6].forEach((number) => void session.cancel("s1", `gang-${number}`));
  await bed.pass(15_000);
  return await story.end();
}

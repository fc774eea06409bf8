/**
 * The golden sessions: each returns a text that must equal its file under
 * test/golden.
 *
 * @module
 */

import { runOperatorSession } from "./operator_session.ts";
import { SessionTranscript } from "./session_transcript.ts";
import { SYSTEM_INSTANCES } from "./system_document.ts";

/** The folder of the files, relative to the root of the repository. */
export const GOLDEN_FOLDER = "test/golden";

/** A golden session; its file is `NAME.txt`. */
export interface GoldenSession {
  readonly name: string;
  readonly run: () => Promise<string>;
}

export const GOLDEN_SESSIONS: readonly GoldenSession[] = [
  { name: "operator_session", run: runOperatorSession },
  { name: "normal_day", run: normalDay },
  { name: "data_centre_out_and_back", run: dataCentreOutAndBack },
  { name: "region_cut_and_healed", run: regionCutAndHealed },
  { name: "operators_racing", run: operatorsRacing },
  { name: "rolling_restart", run: rollingRestart },
  { name: "overload", run: overload },
];

async function openTranscript(title: string): Promise<SessionTranscript> {
  const transcript = new SessionTranscript({ title });
  await transcript.simulation.open();
  return transcript;
}

async function normalDay(): Promise<string> {
  const transcript = await openTranscript("A normal day");
  const { simulation, session } = transcript;
  transcript.describe("three jobs are submitted, one of them a gang of four");
  void session.submit("n1", { jobId: "rating", tasks: 1, runMs: 2_000 });
  void session.submit("s1", { jobId: "sweep", tasks: 4, runMs: 4_000 });
  void session.submit("n3", { jobId: "blend", tasks: 2, runMs: 6_000 });
  await simulation.advance(1_000);
  transcript.describe(
    "a request is sent, and sent again to another instance",
  );
  void session.sendRequest("n2", { requestId: "quote-1", timeoutMs: 1_500 });
  await simulation.advance(50);
  void session.sendRequest("s2", { requestId: "quote-1", timeoutMs: 1_500 });
  await simulation.advance(1_000);
  transcript.describe("operators lower the rank of a job class");
  void transcript.edit("n2", session.prepareRankEdit("n2", 6));
  await simulation.advance(2_000);
  transcript.describe("a job is cancelled while it runs");
  void session.cancel("s2", "blend");
  await simulation.advance(5_000);
  return await transcript.finish();
}

async function dataCentreOutAndBack(): Promise<string> {
  const transcript = await openTranscript(
    "A data centre is taken out and comes back",
  );
  const { simulation, session } = transcript;
  transcript.describe("two gangs are submitted");
  void session.submit("s1", { jobId: "first", tasks: 4, runMs: 10_000 });
  void session.submit("s2", { jobId: "second", tasks: 4, runMs: 10_000 });
  await simulation.advance(2_000);
  transcript.describe("operators take the north out");
  const out = { dataCentre: "north", status: "out" } as const;
  void transcript.edit("s1", session.prepareStatusEdit("s1", out));
  await simulation.advance(8_000);
  transcript.describe("a job is submitted while the north is out");
  void session.submit("n1", { jobId: "third", tasks: 1, runMs: 1_000 });
  await simulation.advance(12_000);
  transcript.describe("the north is put back in");
  const back = { dataCentre: "north", status: "in" } as const;
  void transcript.edit("n1", session.prepareStatusEdit("n1", back));
  await simulation.advance(3_000);
  void session.submit("n2", { jobId: "fourth", tasks: 4, runMs: 1_000 });
  void session.submit("n2", { jobId: "fifth", tasks: 4, runMs: 1_000 });
  await simulation.advance(10_000);
  return await transcript.finish();
}

async function regionCutAndHealed(): Promise<string> {
  const transcript = await openTranscript(
    "The regions are cut off from each other",
  );
  const { simulation, session } = transcript;
  void session.submit("s1", { jobId: "before", tasks: 2, runMs: 9_000 });
  await simulation.advance(1_000);
  transcript.describe("the link between the regions drops all messages");
  simulation.links.cutRegions();
  await simulation.advance(3_000);
  transcript.describe("the south is taken out while it can't be reached");
  const out = { dataCentre: "south", status: "out" } as const;
  const removal = session.prepareStatusEdit("n1", out);
  void transcript.edit("n1", removal);
  await simulation.advance(6_000);
  transcript.describe("the operators resend their edit");
  void transcript.edit("n2", removal);
  await simulation.advance(2_000);
  transcript.describe("jobs and requests are sent in both regions");
  for (const at of ["n1", "s1"] as const) {
    for (const number of [1, 2]) {
      const jobId = `cut-${at}-${number}`;
      void session.submit(at, { jobId, tasks: 1, runMs: 1_000 });
      const requestId = `quote-${at}-${number}`;
      void session.sendRequest(at, { requestId, timeoutMs: 1_500 });
    }
  }
  await simulation.advance(6_000);
  transcript.describe("the link is restored");
  simulation.links.heal();
  await simulation.advance(8_000);
  transcript.describe("the south is put back in");
  const back = { dataCentre: "south", status: "in" } as const;
  void transcript.edit("n1", session.prepareStatusEdit("n1", back));
  await simulation.advance(8_000);
  return await transcript.finish();
}

async function operatorsRacing(): Promise<string> {
  const transcript = await openTranscript("Operators race one another");
  const { simulation, session } = transcript;
  transcript.describe("three operators edit one section from the same version");
  const edits = (["n1", "n2", "s1"] as const)
    .map((at, index) => ({ at, edit: session.prepareRankEdit(at, index) }));
  edits.forEach(({ at, edit }) => void transcript.edit(at, edit));
  await simulation.advance(2_000);
  transcript.describe(
    "each sends the same edit again, through another instance",
  );
  edits.forEach(({ edit }) => void transcript.edit("s2", edit));
  await simulation.advance(2_000);
  transcript.describe(
    "the leader crashes right after an edit reaches it",
  );
  const last = session.prepareRankEdit("n1", 9);
  void transcript.edit("n1", last);
  await simulation.advance(5);
  simulation.crash("n1");
  await simulation.advance(4_000);
  transcript.describe("the operator got no answer and resends the edit");
  void transcript.edit("n2", last);
  await simulation.advance(2_000);
  return await transcript.finish();
}

async function rollingRestart(): Promise<string> {
  const transcript = await openTranscript(
    "Every instance is restarted in turn",
  );
  const { simulation, session } = transcript;
  void session.submit("n1", { jobId: "long", tasks: 4, runMs: 60_000 });
  await simulation.advance(1_000);
  for (const { id } of SYSTEM_INSTANCES) {
    transcript.describe(`${id} gets a request and is told to stop`);
    const requestId = `quote-${id}`;
    void session.sendRequest(id, { requestId, timeoutMs: 1_500 });
    await simulation.advance(5);
    const unfinishedRequests = await session.stop(id);
    transcript.describe(
      `${id} has stopped, ${unfinishedRequests} requests unfinished; it starts again`,
    );
    await simulation.start(id);
    await simulation.advance(6_000);
  }
  return await transcript.finish();
}

async function overload(): Promise<string> {
  const transcript = await openTranscript(
    "More requests and jobs than the capacity allows",
  );
  const { simulation, session } = transcript;
  transcript.describe(
    "thirty requests at once, for two servers with two slots each",
  );
  for (let number = 1; number <= 30; number++) {
    const requestId = `north:quote-${number}`;
    void session.sendRequest("n1", { requestId, timeoutMs: 400 });
  }
  await simulation.advance(2_000);
  transcript.describe("six gangs of four at once, with capacity for two");
  for (let number = 1; number <= 6; number++) {
    const jobId = `gang-${number}`;
    void session.submit("n2", { jobId, tasks: 4, runMs: 3_000 });
  }
  await simulation.advance(3_000);
  transcript.describe("three jobs are cancelled");
  [2, 4, 6].forEach((number) => void session.cancel("s1", `gang-${number}`));
  await simulation.advance(15_000);
  return await transcript.finish();
}

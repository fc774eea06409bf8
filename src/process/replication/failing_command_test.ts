import test from "ava";
import { diskVoters } from "./testing/fault_session.ts";
import {
  type ExtraMemberOptions,
  MemberGroup,
  TextList,
} from "./testing/member_group.ts";

/** A state machine that throws at one command, as a fault in its code would. */
class FaultyList extends TextList {
  override apply(command: string): number {
    if (command === "poison") {
      throw new Error("a fault in the state machine");
    }
    return super.apply(command);
  }
}

function withFault(): ExtraMemberOptions & { machine: TextList } {
  return { machine: new FaultyList() };
}

test.failing("a command at which the state machine throws doesn't stop the group for good", async (t) => {
  const ids = ["a", "b", "c"];
  const group = new MemberGroup(diskVoters(...ids));
  for (const id of ids) {
    await group.start(id, withFault());
  }
  await group.run(1_000);
  t.true((await group.propose("a", "one")).isRight());
  await group.propose("a", "poison");
  await group.run(5_000);
  const before = group.leader();
  // Not even a restart of all members helps.
  for (const id of ids) {
    await group.stop(id);
  }
  for (const id of ids) {
    await group.start(id, withFault());
  }
  await group.run(5_000);
  const after = group.leader();
  await group.close();
  t.truthy(before, "no leader after the command");
  t.truthy(after, "no leader after a restart");
});

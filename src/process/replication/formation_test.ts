import test from "ava";
import { diskVoters } from "./testing/fault_session.ts";
import { MemberGroup } from "./testing/member_group.ts";

const IDS = ["a", "b", "c"];
const AS_FOUNDER = { founderIds: IDS, wantedVoters: 3 };
/** As the settings are at every start but the first. */
const AS_MEMBER = { founderIds: [], wantedVoters: 3 };

for (const lost of IDS) {
  test.failing(`a group forms though founder ${lost} is killed before it stored anything`, async (t) => {
    const group = new MemberGroup(diskVoters(...IDS));
    for (const id of IDS) {
      if (id !== lost) {
        await group.start(id, AS_FOUNDER);
      }
    }
    await group.run(1_000);
    await group.start(lost, AS_MEMBER);
    await group.run(20_000);
    t.truthy(group.leader());
    await group.close();
  });
}

"""A placer is killed and starts again. An owner hands its tasks over and stops some of them, then
asks for one of these again. The stopped task must not go on running beside the new one."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standin as s

MACHINES = 4
TASKS = 20
STOPPED = 5              # BRIEF 7.5: the owners stop 15 to 57 % of the services; here 25 % of the tasks
ASK_AGAIN_AFTER = 1.0    # BRIEF 7.5: and ask again within 0.27 to 2.7 s
GRACE = 1.05             # generous: the release has a second to reach the machine
WATCH = 12.0


async def case(site):
    site.listen = ("127.0.0.1", s.free_port("127.0.0.1"))
    site.journal = s.Journal(site, "127.0.0.1")
    port = s.free_port("127.0.1.1")
    for i in range(MACHINES):
        site.machines.append(s.Machine(site, f"s-{i:08x}", f"127.0.1.{i + 1}", port, answer_ms=25))
    site.journal.add(*[m.entry() for m in site.machines], complete=True)
    placer = await site.start_placer(s.settings())
    owner = await s.Owner(site).connect()
    tasks = []
    for i in range(TASKS):
        if i < STOPPED:  # the service that is stopped
            tasks.append(owner.set_up("levy-run", 10000, cores=4, memory=8))
        else:
            tasks.append(owner.set_up("gauge-relay", 8000, cores=0.5, memory=1,
                                      service="0000000000000002"))
        await site.sleep(0.1)
    await site.until(lambda: all(owner.answer_to(c) for c in tasks), 10)
    where = {c: m for m in site.machines for c in m.standing}
    if len(where) < TASKS or not all(owner.answer_to(c)[1] == 9 for c in tasks):
        raise s.CannotRun(f"{len(where)} of {TASKS} tasks were placed")
    await site.sleep(1)
    stopped = tasks[:STOPPED]

    if s.TROUBLE:
        await s.kill(placer, site.record)
        owner.connection.close()
        await site.sleep(1)
        await site.start_placer(s.settings())
        await owner.connect()
    # one write: each task is handed over, and released at once if its owner has stopped it
    owner.hold_back()
    for call in tasks:
        if s.TROUBLE:
            owner.hand_over(call, where[call].id)
        if call in stopped:
            owner.release(call)
    owner.write()
    released = time.time()
    await site.sleep(ASK_AGAIN_AFTER)
    again = {c: owner.set_up(**owner.requests[c]) for c in stopped}
    await site.until(lambda: all(owner.answer_to(c) for c in again.values()), 10)
    await site.sleep(max(0, released + GRACE + 0.2 - time.time()))
    twice = []
    for old, new in again.items():
        runs = [m.id for m in site.machines if new in m.standing]
        if old in where[old].standing and runs:
            twice.append(old)
            site.record.say(f"levy-run {owner.requests[old]['name']} runs on {where[old].id} as "
                            f"{old} and on {runs[0]} as {new}")
    await site.sleep(max(0, released + WATCH - time.time()))
    left = [c for c in stopped if c in where[c].standing]
    site.record.say(f"{time.time() - released:.0f} s after the release {len(left)} of {STOPPED} "
                    f"stopped tasks still run; {len(twice)} run twice")
    return s.BROKEN if left and twice else s.HELD


s.play(os.path.dirname(os.path.abspath(__file__)), case)

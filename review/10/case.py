"""Tasks of a machine end while it is cut off; some releases were under way on connections closed since."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import standins as s  # noqa: E402

BURST = 12
CUT_S = 6.0      # the pages: "for 6 s a zone is partitioned"
WATCH_S = 40.0
DUE_S = 8.0 + 0.05


async def play(record, started):
    journal = s.Journal(record)
    await journal.start()
    machines = [s.Machine(record, "s-%08x" % i, zone="hall-" + "abc"[i % 3], cell=i % 3)
                for i in range(3)]
    for machine in machines:
        await machine.start()
    journal.add([m.entry() for m in machines], complete=True)
    placer = s.Placer(record, journal)
    started.append(placer)
    await placer.start()
    await asyncio.sleep(4.5)
    owner = await s.Owner(record, "owner").connect(placer.listen)
    calls = [owner.set_up("gauge-relay", 8000, "t%d" % i, cores=0.5, memory=1, service="v%d" % i)
             for i in range(BURST)]
    for call in calls:
        answer = await owner.heard_within(call, 9)
        if answer is None or answer[1] != 9:
            raise s.CannotRun("a task of the burst was not placed")
    await asyncio.sleep(2.0)
    machine = machines[0]
    tasks = list(machine.held)
    record("case", "%s has %d tasks, and %d connections open" % (
        machine.id, len(tasks), len(machine.writers)))
    if s.TROUBLE:
        machine.cut_off()
    await asyncio.sleep(0.5)
    for call in tasks:
        machine.finish(call)
    end = time.time()
    await asyncio.sleep(CUT_S - 0.5)
    if s.TROUBLE:
        await machine.reconnect()
    reachable = time.time()
    await asyncio.sleep(WATCH_S)
    violations = []
    for call in tasks:
        told = [t for t, kind, _ in owner.heard.get(int(call, 16), []) if kind == 12]
        if not told or told[0] - end > DUE_S:
            violations.append("task %s was %s; its machine could be reached again %.1f s after the "
                              "end" % (call, "released %.2f s after its end" % (told[0] - end)
                                       if told else "not released within %.1f s of its end" % (
                                           time.time() - end), reachable - end))
    return violations


s.main(FOLDER, play, limit=100)

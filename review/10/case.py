"""A machine vanishes shortly after a burst; the owners of its tasks have to be told within 8 s."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import standins as s  # noqa: E402

BURST = 32
WATCH_S = 12.5     # less than the 13 s within which the site's list names a silent machine
DUE_S = 8.0 + 0.05


async def play(record, started):
    journal = s.Journal(record)
    await journal.start()
    machines = [s.Machine(record, "s-%08x" % i, zone="hall-" + "abc"[i % 3], cell=i)
                for i in range(4)]
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
    await asyncio.sleep(1.0)
    victim = max(machines, key=lambda m: len(m.held))
    tasks = [int(call, 16) for call in victim.held]
    record("case", "%s holds %d tasks on %d connections" % (
        victim.id, len(tasks), len(victim.writers)))
    if s.TROUBLE:
        victim.vanish()
        end = time.time()
    else:
        for call in list(victim.held):
            victim.finish(call)
        end = time.time()
    await asyncio.sleep(WATCH_S)
    late = []
    for call in tasks:
        told = [t for t, kind, _ in owner.heard.get(call, []) if kind == 12]
        if not told or told[0] - end > DUE_S:
            late.append("task %016x: %s" % (call, "released %.2f s after its end" % (
                told[0] - end) if told else "not released within %.1f s of its end" % WATCH_S))
    return late


s.main(FOLDER, play)

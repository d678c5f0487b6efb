"""Two owners behind one front; the connection of one ends while its task stands."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import standins as s  # noqa: E402

WATCH_S = 9.5
DUE_AFTER_RELEASE_S = 1.0 + 0.05


async def place(owner, name):
    call = owner.set_up("levy-run", 9000, name, cores=10, memory=20, service=name)
    answer = await owner.heard_within(call, 9)
    if answer is None or answer[1] != 9:
        raise s.CannotRun("a task was not placed")
    return call


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
    first = await s.Owner(record, "owner-1").connect(placer.listen)
    second = await s.Owner(record, "owner-2").connect(placer.listen)
    task = await place(first, "task-1")
    await place(second, "task-2")
    await asyncio.sleep(0.5)
    if s.TROUBLE:
        first.reset()
        await asyncio.sleep(0.5)
        again = await s.Owner(record, "owner-1b").connect(placer.listen)
        again.calls.add(task)
        # the owner's next work on its new connection; its set-up stays open for the time being
        await again.test()
    else:
        again = first
    await asyncio.sleep(1.0)
    holder = [m for m in machines if "%016x" % task in m.held][0]
    holder.finish("%016x" % task)
    end = time.time()
    await asyncio.sleep(WATCH_S)
    violations = []
    told = [t for t, kind, _ in again.heard.get(task, []) if kind == 12]
    if not told or told[0] - end > DUE_AFTER_RELEASE_S:
        violations.append("the task of owner 1 %s after its machine's release" % (
            "was released %.2f s" % (told[0] - end) if told
            else "was not released towards owner 1 within %.1f s" % WATCH_S))
    for t, _, call, cause in second.foreign:
        violations.append("owner 2 was sent the release of a task that is not its own, %016x, "
                          "cause %s, %.2f s after its end" % (call, cause, t - end))
    return violations


s.main(FOLDER, play)

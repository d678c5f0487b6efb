"""An answer never comes; an owner stops another task of that machine and asks for it again."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import standins as s  # noqa: E402

AGAIN_S = 1.5     # the pages: asked for again within 0.27 to 2.7 s
WATCH_S = 12.0


async def play(record, started):
    journal = s.Journal(record)
    await journal.start()
    first = s.Machine(record, "s-00000000", zone="hall-a", cell=1, cores=25, memory=43)
    second = s.Machine(record, "s-00000001", zone="hall-b", cell=2, cores=25, memory=43)
    machines = [first, second]
    for machine in machines:
        await machine.start()
    journal.add([m.entry() for m in machines], complete=True)
    placer = s.Placer(record, journal)
    started.append(placer)
    await placer.start()
    await asyncio.sleep(4.5)
    owner = await s.Owner(record, "owner").connect(placer.listen)

    # two levy-run, one on each machine
    stand = {}
    for name in ("levy-1", "levy-2"):
        call = owner.set_up("levy-run", 9000, name, cores=10, memory=15, service=name)
        for machine in machines:
            machine.sizes["%016x" % call] = (10, 15)
        answer = await owner.heard_within(call, 9)
        if answer is None or answer[1] != 9:
            raise s.CannotRun("a levy-run was not placed")
        holder = [m for m in machines if "%016x" % call in m.held][0]
        stand[holder.id] = (call, name)
        await asyncio.sleep(2.5)   # until the machines have reported their load again
    if len(stand) != 2:
        raise s.CannotRun("both levy-run went to one machine")

    # a third one: its machine starts it, and the answer never comes
    state = {}

    async def never_answer(machine, message, writer):
        if message["with"]["key"] != "levy-3" or not s.TROUBLE:
            return False
        call = message["call"]
        machine.held[call] = (10, 15, time.time(), writer)
        machine.starts.append((time.time(), call, "levy-3"))
        record(machine.id, "RUNS %s; its answer never comes, the connection is of no further use"
               % call)
        machine.dead.add(writer)
        state["machine"] = machine
        return True

    for machine in machines:
        machine.on_offer = never_answer
    third = owner.set_up("levy-run", 9000, "levy-3", cores=10, memory=15, service="levy-3")
    for machine in machines:
        machine.sizes["%016x" % third] = (10, 15)
    await asyncio.sleep(1.0)
    if s.TROUBLE:
        machine = state.get("machine")
    else:
        machine = [m for m in machines if "%016x" % third in m.held][0]
    if machine is None:
        raise s.CannotRun("the third levy-run was not offered")
    call, name = stand[machine.id]
    owner.end(call)
    stopped = time.time()
    await asyncio.sleep(AGAIN_S)
    again = owner.set_up("levy-run", 9000, name, cores=10, memory=15, service=name)
    for m in machines:
        m.sizes["%016x" % again] = (10, 15)
    answer = await owner.heard_within(again, 9)
    if answer is None or answer[1] != 9:
        raise s.CannotRun("the task that was asked for again was not placed")
    await asyncio.sleep(max(0.0, stopped + WATCH_S - time.time()))
    old = [m.id for m in machines if "%016x" % call in m.held]
    new = [m.id for m in machines if "%016x" % again in m.held]
    if old and new:
        return ["%s runs twice: as %016x on %s, %.1f s after its owner stopped it, and as %016x on "
                "%s" % (name, call, old[0], time.time() - stopped, again, new[0])]
    return []


s.main(FOLDER, play)

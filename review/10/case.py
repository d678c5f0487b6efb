"""A machine is cut off while it accepts a task; the task is handed over before the cut ends."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import standins as s  # noqa: E402

CUT_S = 5.0         # the pages: a zone is lost for 5 s, partitioned for 6 s
OWNER_WAIT_S = 3.0  # familyInfo.ownerWait
LEFT_MS = 1500      # as in the protocol's example of parameter 182
RUNS_S = 12.0       # how long the task would run


async def play(record, started):
    journal = s.Journal(record)
    await journal.start()
    machine = s.Machine(record, "s-00000000", zone="hall-a", cell=1)
    others = [s.Machine(record, "s-%08x" % i, zone="hall-b", cell=2, cores=8, memory=10)
              for i in range(1, 4)]
    for m in [machine] + others:
        await m.start()
    journal.add([m.entry() for m in [machine] + others], complete=True)
    placer = s.Placer(record, journal)
    started.append(placer)
    await placer.start()
    await asyncio.sleep(4.5)
    owner = await s.Owner(record, "owner").connect(placer.listen)

    # the others are too full for a task of this size
    state = {}

    async def accept_and_lose_the_network(m, message, writer):
        if int(message["call"], 16) != state.get("call") or not s.TROUBLE:
            return False
        state["cut"] = time.time()
        m.cut_off()
        m.accept(message, writer)   # its answer is under way when the network goes
        return True

    machine.on_offer = accept_and_lose_the_network
    first = owner.set_up("gauge-relay", 8000, "before", cores=9, memory=11, service="b")
    machine.sizes["%016x" % first] = (1, 1)
    if (await owner.heard_within(first, 9) or (0, 0))[1] != 9:
        raise s.CannotRun("the machine takes no task")
    state["call"] = 0x5f00000000000001
    call = owner.set_up("levy-run", LEFT_MS, "the-task", cores=10, memory=20, service="l",
                        call=state["call"])
    machine.sizes["%016x" % call] = (10, 20)
    answer = await owner.heard_within(call, 4)
    if answer is None:
        raise s.CannotRun("no final answer")
    hexcall = "%016x" % call
    if s.TROUBLE:
        if answer[1] != 12 or hexcall not in machine.held:
            raise s.CannotRun("the attempt was not given up while the machine held the task")
        # a task that may run and must not run twice: the owner waits, then it turns out to run
        await asyncio.sleep(OWNER_WAIT_S)
        told_before = len(owner.heard[call])
        if hexcall not in machine.held:
            raise s.CannotRun("the machine did not hold the task any more")
        record("case", "the machine holds the task: its owner hands it over")
        owner.set_up("levy-run", 0, "the-task", cores=10, memory=20, service="l", call=call,
                     at=machine.id)
        await asyncio.sleep(max(0.0, state["cut"] + CUT_S - time.time()))
        await machine.reconnect()
    elif answer[1] != 9:
        raise s.CannotRun("the task was not placed")
    else:
        told_before = len(owner.heard[call])
    until = time.time() + RUNS_S
    while time.time() < until and hexcall in machine.held:
        await asyncio.sleep(0.05)
    machine.finish(hexcall)
    end = time.time()
    cut = [t for t, c in machine.cuts if c == hexcall]
    await asyncio.sleep(9.0)
    told = [t for t, kind, _ in owner.heard[call][told_before:] if kind in (12, 51)]
    record("case", "the task ended %s" % ("by the placer's release" if cut else "by itself"))
    if told and told[0] - end <= 1.05:
        return []
    return ["the task stood and was handed over to the placer; %s, and %s" % (
        "the machine cut it on a release of the placer's" if cut else "it ended",
        "its owner was told %.2f s later" % (told[0] - end) if told
        else "its owner was told nothing within 9 s")]


s.main(FOLDER, play)

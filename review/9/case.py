"""Idle connections to machines are reset in a fleet with more machines than the placer may connect to."""
import asyncio
import os
import socket
import struct
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import standins as s  # noqa: E402

MACHINES = 200     # the pages: 16 placers over 200 machines
SOCKETS = 256      # the pages: 256 to 1,024
TASKS = 100
SET_UPS_PER_S = 25  # the pages: about 25 reach the busiest placer
DUE_S = 8.0 + 0.05


def reset(writer):
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def play(record, started):
    journal = s.Journal(record)
    await journal.start()
    machines = [s.Machine(record, "s-%08x" % (i * 2654435761 % 2**32),
                          zone="hall-" + "abc"[i % 3], cell=i % 36, admit_ms=7)
                for i in range(MACHINES)]
    for machine in machines:
        await machine.start()
    journal.add([m.entry() for m in machines], complete=True)
    config = s.settings()
    config["instances"] = 16
    placer = s.Placer(record, journal, sockets=SOCKETS, config=config)
    started.append(placer)
    await placer.start()
    await asyncio.sleep(5.0)
    owner = await s.Owner(record, "owner").connect(placer.listen)
    placed = []
    for i in range(TASKS):
        call = owner.set_up("gauge-relay", 8000, "t%d" % i, cores=0.5, memory=1,
                            service="v%d" % i)
        answer = await owner.heard_within(call, 9)
        if answer is not None and answer[1] == 9:
            placed.append(call)
        await asyncio.sleep(0.04)
    if len(placed) < TASKS / 2:
        raise s.CannotRun("only %d tasks were placed" % len(placed))
    ours = set(placed)

    async def finish_later(call):
        answer = await owner.heard_within(call, 9)
        if answer is not None and answer[1] == 9:
            await asyncio.sleep(2.0)
            for machine in machines:
                machine.finish("%016x" % call)

    async def ordinary_traffic():
        number = 0
        while True:
            number += 1
            call = owner.set_up("gauge-relay", 8000, "o%d" % number, cores=0.5, memory=1,
                                service="w%d" % (number % 30))
            asyncio.ensure_future(finish_later(call))
            await asyncio.sleep(1 / SET_UPS_PER_S)

    traffic = asyncio.ensure_future(ordinary_traffic())
    await asyncio.sleep(4.0)
    holders = [m for m in machines if any(int(c, 16) in ours for c in m.held)]
    record("case", "%d tasks stand on %d machines; %d machines are connected" % (
        len(placed), len(holders), sum(bool(m.writers) for m in machines)))
    if s.TROUBLE:
        for machine in holders:
            record(machine.id, "%d idle connections RESET" % len(machine.writers))
            for writer in list(machine.writers):
                if writer not in machine.open_calls.values():
                    reset(writer)
            await asyncio.sleep(0.1)
    await asyncio.sleep(3.0)
    if not s.TROUBLE:
        await asyncio.sleep(0.1 * len(holders))
    record("case", "%d of those %d machines are connected" % (
        sum(bool(m.writers) for m in holders), len(holders)))
    ended = {}
    for machine in holders:
        for call in list(machine.held):
            if int(call, 16) in ours:
                machine.finish(call)
                ended[int(call, 16)] = (time.time(), machine.id)
    await asyncio.sleep(DUE_S + 2.0)
    traffic.cancel()
    late = []
    for call, (end, machine) in ended.items():
        if call not in placed:
            continue
        told = [t for t, kind, _ in owner.heard.get(call, []) if kind == 12]
        if not told or told[0] - end > DUE_S:
            late.append("task %016x on %s %s" % (call, machine, "was released %.2f s after its end"
                        % (told[0] - end) if told else
                        "was not released within %.1f s of its end" % (DUE_S + 2.0)))
    if late:
        late.append("%d of %d tasks in all" % (len(late), len(ended)))
    return late


s.main(FOLDER, play)

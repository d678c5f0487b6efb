"""The journal service is down while machines are replaced. When it answers again, the placer has
to learn of the drains and send nothing more to the machines that drain."""
import os
import resource
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standin as s

MACHINES = 3200        # STANDING: 3,200 at most
REPLACED = 0.6         # STANDING: six in ten machines are replaced
REPLACED_WITHIN = 7.0  # within 7 s
DOWN_FOR = 8.0         # STANDING: discovery is down for 8 s
GRACE = 0.5 + 0.05     # settings: stopSendingWithin; every time limit 50 ms longer
DRAIN_FOR = 1.0        # a replaced machine drains for a second before it is gone
STEPS = 70


def address(number):
    return f"127.{2 + number // 62500}.{number // 250 % 250}.{number % 250 + 1}"


async def case(site):
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 16000), hard))
    site.listen = ("127.0.0.1", s.free_port("127.0.0.1"))
    site.journal = s.Journal(site, "127.0.0.1")
    port = s.free_port("127.2.0.1")

    def start_machine(number, started_ms=0):
        machine = s.Machine(site, f"s-{number:08x}", address(number), port, answer_ms=25)
        machine.started_ms, machine.told = started_ms, None
        site.machines.append(machine)
        return machine

    for i in range(MACHINES):
        start_machine(i)
    site.journal.add(*[m.entry() for m in site.machines], complete=True)
    # a fleet of sixteen times the size has sixteen times the placers; this is one of them
    await site.start_placer(s.settings(instances=256, loadInfo={"how": "off", "names": []}))
    owner = await s.Owner(site).connect()
    calls, ended = [], [False]

    def next_set_up():
        if not ended[0]:
            calls.append(owner.set_up("gauge-relay", 8000, cores=0.5, memory=1))
            site.later(50, next_set_up)  # 20 a second; DAYS: about 25 reach the busiest placer

    next_set_up()
    await site.sleep(2)

    start = time.time()
    if s.TROUBLE:
        site.journal.break_off()
        site.record.say("the journal service is down")
    replaced = site.random.sample(site.machines, int(MACHINES * REPLACED))
    steps = [replaced[i * len(replaced) // STEPS:(i + 1) * len(replaced) // STEPS]
             for i in range(STEPS)]
    lag = int(DRAIN_FOR / REPLACED_WITHIN * STEPS)
    number = MACHINES
    for i in range(STEPS):
        for machine in steps[i]:
            machine.drain()
            machine.told = time.time()
            site.journal.add(machine.entry("terminating"))
        for machine in steps[i - lag] if i >= lag else []:
            site.journal.add(machine.entry("terminated"))
            machine.close()
            new = start_machine(number, int(time.time() * 1000))
            number += 1
            site.journal.add(new.entry())
        await site.sleep(max(0, start + (i + 1) * REPLACED_WITHIN / STEPS - time.time()))
    draining = [m for step in steps[STEPS - lag:] for m in step]
    site.record.say(f"{len(replaced) - len(draining)} machines replaced in "
                    f"{time.time() - start:.1f} s, {len(draining)} more go on draining")
    await site.sleep(max(0, start + DOWN_FOR - time.time()))
    polls = site.journal.polls
    if s.TROUBLE:
        site.journal.come_back()
        site.record.say("the journal service is up again")
    if not await site.until(lambda: site.journal.polls > polls, 10):
        raise s.CannotRun("the placer did not ask the journal service again")
    asked = time.time()  # STANDING/DAYS: counts as told as soon as the placer asks again
    await site.sleep(15)
    ended[0] = True
    await site.sleep(1)

    late = []
    for machine in draining:
        told = max(machine.told, asked) if s.TROUBLE else machine.told
        late += [(machine.id, at - told) for at, _ in machine.offers if at > told + GRACE]
    for name, after in sorted(late, key=lambda found: found[1]):
        site.record.line("test", f"{name} was sent an offer {after:.2f} s after its drain was told")
    placed = sum(1 for c in calls if owner.answer_to(c) and owner.answer_to(c)[1] == 9)
    site.record.say(f"{site.journal.polls} polls, {site.journal.bytes_sent} bytes told; "
                    f"{placed} of {len(calls)} set-ups placed")
    site.record.say(f"{len(late)} offers to draining machines later than {GRACE:.2f} s")
    return s.BROKEN if late else s.HELD


s.play(os.path.dirname(os.path.abspath(__file__)), case)

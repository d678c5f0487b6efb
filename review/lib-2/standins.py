"""Stand-ins of the platform for the review's cases: machines, the journal service and owners.

Written from the protocol page of the kit. Every address is a loopback address. All stand-ins of a
case live in the process of its script; the placer is a process of its own, started by `run` of the
deploy file. What a page leaves open, a stand-in does as a sound peer would.
"""
import asyncio
import json
import os
import random
import socket
import struct
import sys
import tempfile
import time

try:
    import tomllib
except ImportError:  # Python before 3.11
    tomllib = None

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def ms():
    return int(time.time() * 1000)


class Record:
    """The record of a case: one line for each thing sent, answered or run."""

    def __init__(self, folder):
        self.start = time.time()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, who, what):
        self.file.write("%8.3f %-12s %s\n" % (time.time() - self.start, who, what))
        self.file.flush()


class CannotRun(Exception):
    """The case couldn't be played; says nothing about the rule."""


def listener(host, port=0):
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(512)
    sock.setblocking(False)
    return sock


def free_port(host="127.0.0.1"):
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


# ---- machines ----

class Machine:
    """A machine that looks at one offer at a time and accepts while its size allows."""

    def __init__(self, record, ident, host="127.0.0.1", zone="hall-a", kind="std-node", cell=1,
                 cores=25.0, memory=43.0, admit_ms=20):
        self.record = record
        self.id = ident
        self.zone, self.kind, self.cell = zone, kind, cell
        self.cores, self.memory = cores, memory
        self.admit_ms = admit_ms
        self.sock = listener(host)
        self.address = "%s:%d" % self.sock.getsockname()
        self.writers = []
        self.held = {}       # call -> (cores, memory, time accepted, writer)
        self.offers = []     # (time, call, key, class) of every offer that has arrived
        self.starts = []     # (time, call, key) of every task that was accepted
        self.cuts = []       # (time, call)
        self.dark = False    # vanished: says nothing, hears nothing
        self.light = asyncio.Event()
        self.light.set()
        self.held_back = []  # what the machine says while it is cut off
        self.dead = set()    # connections that are of no further use: nothing read, nothing sent
        self.unsent = []     # releases that are also sent on the next connection
        self.on_offer = None  # a hook: async (machine, message, writer) -> True if it answered
        self.sizes = {}      # call -> (cores, memory); told by the case, as offers do not carry it
        self.queue = asyncio.Lock()
        self.server = None
        self.fillers = []
        self.filler_names = set()
        self.given_up = set()
        self.open_calls = {}

    async def start(self):
        self.server = asyncio.ensure_future(self._accept())

    async def _accept(self):
        loop = asyncio.get_event_loop()
        while True:
            connection, peer = await loop.sock_accept(self.sock)
            if peer in self.filler_names:
                connection.close()  # only filled the queue while the machine was cut off
                continue
            connection.setblocking(False)
            reader = asyncio.StreamReader()
            protocol = asyncio.StreamReaderProtocol(reader)
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, connection)
            writer = asyncio.StreamWriter(transport, protocol, reader, loop)
            asyncio.ensure_future(self._serve(reader, writer))

    def entry(self, phase="in_service", up_since=0):
        return {"id": self.id, "host_port": self.address, "locality": self.zone,
                "flavor": self.kind, "cell": self.cell, "phase": phase, "size": 1,
                "up_since_ms": up_since, "free": [self.free()[0], self.free()[1]]}

    def free(self):
        cores = self.cores - sum(h[0] for h in self.held.values())
        memory = self.memory - sum(h[1] for h in self.held.values())
        return cores, memory

    def load(self):
        return "x0:%.2f;x1:%.2f" % self.free()

    def send(self, writer, message):
        if self.dark:
            self.held_back.append((writer, message))
            return
        self.record(self.id, "> " + json.dumps(message))
        try:
            writer.write(json.dumps(message).encode() + b"\n")
        except Exception:  # the connection has gone; the message is lost with it
            pass

    async def _serve(self, reader, writer):
        await self.light.wait()
        self.writers.append(writer)
        for message in self.unsent:
            self.send(writer, message)
        self.unsent = []
        try:
            while True:
                line = await reader.readline()
                await self.light.wait()
                if not line:
                    break
                if writer in self.dead:
                    continue
                message = json.loads(line)
                if message["op"] != "test":
                    self.record(self.id, "< " + line.decode().strip()[:300])
                if message["op"] == "offer":
                    asyncio.ensure_future(self._offer(message, writer))
                elif message["op"] == "end":
                    self._end(message["call"], writer)
                elif message["op"] == "test":
                    reply = {"op": "tested", "call": message["call"],
                             "with": {"load": self.load()}, "why": 1}
                    writer.write(json.dumps(reply).encode() + b"\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            for call, owner in list(self.open_calls.items()):
                if owner is writer:
                    self.given_up.add(call)
            writer.close()

    async def _offer(self, message, writer):
        call = message["call"]
        key = message.get("with", {}).get("key", "")
        self.offers.append((time.time(), call, key, message["with"].get("class")))
        self.given_up.discard(call)
        self.open_calls[call] = writer
        async with self.queue:
            await asyncio.sleep(self.admit_ms / 1000)
        if self.dark:
            return
        if self.on_offer and await self.on_offer(self, message, writer):
            return
        if call in self.given_up:
            return
        self.accept(message, writer)

    def accept(self, message, writer):
        call = message["call"]
        self.open_calls.pop(call, None)
        cores, memory = self.sizes.get(call, (1, 1))
        free = self.free()
        if cores > free[0] or memory > free[1]:
            note = "no_cores" if cores > free[0] else "no_memory"
            self.send(writer, {"op": "end", "call": call, "with": {"note": note}, "why": 34})
            return
        self.held[call] = (cores, memory, time.time(), writer)
        self.starts.append((time.time(), call, message["with"].get("key", "")))
        self.record(self.id, "RUNS " + call)
        self.send(writer, {"op": "accept", "call": call, "with": {}, "desc": message["desc"]})

    def _end(self, call, writer):
        if call in self.held:
            self.held.pop(call)
            self.cuts.append((time.time(), call))
            self.record(self.id, "CUT " + call)
            self.release(writer, {"op": "end", "call": call, "with": {}, "why": 31})
        else:
            self.given_up.add(call)
            self.open_calls.pop(call, None)

    def finish(self, call, why=16):
        """The task comes to its end; its release goes out."""
        if call not in self.held:
            return
        writer = self.held.pop(call)[3]
        self.record(self.id, "ENDS " + call)
        self.release(writer, {"op": "end", "call": call, "with": {}, "why": why})

    def release(self, writer, message):
        """On the connection of the set-up, otherwise on any open one; also on the next opened."""
        if writer not in self.writers or writer.is_closing() or writer in self.dead:
            others = [w for w in self.writers if not w.is_closing() and w not in self.dead]
            writer = others[-1] if others else None
        self.unsent.append(message)
        if writer is not None:
            self.send(writer, message)

    def vanish(self):
        """The machine is gone for good, and its tasks with it."""
        self.record(self.id, "VANISHES with " + " ".join(self.held))
        self._go_dark()

    def cut_off(self):
        """The network between the placer and the machine is gone; the machine runs on."""
        self.record(self.id, "CUT OFF with " + " ".join(self.held))
        self._go_dark()

    def _go_dark(self):
        """Open connections stay open and silent, and new ones never come up."""
        self.dark = True
        self.light.clear()
        self.server.cancel()
        # with its queue of connections full, the kernel leaves new ones unanswered
        self.sock.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.sock.getsockname())
            self.fillers.append(filler)
            self.filler_names.add(filler.getsockname())

    async def reconnect(self):
        """The end of a cut: what was under way in both directions arrives, in its order."""
        self.record(self.id, "CUT ENDS")
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.sock.listen(512)
        self.dark = False
        held_back, self.held_back = self.held_back, []
        for writer, message in held_back:
            self.send(writer, message)
        self.light.set()
        await self.start()


# ---- the journal service ----

class Journal:
    def __init__(self, record, host="127.0.0.1"):
        self.record = record
        self.host = host
        self.sock = listener(host)
        self.port = self.sock.getsockname()[1]
        self.address = "%s:%d" % (host, self.port)
        self.events = []
        self.changed = asyncio.Event()
        self.writers = set()
        self.server = None
        self.polls = []      # (time, tail, position told) of every answered poll

    async def start(self):
        self.server = await asyncio.start_server(self._serve, sock=self.sock)

    def add(self, members, complete=False, quiet=False):
        position = len(self.events) + 1
        self.events.append({"pos": position, "hosts": {
            "revision": position, "complete": complete, "members": members}})
        if not quiet:
            self.record("journal", "event %d: %s" % (position, ", ".join(
                m["id"] + " " + m["phase"] for m in members[:20])))
        self.changed.set()
        self.changed = asyncio.Event()
        return position

    def after(self, tail):
        return {"pos": len(self.events), "entries": self.events[tail:]}

    async def down(self):
        """Refuses connections and closes the open ones."""
        self.record("journal", "DOWN at event %d" % len(self.events))
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def up(self):
        self.sock = listener(self.host, self.port)
        self.server = await asyncio.start_server(self._serve, sock=self.sock)
        self.record("journal", "UP at event %d" % len(self.events))

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                query = dict(p.split("=") for p in target.split("?")[1].split("&"))
                tail, wait = int(query["tail"]), min(5000, int(query["max_wait"]))
                until = time.time() + wait / 1000
                while len(self.events) <= tail and time.time() < until:
                    try:
                        await asyncio.wait_for(self.changed.wait(), until - time.time())
                    except asyncio.TimeoutError:
                        pass
                body = json.dumps(self.after(tail), separators=(",", ":")).encode()
                self.polls.append((time.time(), tail, len(self.events)))
                if len(self.events) > tail:
                    self.record("journal", "poll tail=%d answered with pos=%d, %d bytes"
                                % (tail, len(self.events), len(body)))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


# ---- owners ----

def parameter(code, text):
    value = text.encode()
    return struct.pack(">BH", code, len(value)) + value


def message(kind, call, body=b""):
    content = struct.pack(">BQ", kind, call) + body
    return struct.pack(">H", len(content)) + content


class Owner:
    """One connection of an owner."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.heard = {}       # call -> list of (time, type, cause)
        self.foreign = []     # messages about calls that this owner has not made
        self.calls = set()
        self.waiters = []
        self.closed = False
        self.acks = True

    async def connect(self, address):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.task = asyncio.ensure_future(self._read())
        return self

    async def _read(self):
        try:
            while True:
                length, = struct.unpack(">H", await self.reader.readexactly(2))
                content = await self.reader.readexactly(length)
                kind, call = struct.unpack(">BQ", content[:9])
                cause, rest = None, content[9:]
                while rest:
                    code, size = struct.unpack(">BH", rest[:3])
                    if code == 208:
                        cause = rest[3]
                    rest = rest[3 + size:]
                self._heard(kind, call, cause)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        self.closed = True
        self.record(self.name, "connection closed")
        self._wake()

    def _heard(self, kind, call, cause):
        names = {9: "answer", 12: "release", 51: "move", 53: "tested"}
        self.record(self.name, "< %s %016x%s" % (
            names.get(kind, kind), call, "" if cause is None else " cause %d" % cause))
        (self.heard.setdefault(call, [])).append((time.time(), kind, cause))
        if call not in self.calls:
            self.foreign.append((time.time(), kind, call, cause))
        elif kind == 12 and self.acks:
            self.writer.write(message(16, call))
        self._wake()

    def _wake(self):
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters = []

    async def heard_within(self, call, seconds, kinds=(9, 12)):
        """Returns the first message of these types about the call, or None."""
        until = time.time() + seconds
        while True:
            for item in self.heard.get(call, []):
                if item[1] in kinds:
                    return item
            left = until - time.time()
            if left <= 0 or self.closed:
                return None
            waiter = asyncio.get_event_loop().create_future()
            self.waiters.append(waiter)
            try:
                await asyncio.wait_for(waiter, left)
            except asyncio.TimeoutError:
                pass

    def set_up(self, grade, wait_ms, name, cores=1, memory=1, service="s1", call=None, idem=None,
               at=None, desc="d"):
        call = call or random.getrandbits(63) | 1
        self.calls.add(call)
        attributes = "cores:%s;memory:%s;service:%s" % (cores, memory, service)
        body = parameter(180, grade) + parameter(188, name)
        if at:
            attributes += ";at:" + at
        else:
            body += parameter(182, str(wait_ms))
        if idem:
            body += parameter(206, idem)
        body += parameter(190, attributes) + parameter(210, desc)
        self.record(self.name, "> set-up %016x %s %s wait %s %s" % (
            call, grade, name, wait_ms, attributes))
        self.writer.write(message(1, call, body))
        return call

    def end(self, call, cause=16):
        self.record(self.name, "> end %016x cause %d" % (call, cause))
        self.writer.write(message(12, call, struct.pack(">BHB", 208, 1, cause)))

    async def test(self, seconds=5):
        call = random.getrandbits(63) | 1
        self.calls.add(call)
        self.writer.write(message(52, call, struct.pack(">BHB", 208, 1, 0)))
        return await self.heard_within(call, seconds, kinds=(53,))

    def close(self):
        self.record(self.name, "closes its connection")
        self.writer.close()

    def reset(self):
        """Ends the connection with a reset, as a network does."""
        self.record(self.name, "connection RESET")
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


# ---- the placer ----

def settings(**changes):
    """Settings of a small deployment, in the form of the wire's page."""
    base = {
        "allowed": {"cancelling": True, "connectTimeout": 250000, "cpuUsPerRequest": 0.0,
                    "cpuUsPerS": 400000, "keepalive": 30000000, "maxOpen": 1000000,
                    "maxRetryAfter": 3000000, "mostTries": 4, "peerMessages": False,
                    "perConn": 1048576, "probes": True, "retryAfter": True,
                    "secondCopies": False},
        "clients": {"marksRetry": True},
        "discovery": "ask",
        "failureDomains": ["hall-a", "hall-b", "hall-c"],
        "family": "place",
        "familyInfo": {
            "acceptsMemory": 1.0, "admitCores": 1.0, "calmLevel": [0.8, 0.8, 0.8],
            "classPriority": [0, 0, 0], "classSpread": ["off", "off", "off"],
            "classStartS": [12.0, 12.0, 12.0], "coldSends": 48.0, "confirms": "accepted",
            "counts": "asked", "displaces": False, "evictionAsMoves": 2.0,
            "fadesOver": [0.25, 0.25, 0.15], "meanCores": 1.24, "memOfKind": [43.0, 127.0],
            "needsKind": [-1, -1, -1], "oneHome": True, "ownerWait": 3000000,
            "pressureNotes": False, "reportX0": "cores not asked for",
            "reportX1": "memory not asked for", "shareCores": [], "sizeCores": [25, 44],
            "spreadMost": [2, 2, 2], "turnedDownPrice": 0.02, "useNotes": False,
            "usualMemory": 2.57, "view": True},
        "goal": {"whole": 0.5, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.3},
        "grades": [
            {"aim": 800000, "deadline": 8000000, "effect": "read_like", "importance": 1.0,
             "keyScope": "all", "lateWorth": 0.1, "memorySpan": 5000000, "name": "gauge-relay",
             "stays": True},
            {"aim": 1000000, "deadline": 8000000, "effect": "idempotency_key",
             "importance": 5.0, "keyScope": "zone", "lateWorth": 0.1, "memorySpan": 5000000,
             "name": "depot-sync", "stays": True},
            {"aim": 5500000, "deadline": 10000000, "effect": "non_idempotent",
             "importance": 2.0, "keyScope": "all", "lateWorth": 0.1, "memorySpan": 5000000,
             "name": "levy-run", "stays": True}],
        "hostTypes": ["std-node", "big-node"],
        "instances": 3,
        "layers": ["shared-fleet"],
        "loadInfo": {"how": "on_probe", "names": ["x0", "x1"]},
        "myNumber": 0,
        "overShareWorth": 0.1,
        "prices": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.004, "handshake": 0.0,
                   "lateFail": 0.0, "moves": 0.08, "origin": 0.0, "peer": 0.0, "probe": 0.003,
                   "waste": 0.03},
        "projects": [],
        "rules": {"coldFrom": 0.27, "fall": 3000000, "fallMultiple": 2.0,
                  "graceToAnswer": 8000, "mustAskIn": 10000000, "rampTime": 16000000,
                  "stopSendingWithin": 500000},
        "stage": 0, "tick": 2000, "weights": "off", "worthBy": "work", "zone": "hall-a"}
    base.update(changes)
    return base


class Placer:
    def __init__(self, record, journal, name="n1", sockets=1024, memory_mb=192, config=None):
        self.record = record
        self.name = name
        self.listen = "127.0.0.1:%d" % free_port()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.config = os.path.join(self.folder, "config.json")
        self.journal = journal
        self.sockets, self.memory_mb = sockets, memory_mb
        self.settings = config or settings()
        self.process = None

    def write_config(self, journal=None):
        self.journal = journal or self.journal
        known = self.journal.after(0)
        with open(self.config + ".new", "w", encoding="utf-8") as file:
            json.dump({"name": self.name, "listen": self.listen, "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": self.memory_mb,
                                  "sockets": self.sockets},
                       "journal": self.journal.address, "known": known,
                       "settings": self.settings}, file)
        os.replace(self.config + ".new", self.config)

    def command(self):
        path = os.path.join(ROOT, "deploy", "balancer.toml")
        with open(path, encoding="utf-8") as file:
            text = file.read()
        if tomllib:
            return tomllib.loads(text)["run"]
        return [json.loads(line.split("=", 1)[1]) for line in text.splitlines()
                if line.startswith("run =")][0]

    async def start(self, test_every=0.1):
        self.write_config()
        tmp = os.path.join(self.folder, "tmp")
        os.makedirs(tmp, exist_ok=True)
        env = dict(os.environ, ROUTER_NAME=self.name, ROUTER_LISTEN=self.listen,
                   ROUTER_CONFIG=self.config, TMPDIR=tmp)
        if os.environ.get("REVIEW_TRACE"):
            env["JAVA_TOOL_OPTIONS"] = "-Dthornferry.trace=true"
        self.log = open(os.path.join(self.folder, "log.txt"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", self.command(), cwd=ROOT, env=env, stdout=self.log,
            stderr=self.log)
        self.record(self.name, "started")
        until = time.time() + 30
        while time.time() < until:
            if self.process.returncode is not None:
                break
            try:
                owner = await Owner(self.record, "front").connect(self.listen)
                answer = await owner.test()
                owner.close()
                if answer:
                    self.record(self.name, "ready")
                    return self
            except OSError:
                pass
            await asyncio.sleep(test_every)
        raise CannotRun("the placer was not ready within 30 s: " + self.log_text()[-500:])

    def log_text(self):
        with open(os.path.join(self.folder, "log.txt"), encoding="utf-8", errors="replace") as f:
            return f.read()

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        for line in self.log_text().splitlines()[:200]:
            self.record(self.name, "log: " + line[:300])
        keep = os.environ.get("REVIEW_TRACE")
        if keep:
            print("log kept:", self.folder)
        else:
            import shutil
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play, limit=110):
    """Runs a case. Its play returns a list of violations: none if the rule held."""
    record = Record(folder)
    started = []

    async def bounded():
        try:
            return await asyncio.wait_for(play(record, started), limit)
        finally:
            for placer in started:
                await placer.stop()

    try:
        violations = asyncio.run(bounded())
    except CannotRun as e:
        record("case", "COULD NOT RUN: %s" % e)
        print("could not run:", e)
        os._exit(2)
    except asyncio.TimeoutError:
        record("case", "COULD NOT RUN: took over %d s" % limit)
        print("could not run: too long")
        os._exit(2)
    except Exception as e:  # a fault of the stand-ins, not of the placer
        import traceback
        traceback.print_exc()
        record("case", "COULD NOT RUN: %r" % e)
        os._exit(2)
    for violation in violations:
        record("case", "BROKEN: " + violation)
        print("BROKEN:", violation)
    record("case", "rule broken" if violations else "rule held")
    print("rule broken" if violations else "rule held")
    sys.stdout.flush()
    os._exit(1 if violations else 0)

"""Stand-ins of the platform for the review's cases: clients, machines and the journal service.

Everything runs in one asyncio loop on loopback addresses. The placer is started as a separate
process with the command `run` of deploy/balancer.toml. The message forms are those of
PROTOCOL.md, the configuration is that of DEPLOY.md, the settings have the form of WIRE.
"""
import asyncio
import errno
import json
import os
import random
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; the exit code is 2."""


class Record:
    """Writes record.txt: one line for each message, with milliseconds since the start."""

    def __init__(self, path):
        self.start = time.time()
        self.file = open(path, "w", encoding="utf-8")

    def ms(self, at=None):
        return ((time.time() if at is None else at) - self.start) * 1000

    def line(self, who, text):
        self.file.write(f"{self.ms():10.1f} {who:<12} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line("test", text)
        print(text, flush=True)


def settings(**changes):
    """The settings of a small deployment, in the form and with the figures of WIRE's example."""
    result = {
        "allowed": {"cancelling": True, "connectTimeout": 250000, "cpuUsPerRequest": 0.0,
                    "cpuUsPerS": 400000, "keepalive": 30000000, "maxOpen": 1000000,
                    "maxRetryAfter": 3000000, "mostTries": 4, "peerMessages": False,
                    "perConn": 1048576, "probes": True, "retryAfter": True,
                    "secondCopies": False},
        "clients": {"marksRetry": True},
        "discovery": "ask",
        "failureDomains": ["hall-a"],
        "family": "place",
        "familyInfo": {"acceptsMemory": 1.0, "admitCores": 1.0, "calmLevel": [0.8, 0.8, 0.8],
                       "classPriority": [0, 0, 0], "classSpread": ["off", "off", "off"],
                       "classStartS": [12.0, 12.0, 12.0], "coldSends": 48.0,
                       "confirms": "accepted", "counts": "asked", "displaces": False,
                       "evictionAsMoves": 2.0, "fadesOver": [0.25, 0.25, 0.15],
                       "meanCores": 1.24, "memOfKind": [127.0], "needsKind": [-1, -1, -1],
                       "oneHome": True, "ownerWait": 3000000, "pressureNotes": False,
                       "reportX0": "cores of the machine that are not asked for",
                       "reportX1": "memory units of the machine that are not asked for",
                       "shareCores": [], "sizeCores": [44], "spreadMost": [2, 2, 2],
                       "turnedDownPrice": 0.02, "useNotes": False, "usualMemory": 2.57,
                       "view": True},
        "goal": {"whole": 0.5, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.3},
        "grades": [
            {"aim": 800000, "deadline": 8000000, "effect": "read_like", "importance": 1.0,
             "keyScope": "all", "lateWorth": 0.1, "memorySpan": 5000000, "name": "gauge-relay",
             "stays": True},
            {"aim": 1000000, "deadline": 8000000, "effect": "idempotency_key", "importance": 5.0,
             "keyScope": "zone", "lateWorth": 0.1, "memorySpan": 5000000, "name": "depot-sync",
             "stays": True},
            {"aim": 5500000, "deadline": 10000000, "effect": "non_idempotent", "importance": 2.0,
             "keyScope": "all", "lateWorth": 0.1, "memorySpan": 5000000, "name": "levy-run",
             "stays": True}],
        "hostTypes": ["std-node"],
        "instances": 1,
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
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(result.get(key), dict):
            result[key].update(value)
        else:
            result[key] = value
    return result


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Connection:
    """A non-blocking socket on the loop, with a handler that gets the bytes read."""

    def __init__(self, site, sock, on_bytes, on_close=None):
        self.site, self.sock = site, sock
        self.on_bytes, self.on_close = on_bytes, on_close
        self.out, self.buffer, self.closed, self.paused = b"", b"", False, False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        site.loop.add_reader(sock, self._readable)

    def _readable(self):
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self.buffer += data
        self.on_bytes(self)

    def send(self, data):
        if self.closed or self.paused:
            return
        self.out += data
        self._flush()

    def _flush(self):
        try:
            while self.out:
                sent = self.sock.send(self.out)
                self.out = self.out[sent:]
        except BlockingIOError:
            self.site.loop.add_writer(self.sock, self._flush)
            return
        except OSError:
            self.close()
            return
        self.site.loop.remove_writer(self.sock)

    def pause(self):
        """Neither reads nor sends any more, and stays open."""
        if not self.closed and not self.paused:
            self.paused = True
            self.site.loop.remove_reader(self.sock)
            self.site.loop.remove_writer(self.sock)

    def resume(self):
        if not self.closed and self.paused:
            self.paused = False
            self.site.loop.add_reader(self.sock, self._readable)
            self._flush()

    def close(self, reset=False):
        if self.closed:
            return
        self.closed = True
        self.site.loop.remove_reader(self.sock)
        self.site.loop.remove_writer(self.sock)
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()
        if self.on_close:
            self.on_close(self)


class Listener:
    def __init__(self, site, ip, port, accepted, backlog=512):
        self.site, self.accepted, self.backlog = site, accepted, backlog
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((ip, port))
        self.sock.listen(backlog)
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.fillers = []
        self.open = True
        site.loop.add_reader(self.sock, self._accept)

    def _accept(self):
        while self.open:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            self.accepted(sock)

    def cut_off(self):
        """From now on no connection comes up: the queue of the listener is full."""
        self.site.loop.remove_reader(self.sock)
        self.open = False
        self.sock.listen(0)
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    async def is_cut_off(self):
        """Whether a new connection really stays without an answer."""
        def probe():
            with socket.socket() as sock:
                sock.settimeout(0.4)
                return sock.connect_ex(self.address) in (errno.EAGAIN, errno.ETIMEDOUT)

        return await self.site.loop.run_in_executor(None, probe)

    def restore(self):
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.sock.listen(self.backlog)
        self.open = True
        self.site.loop.add_reader(self.sock, self._accept)

    def close(self):
        if self.sock.fileno() >= 0:
            self.site.loop.remove_reader(self.sock)
            self.sock.close()
        for filler in self.fillers:
            filler.close()
        self.open = False


class Machine:
    """A machine as PROTOCOL.md describes it: it accepts what fits, and reports what ends."""

    def __init__(self, site, name, ip, port, cores=44.0, memory=127.0, kind="std-node",
                 zone="hall-a", cell=1, answer_ms=15):
        self.site, self.id, self.cores, self.memory = site, name, cores, memory
        self.kind, self.zone, self.cell, self.answer_ms = kind, zone, cell, answer_ms
        self.connections, self.standing, self.open_offers = [], {}, {}
        self.offers = []          # (time, id) of all offers that arrived
        self.draining = False
        self.origin, self.unsure_releases = {}, []
        self.free_at = 0.0
        self.on_offer = None      # a hook: returns True if it has handled the offer
        self.on_release = None
        self.quiet_record = False
        self.silent = False
        self.started_ms = 0
        self.listener = Listener(site, ip, port, self._accepted)
        self.address = "%s:%d" % self.listener.address

    def entry(self, phase="in_service", **changes):
        entry = {"id": self.id, "host_port": self.address, "locality": self.zone,
                 "flavor": self.kind, "cell": self.cell, "phase": phase, "size": 1,
                 "up_since_ms": self.started_ms, "free": [self.cores, self.memory]}
        entry.update(changes)
        return entry

    def note(self, text):
        if not self.quiet_record:
            self.site.record.line(self.id, text)

    def _accepted(self, sock):
        connection = Connection(self.site, sock, self._bytes, self._closed)
        connection.number = len(self.connections) + 1
        self.connections.append(connection)
        self.note(f"connection {connection.number} accepted")
        releases, self.unsure_releases = self.unsure_releases, []
        for message in releases:
            self.tell(connection, message)

    def _closed(self, connection):
        self.note(f"connection {connection.number} closed")
        # the set-ups open on a connection that closes are given up
        for call, where in list(self.open_offers.items()):
            if where is connection:
                del self.open_offers[call]

    def _bytes(self, connection):
        while b"\n" in connection.buffer:
            line, connection.buffer = connection.buffer.split(b"\n", 1)
            if line:
                self._message(connection, json.loads(line))

    def _message(self, connection, message):
        op, call = message["op"], message["call"]
        if op == "test":
            self.tell(connection, {"op": "tested", "call": call,
                                   "with": {"load": self.load()}, "why": 1}, quiet=True)
            return
        self.note(f"< #{connection.number} {json.dumps(message)}")
        if op == "offer":
            self.offers.append((time.time(), call))
            self.open_offers[call] = self.origin[call] = connection
            if not (self.on_offer and self.on_offer(connection, message)):
                # the machine looks at one ask at a time
                self.free_at = max(time.time(), self.free_at) + self.answer_ms / 1000
                self.site.later((self.free_at - time.time()) * 1000,
                                lambda: self.answer(connection, message))
        elif op == "end":
            if self.on_release and self.on_release(connection, message):
                return
            self.open_offers.pop(call, None)
            if call in self.standing:
                del self.standing[call]
                self.tell(connection, {"op": "ended", "call": call, "with": {}})
                self.tell(connection, {"op": "end", "call": call, "with": {}, "why": 31})

    def load(self):
        return f"x0:{self.cores - len(self.standing)};x1:{self.memory - 2 * len(self.standing)}"

    def answer(self, connection, message):
        call = message["call"]
        if self.silent or self.open_offers.get(call) is not connection:
            return
        del self.open_offers[call]
        if self.draining:
            self.tell(connection, {"op": "end", "call": call, "with": {"note": "not_here"},
                                   "why": 34})
            return
        self.standing[call] = message
        self.tell(connection, {"op": "accept", "call": call, "with": {},
                               "desc": f"s={self.id} {call}"})

    def tell(self, connection, message, quiet=False):
        if connection.closed or connection.paused:
            return
        if not quiet:
            self.note(f"> #{connection.number} {json.dumps(message)}")
        connection.send(json.dumps(message).encode() + b"\n")

    def finish(self, call, why=16, note=None):
        """The task comes to its end. Its release goes out on the connection of its set-up or on
        any open one, and also on the next connection opened."""
        del self.standing[call]
        message = {"op": "end", "call": call, "with": {"note": note} if note else {}, "why": why}
        usable = [c for c in self.connections if not c.closed and not c.paused]
        origin = self.origin.get(call)
        if usable:
            self.tell(origin if origin in usable else usable[0], message)
        self.unsure_releases.append(message)

    def drain(self):
        """Accepts nothing new and sends all its tasks away at once."""
        self.draining = True
        for call in list(self.standing):
            self.finish(call, 41, "sent_away")

    def vanish(self):
        """Says nothing more: open connections stay open and silent, new ones never come up."""
        self.silent = True
        for connection in self.connections:
            connection.pause()
        self.listener.cut_off()

    def close(self):
        self.listener.close()
        for connection in self.connections:
            connection.close()


class Journal:
    """The journal service: numbered events by long polls over HTTP/1.1."""

    def __init__(self, site, ip):
        self.site, self.ip = site, ip
        self.events, self.told_at = [], {}
        self.waiting, self.connections = [], []
        self.down = False
        self.bytes_sent, self.polls = 0, 0
        self.listener = Listener(site, ip, 0, self._accepted)
        self.address = "%s:%d" % self.listener.address

    def add(self, *entries, complete=False):
        pos = len(self.events) + 1
        self.events.append({"pos": pos, "hosts": {"revision": pos, "complete": complete,
                                                  "members": list(entries)}})
        for entry in entries:
            self.told_at[(entry["id"], entry["phase"])] = time.time()
            if not complete:
                self.site.record.line("journal", f"event {pos}: {entry['id']} {entry['phase']}")
        self._answer_waiting()

    def known(self):
        return {"pos": len(self.events), "entries": list(self.events)}

    def _accepted(self, sock):
        self.connections.append(Connection(self.site, sock, self._bytes))

    def _bytes(self, connection):
        while b"\r\n\r\n" in connection.buffer:
            head, connection.buffer = connection.buffer.split(b"\r\n\r\n", 1)
            path = head.split(b" ")[1].decode()
            query = dict(part.split("=") for part in path.split("?")[1].split("&"))
            tail, wait = int(query["tail"]), min(5000, int(query["max_wait"]))
            self.polls += 1
            if self.polls <= 20 or self.polls % 20 == 0:
                self.site.record.line("journal", f"poll {self.polls}: {path}")
            poll = [connection, tail, False]
            if len(self.events) > tail:
                self._answer(poll)
            else:
                self.waiting.append(poll)
                self.site.later(wait, lambda poll=poll: self._answer(poll))

    def _answer_waiting(self):
        for poll in list(self.waiting):
            self._answer(poll)

    def _answer(self, poll):
        connection, tail, done = poll
        if done or connection.closed or connection.paused or self.down:
            return
        poll[2] = True
        if poll in self.waiting:
            self.waiting.remove(poll)
        body = json.dumps({"pos": len(self.events), "entries": self.events[tail:]}).encode()
        self.bytes_sent += len(body)
        if len(self.events) > tail:
            self.site.record.line(
                "journal", f"tells events {tail + 1} to {len(self.events)}: {len(body)} bytes")
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        b"Content-Length: %d\r\n\r\n" % len(body) + body)

    def break_off(self):
        """The service goes down: its connections end and new ones are refused."""
        self.down = True
        self.listener.close()
        for connection in self.connections:
            connection.close()
        self.waiting = []

    def come_back(self):
        self.down = False
        ip, port = self.listener.address
        self.listener = Listener(self.site, ip, port, self._accepted)

    def close(self):
        self.listener.close()
        for connection in self.connections:
            connection.close()


class Owner:
    """A client: sends set-ups on its connections and keeps what it is answered, by id."""

    def __init__(self, site, ip="127.0.0.1"):
        self.site, self.ip = site, ip
        self.messages = {}        # id -> [(time, type, cause, text)]
        self.connection = None
        self.held_back = None
        self.requests = {}        # id -> what the set-up said, for hand-overs

    async def connect(self):
        sock = socket.socket()
        sock.setblocking(False)
        sock.bind((self.ip, 0))
        await self.site.loop.sock_connect(sock, self.site.listen)
        self.connection = Connection(self.site, sock, self._bytes)
        return self

    def _bytes(self, connection):
        while len(connection.buffer) >= 2:
            length = struct.unpack(">H", connection.buffer[:2])[0]
            if len(connection.buffer) < 2 + length:
                return
            message = connection.buffer[2:2 + length]
            connection.buffer = connection.buffer[2 + length:]
            kind, call = message[0], message[1:9].hex()
            cause, text, at = None, "", 9
            while at + 3 <= len(message):
                code, size = message[at], struct.unpack(">H", message[at + 1:at + 3])[0]
                value = message[at + 3:at + 3 + size]
                at += 3 + size
                if code == 208:
                    cause = value[0]
                elif code == 210:
                    text = value.decode()
            self.messages.setdefault(call, []).append((time.time(), kind, cause, text))
            self.site.record.line("owner", f"< type {kind} {call} cause {cause} {text}")
            if kind == 12 and any(k == 9 for _, k, _, _ in self.messages[call]):
                self.send(16, call)  # the release is heard

    @staticmethod
    def parameter(code, value):
        data = value if isinstance(value, bytes) else value.encode()
        return bytes([code]) + struct.pack(">H", len(data)) + data

    def send(self, kind, call, parameters=b""):
        message = bytes([kind]) + bytes.fromhex(call) + parameters
        data = struct.pack(">H", len(message)) + message
        if self.held_back is None:
            self.connection.send(data)
        else:
            self.held_back += data

    def hold_back(self):
        """Collects what is sent from now on, for one write."""
        self.held_back = b""

    def write(self):
        data, self.held_back = self.held_back, None
        self.connection.send(data)

    def set_up(self, task_class, wait_ms, cores=1, memory=2, service="0000000000000001", key=None,
               name=None, at=None, description=None, call=None):
        call = call or "%016x" % self.site.random.getrandbits(63)
        name = name or "%016x" % self.site.random.getrandbits(63)
        attributes = f"cores:{cores};memory:{memory};service:{service}"
        if at:
            attributes += f";at:{at}"
        parameters = (self.parameter(180, task_class) + self.parameter(182, str(wait_ms))
                      + self.parameter(188, name) + self.parameter(190, attributes))
        if key:
            parameters += self.parameter(206, key)
        parameters += self.parameter(210, description or f"c=IN IP4 127.0.0.1 {call}")
        self.requests[call] = dict(task_class=task_class, wait_ms=wait_ms, cores=cores,
                                   memory=memory, service=service, key=key, name=name)
        self.site.record.line("owner", f"> set-up {call} {task_class} {wait_ms} ms {attributes}")
        self.send(1, call, parameters)
        return call

    def hand_over(self, call, machine):
        """Names a task that this machine holds to a placer that has started anew."""
        self.set_up(at=machine, call=call, **self.requests[call])

    def release(self, call, cause=16):
        self.site.record.line("owner", f"> release {call} cause {cause}")
        self.send(12, call, self.parameter(208, bytes([cause])))

    def test(self):
        self.send(52, "%016x" % self.site.random.getrandbits(63),
                  self.parameter(208, bytes([0])))

    def answer_to(self, call):
        """The first message about this id that is no progress, or None."""
        for message in self.messages.get(call, []):
            if message[1] in (9, 12):
                return message
        return None

    def release_of(self, call):
        """The release that followed the answer, or None."""
        found = [m for m in self.messages.get(call, []) if m[1] in (9, 12)]
        if len(found) > 1 and found[0][1] == 9 and found[1][1] == 12:
            return found[1]
        return None


async def kill(process, record):
    """Kills a process that the test has started."""
    process.send_signal(signal.SIGKILL)
    process.wait()
    record.say("the placer is killed (SIGKILL)")


class Site:
    def __init__(self, folder):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.random = random.Random()
        self.loop = asyncio.get_running_loop()
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.machines, self.processes, self.closers = [], [], []
        self.journal = None
        self.listen = None

    def later(self, ms, action):
        self.loop.call_later(ms / 1000, action)

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)

    async def until(self, condition, seconds):
        end = time.time() + seconds
        while time.time() < end:
            if condition():
                return True
            await asyncio.sleep(0.01)
        return condition()

    def write_config(self, settings_object, sockets=1024):
        config = {"name": "n1", "listen": "%s:%d" % self.listen,
                  "seed": "%016x" % self.random.getrandbits(63),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                  "journal": self.journal.address, "known": self.journal.known(),
                  "settings": settings_object}
        path = os.path.join(self.temp, "config.json")
        with open(path + ".next", "w", encoding="utf-8") as file:
            json.dump(config, file)
        os.replace(path + ".next", path)
        return path

    async def start_placer(self, settings_object, sockets=1024, trace=False):
        """Starts the placer with `run` of the deploy file and waits until a test is passed."""
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            run = next(json.loads(line.split("=", 1)[1]) for line in file
                       if line.split("=")[0].strip() == "run")
        if not os.path.exists(os.path.join(ROOT, "platform", "target", "thornferry-serve.jar")):
            raise CannotRun("the build of the deploy file has not been made")
        if trace:
            run = run.replace("exec java", "exec java -Dthornferry.trace=true", 1)
        temp = os.path.join(self.temp, "tmp")
        os.makedirs(temp, exist_ok=True)
        environment = dict(os.environ, ROUTER_NAME="n1", ROUTER_LISTEN="%s:%d" % self.listen,
                           ROUTER_CONFIG=self.write_config(settings_object, sockets), TMPDIR=temp)
        self.log_path = os.path.join(self.temp, "placer.log")
        process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment,
                                   stdin=subprocess.DEVNULL, stdout=open(self.log_path, "ab"),
                                   stderr=subprocess.STDOUT)
        self.processes.append(process)
        self.record.line("test", f"placer started, process {process.pid}")
        end = time.time() + 30
        while time.time() < end:
            if process.poll() is not None:
                raise CannotRun(f"the placer ended with {process.returncode}: {self.log()}")
            try:
                owner = await Owner(self).connect()
            except OSError:
                await asyncio.sleep(0.1)
                continue
            owner.test()
            passed = await self.until(
                lambda: any(m[1] == 53 for ms in owner.messages.values() for m in ms), 5)
            owner.connection.close()
            if passed:
                self.record.line("test", "the placer is ready")
                return process
        raise CannotRun("the placer was not ready within 30 s")

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for machine in self.machines:
            machine.close()
        if self.journal:
            self.journal.close()
        if self.processes:
            for line in self.log().splitlines():
                self.record.line("placer log", line)
        shutil.rmtree(self.temp, ignore_errors=True)


def play(folder, case):
    """Plays a case, an async function of the site, and exits with its result."""
    async def main():
        site = Site(folder)
        result = NOT_RUN
        site.loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            result = await asyncio.wait_for(case(site), 110)
        except CannotRun as reason:
            site.record.say(f"cannot run: {reason}")
        except asyncio.TimeoutError:
            site.record.say("cannot run: not finished within 110 s")
        except asyncio.CancelledError:
            site.record.say("cannot run: stopped by SIGTERM")
        except OSError as failure:
            site.record.say(f"cannot run: {failure}")
        finally:
            site.close()
        site.record.say({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[result]
                        + ("" if TROUBLE else " (TROUBLE=0)"))
        return result

    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 4096:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096), hard))
    sys.exit(asyncio.run(main()))

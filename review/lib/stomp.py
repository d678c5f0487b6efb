"""Stand-ins for the placer over STOMP 1.2, as docs/protocol.md describes them: a node and an owner.

They reconnect until they are closed, as the page tells them to."""
import asyncio
import json
import time


class Peer:
    """A STOMP peer that connects, and connects again half a second after its connection ends."""

    def __init__(self, site, name, port, login, passcode):
        self.site, self.name, self.port = site, name, port
        self.login, self.passcode = login, passcode
        self.writer, self.closed = None, False
        self.task = asyncio.get_running_loop().create_task(self._run())

    def note(self, text):
        self.site.record.line(self.name, text)

    def send(self, command, headers, body=b""):
        if not self.writer:
            return
        lines = [command] + [f"{key}:{value}" for key, value in headers.items()]
        if body:
            lines.append(f"content-length:{len(body)}")
        self.writer.write("\n".join(lines).encode() + b"\n\n" + body + b"\0")

    def send_json(self, destination, message, **headers):
        self.note(f"> {destination} {json.dumps(message)}")
        self.send("SEND", {"destination": destination, "content-type": "application/json",
                           **headers}, json.dumps(message).encode())

    async def _run(self):
        while not self.closed:
            try:
                reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.send("CONNECT", {"accept-version": "1.2", "host": "thornferry",
                                      "login": self.login, "passcode": self.passcode,
                                      "heart-beat": "0,0"})
                while True:
                    await self._frame(reader)
            except (OSError, asyncio.IncompleteReadError):
                pass
            if self.writer:
                self.writer.close()
                self.writer = None
                self.note("the connection has ended")
            await asyncio.sleep(0.5)

    async def _frame(self, reader):
        head = b""
        while True:
            line = (await reader.readuntil(b"\n")).rstrip(b"\r\n")
            if line:
                head += line + b"\n"
            elif head:
                break
        command, *lines = head.decode().splitlines()
        headers = {}
        for line in lines:
            key, value = line.split(":", 1)
            headers.setdefault(key, value)
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            await reader.readexactly(1)
        else:
            body = (await reader.readuntil(b"\0"))[:-1]
        if command == "CONNECTED":
            self.note("connected")
            self.connected()
        elif command == "MESSAGE":
            self.note(f"< {headers.get('destination')} {body.decode()} "
                      f"{ {k: headers[k] for k in ('result', 'event', 'reason') if k in headers} }")
            self.message(headers, json.loads(body))
        elif command == "ERROR":
            self.note(f"< ERROR {headers.get('message')} {body.decode()}")

    def close(self):
        self.closed = True
        self.task.cancel()
        if self.writer:
            self.writer.close()


class Node(Peer):
    """A node that retains no attempts: it leaves out forgotUnsafeMs and forgotKeyedMs."""

    def __init__(self, site, name, port, runs_s):
        self.runs_s = runs_s
        self.held, self.recent, self.starts = {}, [], []
        self.on_offer = None
        self.incarnation = int(time.time() * 1000)
        super().__init__(site, name, port, "node", "change-me-too")

    def connected(self):
        self.send("SUBSCRIBE", {"id": "offers", "destination": f"/nodes/{self.name}/offers"})
        now = time.time()
        self.recent = [(at, report) for at, report in self.recent if now - at < 30]
        self.send_json("/nodes/register", {
            "node": self.name, "incarnation": str(self.incarnation), "kind": "std-node",
            "zone": "hall-a", "cell": 1, "cores": 24, "memory": 48,
            "uptimeMs": str(int(now * 1000) - self.incarnation), "load": self.load(),
            "held": [{"attempt": o["attempt"], "task": o["task"], "owner": o["owner"], "runs": True,
                      "placer": o["placer"]} for o in self.held.values()],
            "recent": [dict(report, endedMsAgo=str(int((now - at) * 1000)))
                       for at, report in self.recent]})

    def load(self):
        return {"coresFree": 24 - 4 * len(self.held), "memoryFree": 48 - 8 * len(self.held),
                "waiting": 0}

    def message(self, headers, order):
        if "offer" in order:
            offer = order["offer"]
            self.held[offer["attempt"]] = offer
            task = offer["task"]["id"]
            self.starts.append((time.time(), task))
            self.note(f"starts task {task}")
            self.site.later(self.runs_s * 1000, lambda: self.end(offer))
            if self.on_offer and self.on_offer(offer):
                return
            self.report(offer, "ACCEPTED")
            self.report(offer, "RUNS")
        elif "probe" in order:
            self.send_json("/nodes/probes", {"node": self.name, "number": order["probe"]["number"],
                                             "load": self.load()})

    def report(self, offer, kind, **more):
        self.send_json("/nodes/answers", {"node": self.name, "attempt": offer["attempt"],
                                          "kind": kind, "load": self.load(), **more})

    def end(self, offer):
        if self.held.pop(offer["attempt"], None):
            self.note(f"task {offer['task']['id']} has ended")
            self.recent.append((time.time(), {
                "node": self.name, "attempt": offer["attempt"], "kind": "ENDED", "ran": True,
                "owner": offer["owner"], "task": offer["task"], "effect": offer["effect"]}))
            self.report(offer, "ENDED", ran=True)


class Owner(Peer):
    """An owner that asks again by the same id on each new connection until it has a result."""

    def __init__(self, site, port):
        self.tasks, self.results = [], {}
        super().__init__(site, "owner", port, "depot1", "change-me")

    def place(self, **task):
        self.tasks.append(task)
        self.send_json("/tasks", task)

    def connected(self):
        self.send("SUBSCRIBE", {"id": "0", "destination": "/tasks/results", "ack": "auto"})
        for task in self.tasks:
            if task["id"] not in self.results:
                self.send_json("/tasks", task)

    def message(self, headers, message):
        if "result" in headers:
            self.results.setdefault(headers["task"], (time.time(), headers["result"],
                                                      headers.get("reason")))

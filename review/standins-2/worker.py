"""Stand-in of a worker, as "Running tasks" of PROTOCOL.md tells it."""
import asyncio
import base64
import json
import random
import time

from wire import HttpServer, Proxy

HEARTBEAT = 1.5
HOLD_MAX_MS = 1000
STOP_SECONDS = 0.02  # `stop-timeout-ms` is 50.
LIST_LENGTH = 500


class Run:
    def __init__(self, task, number, ends_at, outcome, demand):
        self.task, self.number, self.ends_at, self.outcome, self.demand = task, number, ends_at, outcome, demand
        self.begun = time.monotonic()


class Worker:
    """One worker machine; each life of it has an id of its own. `world` gives the plan of a task and records what happens."""

    def __init__(self, world, zone, rack, capacity, guards=True):
        self.world, self.zone, self.rack, self.capacity, self.guards = world, zone, rack, capacity, guards
        self.http = HttpServer(self.handle)
        self.id = None
        self.is_up = False
        self.beats = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.proxy = None  # Between the machines of the system and the worker.

    @property
    def address(self):
        return self.proxy.address

    async def start(self):
        """Begins a new life."""
        self.id = f"i-{random.getrandbits(32):08x}"
        self.runs, self.ends, self.highest = {}, [], {}
        self.last_end, self.token = 0, 0
        self.clock_base = time.monotonic() - random.uniform(100, 1000)
        self.lease_until = 0.0
        self.state = "ready"
        await self.http.start()
        if self.proxy is None:
            self.proxy = await Proxy(self.http.port).start()
        self.is_up = True
        self.ticker = asyncio.create_task(self.tick())
        self.beater = asyncio.create_task(self.beat())
        self.world.note("worker-up", worker=self.id, address=self.address, zone=self.zone)

    async def crash(self, seconds):
        """The process is lost; another life begins after a while. The registration of the former one lapses by itself."""
        self.world.note("worker-crash", worker=self.id, running=[f"{run.task}#{run.number}" for run in self.runs.values()])
        self.is_up = False
        former = self.id
        for run in list(self.runs.values()):
            self.world.on_lost(self, run)
        self.runs = {}
        self.ticker.cancel()
        self.beater.cancel()
        self.http.stop()

        async def forget():
            await asyncio.sleep(3 * HEARTBEAT)
            await self.world.store.write([], [("servers", "", former)])

        self.world.background(forget())
        await asyncio.sleep(seconds)
        await self.start()

    async def cut_off(self, seconds):
        """A partition from all machines of the system; the worker runs on, and reaches the store."""
        self.world.note("worker-cut", worker=self.id, running=[f"{run.task}#{run.number}" for run in self.runs.values()])
        self.proxy.cut()
        await asyncio.sleep(seconds)
        self.proxy.heal()
        self.world.note("worker-healed", worker=self.id)

    def clock_ms(self):
        return int((time.monotonic() - self.clock_base) * 1000)

    def used(self, name):
        return sum(run.demand.get(name, 0) for run in self.runs.values())

    async def register(self):
        self.beats += 1
        entry = {"service": self.world.service, "address": self.address, "zone": self.zone, "version": "1", "slots": 8,
                 "state": self.state, "cold-left-ms": 0, "seq-no": self.beats, "capacity": self.capacity,
                 "labels": ["kind-a", self.rack]}
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        await self.world.store.write([(("servers", "", self.id), value)])

    async def beat(self):
        while True:
            await self.register()
            await asyncio.sleep(HEARTBEAT)

    async def drain(self):
        """Reports a planned shutdown."""
        self.state = "draining"
        await self.register()
        self.world.note("worker-draining", worker=self.id)

    async def leave(self):
        """Exits after it has drained; everything that runs on it terminates."""
        self.world.note("worker-left", worker=self.id, running=[f"{run.task}#{run.number}" for run in self.runs.values()])
        self.is_up = False
        for run in list(self.runs.values()):
            self.world.on_lost(self, run)
        self.runs = {}
        self.ticker.cancel()
        self.beater.cancel()
        self.http.stop()
        await self.world.store.write([], [("servers", "", self.id)])

    def end(self, run, how):
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.last_end += 1
        self.ends.append({"row": [self.last_end, run.task, run.number, how, ""], "lapsed": False})
        self.world.on_end(self, run, how)
        self.changed.set()

    def advance(self):
        now = time.monotonic()
        lapsed = now > self.lease_until
        for run in list(self.runs.values()):
            if run.ends_at <= min(now, self.lease_until):
                self.end(run, run.outcome)
            elif lapsed:
                self.end(run, "lapsed")
        if lapsed:
            for end in self.ends:
                end["lapsed"] = True

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            self.advance()

    def grant(self, deadline_ms):
        left = min(deadline_ms - self.clock_ms(), HOLD_MAX_MS) / 1000
        if left > 0:
            self.lease_until = max(self.lease_until, time.monotonic() + left)

    def answer(self, status, **fields):
        return status, {"clock-ms": self.clock_ms(), **fields}

    async def handle(self, method, target, headers, document):
        if headers.get("x-tanagertally-expect-instance", self.id) != self.id:
            return self.answer(421)
        if method != "POST":
            return self.answer(200)
        self.advance()
        document = document or {}
        if target not in ("/run-start", "/run-stop", "/hold"):
            return self.answer(404)
        token = document.get("fencing-token", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if target == "/run-start":
            return self.run_start(document)
        if target == "/run-stop":
            return self.run_stop(document)
        return await self.hold(document)

    def run_start(self, order):
        task, number = order["task"], order["run"]
        if order["deadline-ms"] < self.clock_ms():
            return self.answer(409, reason="late")
        self.grant(order["deadline-ms"])
        if number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        if task in self.runs:
            return self.answer(200) if self.runs[task].number == number else self.answer(409, reason="old")
        plan = self.world.plan(order)
        if self.guards and any(self.used(name) + plan.demand.get(name, 0) > self.capacity.get(name, 0) for name in plan.demand):
            return self.answer(409, reason="room")
        run = Run(task, number, time.monotonic() + plan.seconds, plan.outcome, plan.demand)
        self.runs[task] = run
        self.world.on_start(self, run, order)
        return self.answer(200)

    def run_stop(self, order):
        task, number = order["task"], order["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run and run.number <= number:
            run.outcome = "stopped"
            run.ends_at = min(run.ends_at, time.monotonic() + STOP_SECONDS)
        self.world.note("stop", worker=self.id, task=task, run=number)
        return self.answer(200)

    async def hold(self, order):
        if "deadline-ms" in order:
            self.grant(order["deadline-ms"])
        cursor = order.get("ack-cursor", 0)
        kept = []
        for end in self.ends:
            if end["row"][0] <= cursor:
                self.world.on_noted(self, end["row"], end["lapsed"])
            else:
                kept.append(end)
        self.ends = kept
        wait = min(order.get("wait-ms", 0), 2000) / 1000
        deadline = time.monotonic() + wait
        while not self.ends and self.is_up and time.monotonic() < deadline:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        self.advance()
        running = [[run.task, run.number, "", 50, run.demand.get("cpu", 0)] for run in self.runs.values()]
        return self.answer(200, running=running, finished=[end["row"] for end in self.ends[:LIST_LENGTH]])

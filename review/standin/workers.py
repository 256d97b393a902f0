"""Workers by the protocol page, and the checks of what they run."""
import asyncio
import random

from wire import Connection, Server


class Fleet:
    """All workers, the jobs' descriptions that users have uploaded, and what has been run where."""

    def __init__(self, record, nodes, models, report_s, lease_s, gang_wait_s, gang_peer_s):
        self.record, self.nodes = record, nodes
        self.models = {model["name"]: model for model in models}
        self.report_s, self.lease_s = report_s, lease_s
        self.gang_wait_s, self.gang_peer_s = gang_wait_s, gang_peer_s
        self.jobs = {}
        self.behaviour = {}
        self.workers = {}
        self.results = set()
        self.saved = {}
        self.starts = []
        self.on_start = None

    async def start(self, name, model, yard, loaners):
        worker = Worker(self, name, model, yard, loaners)
        self.workers[name] = worker
        return await worker.start()

    async def stop(self, name):
        worker = self.workers.pop(name, None)
        if worker:
            await worker.end()

    def running(self):
        """The tasks that are on a machine: they have their image and have not ended."""
        return [(worker, task) for worker in self.workers.values() for task in worker.tasks.values()
                if task.on_machine()]


class Task:
    def __init__(self, worker, piece, attempt):
        self.worker, self.piece, self.attempt = worker, piece, attempt
        self.job = piece.rsplit("/", 1)[0]
        self.status, self.cause, self.stored = "fetching", None, None
        self.process = None
        self.stopping = asyncio.Event()

    def on_machine(self):
        return self.status in ("gathering", "running", "saving")

    def report(self):
        entry = {"piece": self.piece, "try": self.attempt, "status": self.status}
        if self.cause:
            entry["cause"] = self.cause
        if self.stored:
            entry["stored"] = True
        return entry

    def end(self, cause, stored=None):
        if self.status == "ended":
            return
        was_on = self.on_machine()
        self.status, self.cause, self.stored = "ended", cause, stored
        if cause == "done":
            self.worker.fleet.results.add(self.piece)
        self.worker.fleet.record("worker %s: %s try %d ended, %s%s" % (
            self.worker.name, self.piece, self.attempt, cause, "" if was_on else " (had not begun)"))
        self.worker.change()


class Worker:
    def __init__(self, fleet, name, model, yard, loaners):
        self.fleet, self.name, self.model, self.yard, self.loaners = fleet, name, model, yard, loaners
        self.loop = asyncio.get_running_loop()
        self.shift, self.tally, self.warrant = 1, 0, 0
        self.tasks = {}
        self.images, self.fetches = set(), {}
        self.fetch_factor = 1.0
        self.changed = asyncio.Event()
        self.lease_from = self.loop.time()
        self.token_change_at = -1e9
        self.server = Server(self.handle)
        self.order = list(fleet.nodes)
        self.node = random.randrange(len(self.order))
        self.jobs = []
        self.gone = False
        self.reach = None  # maps a node's address to the one to connect to

    async def start(self):
        self.address = await self.server.start()
        self.jobs = [self.loop.create_task(self.report_loop()), self.loop.create_task(self.watch_lease())]
        self.fleet.record("worker %s: up, %s, %s" % (self.name, self.model, self.yard))
        return self.address

    async def end(self):
        self.gone = True
        for job in self.jobs:
            job.cancel()
        self.drop_tasks()
        self.server.server.close()
        self.fleet.record("worker %s: gone" % self.name)

    def drop_tasks(self):
        for task in self.tasks.values():
            if task.process:
                task.process.cancel()
            if task.status != "ended":
                self.fleet.record("worker %s: %s try %d dropped" % (self.name, task.piece, task.attempt))
        self.tasks = {}

    def change(self):
        self.changed.set()

    def body(self):
        self.tally += 1
        return {"host": self.name, "address": self.address, "model": self.model, "yard": self.yard,
                "loaners": self.loaners, "shift": self.shift, "tally": self.tally, "warrant": self.warrant,
                "recall_s": None, "pieces": [task.report() for task in self.tasks.values()]}

    async def report_loop(self):
        connection = None
        while True:
            self.changed.clear()
            name = self.order[self.node]
            address = self.fleet.nodes[name]
            address = self.reach(name, address) if self.reach else address
            if connection is None or connection.address != address:
                if connection:
                    connection.close()
                connection = Connection(address)
            sent, shift = self.loop.time(), self.shift
            status, answer = await connection.request("POST", "/v1/report", self.body(), 4.0)
            if status == 200:
                self.take(answer, sent, shift)
            elif status == 421 and (answer or {}).get("foreman") in self.order and answer["foreman"] != name:
                connection.close()
                self.node = self.order.index(answer["foreman"])
                await asyncio.sleep(random.uniform(0, 0.5))
                continue
            else:
                connection.close()
                self.node = (self.node + 1) % len(self.order)
                await asyncio.sleep(1.0)
                continue
            pause = self.fleet.report_s * random.uniform(0.75, 1.25) - (self.loop.time() - sent)
            try:
                await asyncio.wait_for(self.changed.wait(), max(pause, 0.01))
            except asyncio.TimeoutError:
                pass
            left = sent + 0.5 - self.loop.time()
            if left > 0:
                await asyncio.sleep(left)

    async def watch_lease(self):
        while True:
            left = self.lease_from + self.fleet.lease_s - self.loop.time()
            if left > 0:
                await asyncio.sleep(left)
                continue
            self.fleet.record("worker %s: lease of shift %d ended" % (self.name, self.shift))
            self.drop_tasks()
            self.shift += 1
            self.lease_from = self.loop.time()
            self.change()

    def see(self, warrant):
        if warrant > self.warrant:
            self.warrant = warrant
            if self.loop.time() - self.token_change_at >= self.fleet.lease_s / 2:
                self.token_change_at = self.loop.time()
                self.change()

    def take(self, answer, sent, shift):
        if shift != self.shift or answer.get("warrant") is None or answer["warrant"] < self.warrant:
            return
        self.see(answer["warrant"])
        self.lease_from = sent
        if answer.get("orders"):
            self.fleet.record("worker %s <- answer to a report: %s" % (self.name, answer["orders"]))
        self.execute(answer.get("orders") or [])

    async def handle(self, method, path, query, body):
        if path == "/show":
            return 200, self.body()
        if path != "/commands":
            return 404, {}
        if body.get("warrant") is None or body.get("shift") is None:
            return 400, {}
        if body["warrant"] < self.warrant or body["shift"] != self.shift:
            return 409, self.body()
        self.see(body["warrant"])
        if body.get("orders"):
            self.fleet.record("worker %s <- direct commands: %s" % (self.name, body["orders"]))
        self.execute(body.get("orders") or [])
        return 200, self.body()

    def execute(self, orders):
        for order in orders:
            key = (order["piece"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self.launch(*key)
            elif order["verb"] == "kill" and task is not None and task.status != "ended":
                self.kill(task, order["wind_down_s"])
            elif order["verb"] == "forget" and task is not None and task.status == "ended":
                del self.tasks[key]

    def kill(self, task, wind_down_s):
        job = self.fleet.jobs[task.job]
        self.fleet.record("worker %s: %s try %d told to stop" % (self.name, task.piece, task.attempt))
        if task.status == "running" and job["bookmark_s"] > 0 and 0 < job["bookmark_cost_s"] <= wind_down_s:
            task.status = "saving"
            task.process.cancel()
            task.process = self.loop.create_task(self.save(task, job["bookmark_cost_s"]))
            self.change()
        elif task.status != "saving" or wind_down_s == 0:
            if task.process:
                task.process.cancel()
            task.end("stopped")

    async def save(self, task, cost):
        await asyncio.sleep(cost)
        task.end("stopped", True)

    def launch(self, piece, attempt):
        task = Task(self, piece, attempt)
        live = [other for other in self.tasks.values() if other.piece == piece and other.status != "ended"]
        self.tasks[(piece, attempt)] = task
        job = self.fleet.jobs.get(task.job)
        if job is None or int(piece.rsplit("/", 1)[1]) >= job["pieces"]:
            return task.end("no_such")
        if live:
            return task.end("busy")
        model = self.fleet.models[self.model]
        for field in ("vcpus", "gpus", "memory_gb"):
            used = sum(self.fleet.jobs[other.job][field] for other in self.tasks.values() if other.status != "ended")
            if used > model[field] + 1e-6:
                return task.end("full")
        self.fleet.record("worker %s: %s try %d launched" % (self.name, piece, attempt))
        task.process = self.loop.create_task(self.run(task, job))
        self.change()

    async def run(self, task, job):
        plate = job["plate"]
        if plate not in self.images:
            if plate not in self.fetches:
                rate = self.fleet.models[self.model]["fetch_gb_per_s"] * self.fetch_factor
                self.fetches[plate] = self.loop.create_task(asyncio.sleep(job["image_gb"] / rate))
            fetch = self.fetches[plate]
            try:
                await asyncio.shield(fetch)
            except asyncio.CancelledError:
                # A fetch is given up when no task waits for it any more.
                waiting = [other for other in self.tasks.values() if other is not task and other.status == "fetching"
                           and self.fleet.jobs[other.job]["plate"] == plate]
                if not waiting and self.fetches.get(plate) is fetch:
                    fetch.cancel()
                    del self.fetches[plate]
                    self.fleet.record("worker %s: fetch of %s given up" % (self.name, plate))
                raise
            self.fetches.pop(plate, None)
            self.images.add(plate)
            self.fleet.record("worker %s: has %s" % (self.name, plate))
        behaviour = self.fleet.behaviour.get(task.job, {})
        if task.piece in self.fleet.results:
            return task.end("done")
        if job["form"] == "ensemble":
            if not await self.gather(task, job):
                return
        task.status = "running"
        self.fleet.starts.append((self.loop.time(), self.name, task.piece, task.attempt))
        self.fleet.record("worker %s: %s try %d runs" % (self.name, task.piece, task.attempt))
        if self.fleet.on_start and job["form"] != "ensemble":
            self.fleet.on_start(self, task)
        self.change()
        if behaviour.get("mistake"):
            await asyncio.sleep(0.2)
            return task.end("error")
        if job["form"] == "standing":
            await asyncio.sleep(1e6)
        if job["form"] == "ensemble":
            return await self.run_together(task, job, behaviour.get("run_s", 5.0))
        await asyncio.sleep(behaviour.get("run_s", 5.0))
        task.end("done")

    def members(self, task):
        return [other for worker in self.fleet.workers.values() for other in worker.tasks.values()
                if other.job == task.job and other.attempt == task.attempt]

    async def gather(self, task, job):
        """Waits for the gang's other tasks. Returns false if the task has ended."""
        task.status = "gathering"
        if self.fleet.on_start:
            self.fleet.on_start(self, task)
        self.change()
        until = self.loop.time() + self.fleet.gang_wait_s
        while True:
            here = {other.piece for other in self.members(task)
                    if other.status in ("gathering", "running")}
            if len(here) == job["pieces"]:
                return True
            if self.loop.time() >= until:
                task.end("alone")
                return False
            await asyncio.sleep(0.05)

    async def run_together(self, task, job, run_s):
        until = self.loop.time() + run_s
        lost_at = None
        while self.loop.time() < until:
            await asyncio.sleep(0.1)
            members = [other for other in self.members(task) if other.status != "ended" or other.cause == "done"]
            if any(other.cause == "done" for other in members):
                break
            if len(members) < job["pieces"]:
                lost_at = lost_at or self.loop.time()
                if self.loop.time() - lost_at > self.fleet.gang_peer_s * 0.5:
                    return task.end("peers")
        task.end("done")
        for index in range(job["pieces"]):
            self.fleet.results.add("%s/%d" % (task.job, index))

"""The state service and the cloud of the protocol page."""
import asyncio
import bisect
import itertools

from wire import Server, pack, unpack


class Bucket:
    """A rate with a burst."""

    def __init__(self, loop, rate, burst_s):
        self.loop, self.rate, self.most = loop, rate, rate * burst_s
        self.tokens, self.at = self.most, loop.time()

    def take(self, amount=1):
        now = self.loop.time()
        self.tokens = min(self.most, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class StateService:
    KEPT = 10_000

    def __init__(self, record, rps, write_rps, value_kb, txn_ops, latency_s=0.004):
        loop = asyncio.get_running_loop()
        self.record, self.loop, self.latency_s = record, loop, latency_s
        self.calls, self.writes = Bucket(loop, rps, 1.0), Bucket(loop, write_rps, 1.0)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.keys = {}
        self.revision = 1
        self.changes = []
        self.holds = {}
        self.ids = itertools.count(1)
        self.changed = asyncio.Condition()
        self.refusing = set()
        self.down = False
        self.up = asyncio.Event()
        self.up.set()
        self.server = Server(self.handle)
        self.on_commit = None
        loop.create_task(self.expire())

    async def outage(self, seconds):
        self.down = True
        self.up.clear()
        await asyncio.sleep(seconds)
        now = self.loop.time()
        for hold in self.holds.values():
            hold["until"] = now + hold["ttl"]
        self.down = False
        self.up.set()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = self.loop.time()
            if self.down:
                continue
            for ident in [ident for ident, hold in self.holds.items() if hold["until"] <= now]:
                await self.end_hold(ident)

    async def end_hold(self, ident):
        self.holds.pop(ident, None)
        keys = [key for key, item in self.keys.items() if item["tenure"] == ident]
        if keys:
            await self.apply([{"remove": key} for key in keys])

    async def apply(self, writes):
        self.revision += 1
        for write in writes:
            if "put" in write:
                key = write["put"]
                self.keys[key] = {"data": write["data"], "stamp": self.revision, "tenure": write.get("tenure")}
                self.changes.append((self.revision, key, {"put": key, "data": write["data"], "stamp": self.revision}))
            elif self.keys.pop(write["remove"], None) is not None:
                key = write["remove"]
                self.changes.append((self.revision, key, {"remove": key, "stamp": self.revision}))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method, path, query, body):
        if path != "/changes":
            await asyncio.sleep(self.latency_s)
        if self.down:
            return 503, {"error": "outage"}
        if not self.calls.take():
            return 429, {"error": "rate"}
        if path == "/commit":
            return await self.commit(body)
        if path == "/changes":
            return await self.watch(query)
        if path == "/store":
            return 200, self.page(query)
        if path.startswith("/store/"):
            item = self.keys.get(path[len("/store/"):])
            if item is None:
                return 404, {"ledger_rev": self.revision}
            answer = {"path": path[len("/store/"):], "data": item["data"], "stamp": item["stamp"]}
            if item["tenure"] is not None:
                answer["tenure"] = item["tenure"]
            return 200, answer
        if path == "/holds":
            ident = next(self.ids)
            ttl = body["ttl_ms"] / 1000
            self.holds[ident] = {"ttl": ttl, "until": self.loop.time() + ttl}
            return 200, {"tenure": ident}
        if path.startswith("/holds/"):
            ident = int(path.split("/")[2])
            hold = self.holds.get(ident)
            if hold is None:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self.end_hold(ident)
            else:
                hold["until"] = self.loop.time() + hold["ttl"]
            return 200, {}
        return 400, {"error": "malformed"}

    async def commit(self, body):
        writes = body.get("writes", [])
        if writes and not self.writes.take(len(writes)):
            return 429, {"error": "rate"}
        size = len(pack(body))
        if len(writes) > self.txn_ops or len(body.get("when", [])) > 4 * self.txn_ops or size > 65536:
            return 400, {"error": "transaction too large"}
        for write in writes:
            if "put" in write and len(pack(write["data"])) > self.value_bytes:
                return 400, {"error": "value too large"}
            if write.get("tenure") is not None and write["tenure"] not in self.holds:
                return 400, {"error": "no such lease"}
        failed = [condition["path"] for condition in body.get("when", [])
                  if self.stamp(condition["path"]) != condition["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.revision}
        if writes:
            await self.apply(writes)
        return 200, {"ledger_rev": self.revision}

    def stamp(self, key):
        item = self.keys.get(key)
        return item["stamp"] if item else 0

    def page(self, query):
        under, after = query.get("under", ""), query.get("after", "")
        keys = sorted(key for key in self.keys if key.startswith(under) and key > after)
        most, items, size = min(int(query.get("page", "1000")), 1000), [], 0
        for key in keys:
            item = {"path": key, "data": self.keys[key]["data"], "stamp": self.keys[key]["stamp"]}
            size += len(pack(item))
            if len(items) >= most or size > 512 * 1024:
                break
            items.append(item)
        return {"items": items, "truncated": len(items) < len(keys), "ledger_rev": self.revision}

    async def watch(self, query):
        under, after = query.get("under", ""), int(query["after"])
        until = self.loop.time() + min(int(query.get("block_ms", "0")), 60_000) / 1000
        while True:
            await self.up.wait()
            if self.changes and len(self.changes) > self.KEPT and after < self.changes[-self.KEPT][0]:
                return 410, {"error": "too old"}
            first = bisect.bisect_right(self.changes, after, key=lambda change: change[0])
            events = [event for _, key, event in self.changes[first:] if key.startswith(under)]
            left = until - self.loop.time()
            if events or left <= 0:
                return 200, {"ledger_rev": self.revision, "events": events}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Cloud:
    """Rents machines; `start(name, model, yard, loaners)` makes the worker and `stop(name)` ends it."""

    def __init__(self, record, models, capacity, rps, list_lag_s, boot_s, start, stop, latency_s=0.08):
        loop = asyncio.get_running_loop()
        self.record, self.loop, self.latency_s = record, loop, latency_s
        self.models, self.capacity, self.boot_s = models, dict(capacity), boot_s
        self.calls = Bucket(loop, rps, 2.0)
        self.list_lag_s, self.start, self.stop = list_lag_s, start, stop
        self.hosts, self.requests = {}, {}
        self.ids = itertools.count(231)
        self.history = []
        self.server = Server(self.handle)

    def snapshot(self):
        now = self.loop.time()
        hosts = [dict(uid=name, address=host["address"], model=host["model"], yard=host["yard"],
                      loaners=host["loaners"], status=host["status"], held_s=now - host["at"])
                 for name, host in sorted(self.hosts.items())]
        self.history.append((now, hosts))

    async def handle(self, method, path, query, body):
        await asyncio.sleep(self.latency_s)
        if not self.calls.take():
            return 429, {"error": "rate"}
        if path == "/flavors":
            return 200, {"models": self.models}
        if path == "/machines" and method == "POST":
            return self.rent(body)
        if path == "/machines/return":
            for name in body["hosts"]:
                host = self.hosts.pop(name, None)
                if host:
                    self.capacity[(host["model"], host["yard"], host["loaners"])] += 1
                    await self.stop(name)
            self.record("cloud: returned", body["hosts"])
            self.snapshot()
            return 200, {}
        if path == "/machines":
            seen = []
            for at, hosts in self.history:
                if at <= self.loop.time() - self.list_lag_s:
                    seen = [dict(host, held_s=host["held_s"]) for host in hosts]
            seen = [host for host in seen if host["uid"] > query.get("after", "")]
            most = min(int(query.get("page", "500")), 500)
            return 200, {"hosts": seen[:most], "truncated": len(seen) > most}
        return 400, {"error": "malformed"}

    def rent(self, body):
        if body["requisition"] in self.requests:
            return 200, {"hosts": self.requests[body["requisition"]]}
        kind = (body["model"], body["yard"], body["loaners"])
        count = min(body["count"], self.capacity.get(kind, 0), 50)
        if count <= 0:
            self.record("cloud: no capacity", body)
            return 503, {"error": "no capacity"}
        self.capacity[kind] -= count
        names = []
        for _ in range(count):
            name = "host-%06d" % next(self.ids)
            names.append(name)
            self.hosts[name] = dict(model=kind[0], yard=kind[1], loaners=kind[2], status="starting",
                                    at=self.loop.time(), address="127.0.0.1:1")
            self.loop.create_task(self.boot(name))
        self.requests[body["requisition"]] = names
        self.record("cloud: rented", names, body["model"], body["yard"])
        self.snapshot()
        return 200, {"hosts": names}

    async def boot(self, name):
        await asyncio.sleep(self.boot_s)
        host = self.hosts.get(name)
        if host:
            host["address"] = await self.start(name, host["model"], host["yard"], host["loaners"])
            host["status"] = "running"
            self.snapshot()

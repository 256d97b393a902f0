"""Three controllers as processes of their own, with the stand-ins around them."""
import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from services import Cloud, StateService
from wire import Connection, request
from workers import Fleet

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class CannotRun(Exception):
    pass


def free_ports(count):
    """Free ports below the range from which the system takes those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(12_000, 30_000)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def __call__(self, *what):
        line = "%8.3f %s" % (time.monotonic() - self.began, " ".join(str(part) for part in what))
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, *what):
        self(*what)
        print(*what, flush=True)


class Proxy:
    """A TCP proxy. `mode` is "pass", "drop" (connections hang, nothing is passed on) or "refuse" (open connections
    are reset, new ones are closed at once). `delay_s` holds up what the target sends back."""

    def __init__(self, target):
        self.target, self.mode, self.delay_s = target, "pass", 0.0
        self.writers = set()
        self.passing = asyncio.Event()
        self.passing.set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self.address

    def set(self, mode):
        self.mode = mode
        if mode == "drop":
            self.passing.clear()
        else:
            self.passing.set()
        if mode == "refuse":
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        self.writers.add(writer)
        await self.passing.wait()
        try:
            host, port = self.target.rsplit(":", 1)
            back_reader, back_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            self.writers.discard(writer)
            return
        self.writers.add(back_writer)
        await asyncio.gather(self.copy(reader, back_writer, 0), self.copy(back_reader, writer, 1))
        for each in (writer, back_writer):
            each.close()
            self.writers.discard(each)

    async def copy(self, reader, writer, answers):
        try:
            while True:
                data = await reader.read(65536)
                await self.passing.wait()
                if answers and self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            writer.close()


class Cluster:
    def __init__(self, folder, site):
        self.folder, self.site = folder, site
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.names = ["drone-0", "drone-1", "drone-2"]
        self.zones = site["zones"]
        self.processes = {}
        self.log = {}
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
            self.run = tomllib.load(file)["run"].split()
        if not os.access(os.path.join(ROOT, self.run[0]), os.X_OK):
            raise CannotRun("%s is not built" % self.run[0])
        ports = free_ports(6)
        self.front = {name: "127.0.0.1:%d" % ports[index] for index, name in enumerate(self.names)}
        self.back = {name: "127.0.0.1:%d" % ports[3 + index] for index, name in enumerate(self.names)}
        self.peer_proxies, self.state_proxies = {}, {}
        self.tasks = []

    async def start(self, peer_proxies=False, state_proxies=False, nodes=True):
        site = self.site
        state, cloud = site["state"], site["cloud"]
        self.state = StateService(self.record, state["rps"], state["write_rps"], state["value_kb"], state["txn_ops"])
        state_address = await self.state.server.start()
        workers = site["workers"]
        self.fleet = Fleet(self.record, self.front, site["models"], workers["report_s"], workers["lease_s"],
                           workers["gang_wait_s"], workers["gang_peer_s"])
        self.cloud = Cloud(self.record, site["models"], site["capacity"], cloud["rps"], cloud["list_lag_s"],
                           site.get("boot_s", 1.0), self.fleet.start, self.fleet.stop)
        cloud_address = await self.cloud.server.start()
        for index, name in enumerate(self.names):
            address = state_address
            if state_proxies:
                proxy = self.state_proxies[name] = Proxy(state_address)
                address = await proxy.start()
            peers = {}
            for other in self.names:
                if other != name:
                    peers[other] = self.back[other]
                    if peer_proxies:
                        proxy = self.peer_proxies[(name, other)] = Proxy(self.back[other])
                        peers[other] = await proxy.start()
            with open(self.settings_file(name), "w") as file:
                file.write(self.settings(index, name, peers, address, cloud_address))
            if nodes:
                self.launch(name)

    def settings_file(self, name):
        return os.path.join(self.temp, name + ".toml")

    def settings(self, index, name, peers, state_address, cloud_address):
        site = self.site
        lines = ['node_name = "%s"' % name, 'site = "%s"' % self.zones[index % len(self.zones)],
                 'front = "%s"' % self.front[name], 'back = "%s"' % self.back[name]]
        for other, address in peers.items():
            zone = self.zones[self.names.index(other) % len(self.zones)]
            lines += ["[[peers]]", 'node_name = "%s"' % other, 'site = "%s"' % zone, 'addr = "%s"' % address]
        lines += ["[services]", 'cloud = "%s"' % cloud_address, 'state = "%s"' % state_address,
                  "[cluster]", "nodes = 3", "zones = [%s]" % ", ".join('"%s"' % zone for zone in sorted(self.zones)),
                  "clock_error_ms = 250.0"]
        for team, gpus, gpus_max in site["teams"]:
            lines += ["[[cluster.teams]]", 'name = "%s"' % team, "cpus = 0.0", "cpus_max = 0.0",
                      "gpus = %.1f" % gpus, "gpus_max = %.1f" % gpus_max]
        for objective in site.get("objectives", []):
            lines += ["[[cluster.objectives]]"] + objective
        for part in ("workers", "state", "cloud", "machine_limits"):
            lines += ["[cluster.%s]" % part] + ["%s = %s" % item for item in site[part].items()]
        return "\n".join(lines) + "\n"

    def launch(self, name):
        log = open(os.path.join(self.temp, name + ".log"), "a")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("REVIEW_LOG", "info"))
        self.processes[name] = subprocess.Popen(self.run + [self.settings_file(name)], cwd=ROOT, env=env,
                                                stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.record("controller %s: started, process %d" % (name, self.processes[name].pid))

    def signal(self, name, number):
        self.record("controller %s: %s" % (name, signal.Signals(number).name))
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def log_text(self, name):
        with open(os.path.join(self.temp, name + ".log"), errors="replace") as file:
            return file.read()

    def leader(self):
        item = self.state.keys.get("live/lead")
        return item["data"]["node"] if item else None

    async def wait_for(self, what, condition, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.05)
        raise CannotRun("not within %g s: %s" % (seconds, what))

    async def ready(self, name):
        status, _ = await request(self.front[name], "GET", "/ready", timeout=1.0)
        return status == 200

    async def wait_until_ready(self, seconds=15):
        for name in self.names:
            await self.wait_for("%s is ready" % name, lambda name=name: self.ready(name), seconds)
        await self.wait_for("a leader", self.leader, seconds)

    async def call(self, name, method, path, value=None, timeout=5.0):
        """One request of a user to one node, without a retry."""
        self.record("user -> %s: %s %s" % (name, method, path), value if value is not None else "")
        status, answer = await request(self.front[name], method, path, value, timeout)
        self.record("user <- %s: %s %s" % (name, method, path), status, answer)
        return status, answer

    async def submit(self, job, seconds=30, nodes=None, **behaviour):
        """Submits with retries, at any node. Users upload the description before."""
        self.fleet.jobs[job["uid"]] = job
        self.fleet.behaviour[job["uid"]] = behaviour
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, answer = await self.call(random.choice(nodes or self.names), "POST", "/submissions", job)
            if status in (200, 201):
                return answer
            await asyncio.sleep(1.0)
        raise CannotRun("job %s was not accepted" % job["uid"])

    async def cancel(self, uid, seconds=30, nodes=None):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            status, answer = await self.call(random.choice(nodes or self.names), "POST",
                                             "/submissions/%s/cancel" % uid)
            if status == 200:
                return answer
            await asyncio.sleep(1.0)
        raise CannotRun("no answer to the cancellation of %s" % uid)

    async def poll(self, uid, nodes=None):
        status, answer = await self.call(random.choice(nodes or self.names), "GET", "/submissions/" + uid,
                                         timeout=2.0)
        return answer["status"] if status == 200 else None

    def end(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
                process.wait()
            elif process.returncode != -signal.SIGKILL:
                self.record("controller %s: had ended by itself, %s" % (name, process.returncode))
        if os.environ.get("REVIEW_KEEP"):
            print("kept", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def job(uid, crew, form="array", pieces=1, **fields):
    value = {"uid": uid, "docket": "label-render", "crew": crew, "form": form, "precedence": "normal",
             "pieces": pieces, "vcpus": 1.0, "gpus": 0.0, "memory_gb": 1.0, "plate": "img-01", "image_gb": 0.1,
             "models": None, "yard": None, "together": False, "scatter": False, "loaners": False,
             "expected_s": 5.0, "bookmark_s": 0.0, "bookmark_cost_s": 0.0, "due_s": None}
    value.update(fields)
    return value


def botika(models, capacity, teams):
    """The settings of botika-manila, with fewer machines."""
    return {
        "zones": ["pasig-hall", "cebu-annex"], "models": models, "capacity": capacity, "teams": teams,
        "workers": {"report_s": 3.0, "lease_s": 17.0, "gang_wait_s": 30.0, "gang_peer_s": 6.0, "cancel_s": 42.0},
        "state": {"rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 2.0, "list_lag_s": 10.0},
        "machine_limits": {"cpu_share": 0.064, "mem_mb": 56.0, "max_connections": 1000},
    }


def drukkerij(models, capacity, teams):
    """The settings of drukkerij-gent, with fewer machines."""
    return {
        "zones": ["gent-werkplaats", "brugge-depot"], "models": models, "capacity": capacity, "teams": teams,
        "workers": {"report_s": 3.0, "lease_s": 30.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0, "cancel_s": 55.0},
        "state": {"rps": 250.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
        "cloud": {"rps": 2.0, "list_lag_s": 4.0},
        "machine_limits": {"cpu_share": 0.064, "mem_mb": 72.0, "max_connections": 1200},
    }


LETTERPERS = {"name": "letterpers", "vcpus": 24.0, "gpus": 2.0, "memory_gb": 96.0, "cache_gb": 120.0,
              "fetch_gb_per_s": 0.3, "price": 6.27, "spot_price": 1.5, "ready_s": 45.0,
              "yards": ["gent-werkplaats", "brugge-depot"]}

SARI_BOX = {"name": "sari-box", "vcpus": 24.0, "gpus": 4.0, "memory_gb": 96.0, "cache_gb": 100.0,
            "fetch_gb_per_s": 0.15, "price": 11.36, "spot_price": 3.1, "ready_s": 25.0,
            "yards": ["pasig-hall", "cebu-annex"]}


BODEGA = {"name": "bodega-server", "vcpus": 96.0, "gpus": 8.0, "memory_gb": 576.0, "cache_gb": 80.0,
          "fetch_gb_per_s": 0.12, "price": 17.77, "spot_price": 4.3, "ready_s": 25.0, "yards": ["pasig-hall"]}


def main(case, site):
    """Runs `case(cluster, trouble)`, which returns whether the rule held. Exits with 0, 1 or 2."""
    folder = sys.argv[1]
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def interrupted(number, frame):
        raise SystemExit(2)

    # The controllers are ended also if this process is told to end.
    signal.signal(signal.SIGTERM, interrupted)

    async def whole():
        # Connections and tasks that are cut off at the end of the run are no errors.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        cluster = Cluster(folder, site)
        try:
            cluster.record.say("trouble" if trouble else "without the trouble")
            return await asyncio.wait_for(case(cluster, trouble), 116)
        finally:
            cluster.end()

    try:
        held = asyncio.run(whole())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print("the case could not run:", error or type(error).__name__)
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)

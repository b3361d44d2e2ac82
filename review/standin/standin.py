"""Stand-ins of the platform's store, of replicas and of clients, for the cases beside this folder.

They speak what the users' pages say, over HTTP/1.1 on loopback addresses. Standard library only.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "dahliastiled")
VARIABLE = "DAHLIASTILE_SETTINGS"


class CannotRun(Exception):
    """The case could not run; it says nothing of the rule."""


class Record:
    """What was sent, answered and run, a line each, in record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Message:
    """A request or an answer."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        return self.headers.get(name, default)

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b"")


async def read_request(reader):
    message = await read_head(reader)
    length = int(message.get("content-length", "0"))
    message.body = await reader.readexactly(length)
    return message


async def read_answer(reader):
    """Reads a whole answer. `whole` is false where its end does not show that it is complete."""
    message = await read_head(reader)
    message.whole = True
    if "content-length" in message.headers:
        message.body = await reader.readexactly(int(message.headers["content-length"]))
    elif message.get("transfer-encoding", "").endswith("chunked"):
        body = b""
        while True:
            size = int((await reader.readline()).strip(), 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
        message.body = body
    else:
        message.body = await reader.read()
        message.whole = False
    return message


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's store: items, leases, transactions, watches."""

    def __init__(self):
        self.items = {}
        self.leases = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()
        # The channels of each VM, the number of its watches, and the VMs that are cut off.
        self.channels = {}
        self.watches = {}
        self.cut_off = set()
        self.servers = []

    async def start(self):
        self.expirer = asyncio.ensure_future(self.expire())

    async def listen(self, vm, ip, port):
        """Takes the calls of one VM."""
        serve = lambda reader, writer: self.serve(vm, reader, writer)
        self.servers.append(await asyncio.start_server(serve, ip, port))

    async def cut(self, vm, seconds):
        """Cuts a VM off: its channels are reset, and each new one too, until the time is over."""
        self.cut_off.add(vm)
        for writer in list(self.channels.get(vm, ())):
            writer.transport.abort()
        await asyncio.sleep(seconds)
        self.cut_off.discard(vm)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["createRevision"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "createRevision": created,
            "lease": lease,
        }
        self.history.append(dict(self.items[key]))
        self.notify()

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})
            self.notify()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [n for n, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def holder(self, service):
        item = self.items.get(f"dahliastile/holder/{service}")
        return item and json.loads(base64.b64decode(item["value"]))["vm"]

    async def serve(self, vm, reader, writer):
        if vm in self.cut_off:
            writer.transport.abort()
            return
        self.channels.setdefault(vm, set()).add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request.target.startswith("/dahliastile/kv-watch"):
                    self.watches[vm] = self.watches.get(vm, 0) + 1
                status, value = await self.answer(request)
                if writer.is_closing():
                    return
                body = json.dumps(value).encode()
                writer.write(answer_bytes(status, [("Content-Type", "application/json")], body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.channels[vm].discard(writer)
            writer.close()

    async def answer(self, request):
        path, _, query = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        path = path.removeprefix("/dahliastile/")
        body = json.loads(request.body) if request.body else {}
        if path == "kv-key":
            item = self.items.get(query["key"])
            return (200, item) if item else (404, {})
        if path == "kv-range":
            keys = sorted(k for k in self.items if k.startswith(query.get("prefix", "")))
            keys = [k for k in keys if k > query.get("after", "")]
            page = [self.items[k] for k in keys[:500]]
            return 200, {"items": page, "morePages": len(keys) > 500, "storeRevision": self.revision}
        if path == "kv-watch":
            return await self.watch(query)
        if path == "kv-txn":
            return self.transact(body)
        if path == "kv-lease":
            self.revision += 1
            length = body["ttlMs"] / 1000
            self.leases[self.revision] = (length, time.monotonic() + length)
            return 200, {"lease": self.revision, "ttlMs": body["ttlMs"]}
        if path.startswith("kv-keep/"):
            lease = int(path.split("/")[1])
            if lease not in self.leases:
                return 404, {}
            length = self.leases[lease][0]
            self.leases[lease] = (length, time.monotonic() + length)
            return 200, {"ttlMs": int(length * 1000)}
        if path.startswith("kv-lease-end/"):
            self.end_lease(int(path.split("/")[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [e for e in self.history if e["revision"] > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        known = lambda key: self.items[key]["revision"] if key in self.items else 0
        rows = body.get("expected", [])
        if any(known(row["key"]) != row["revision"] for row in rows):
            current = [self.items.get(r["key"], {"key": r["key"], "revision": 0}) for r in rows]
            return 412, {"items": current}
        puts = body.get("puts", [])
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in puts):
            return 404, {}
        for p in puts:
            self.put(p["key"], base64.b64decode(p["value"]), p.get("lease", 0))
        for key in body.get("delete", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Fleet:
    """Addresses, the store and the entry VMs as processes."""

    def __init__(self, record):
        self.record = record
        self.region = "nl-west"
        self.zones = ["maasvlakte", "botlek", "delft-zuid", "dordrecht"]
        self.net = self.choose_net()
        self.vms = {}
        self.folder = tempfile.mkdtemp(prefix="dahliastile-case-")
        self.store = Store()

    @staticmethod
    def choose_net():
        """Chooses loopback addresses on which nothing listens."""
        for _ in range(50):
            net = (random.randrange(20, 250), random.randrange(1, 250))
            try:
                with socket.socket() as probe:
                    probe.bind((f"127.{net[0]}.{net[1]}.101", 8142))
                return net
            except OSError:
                continue
        raise CannotRun("no address is free")

    def ip(self, host):
        return f"127.{self.net[0]}.{self.net[1]}.{host}"

    async def start_store(self):
        await self.store.start()

    async def start_vm(self, number, zone):
        """Starts an entry VM with the command of the deploy file."""
        if not os.path.exists(DAEMON):
            raise CannotRun(f"{DAEMON} is not built")
        await self.store.listen(number, self.ip(100 + number), 8142)
        path = os.path.join(self.folder, f"vm{number}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(number, zone))
        log = open(os.path.join(self.folder, f"vm{number}.log"), "ab")
        process = subprocess.Popen(
            ["target/release/dahliastiled", "--platform", VARIABLE],
            cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.folder, VARIABLE: path},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.vms[number] = process
        self.record.write(f"vm{number} started in {zone}")

    def settings(self, number, zone):
        ip = self.ip(number)
        zones = "\n".join(f'{name} = "{self.region}"' for name in self.zones)
        return f"""nodeName = "vm{number}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "{self.region}"
portRange = [7380,7395]
seeds = ["{self.ip(1)}:8144","{self.ip(2)}:8144","{self.ip(3)}:8144"]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
{zones}
[listen]
front = "{ip}:8149"
ready = "{ip}:8141"
control = "{ip}:8144"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 52
recoveryS = 12
passMs = 120
retryAfterS = 0
requireFencing = true
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingOverage = 1.1
version_ms = 5000
[platform]
address = "{self.ip(100 + number)}:8142"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""

    def signal(self, number, name):
        self.record.write(f"vm{number} gets {name}")
        self.vms[number].send_signal(getattr(signal, name))

    def check_alive(self):
        for number, process in self.vms.items():
            if process.poll() is not None:
                raise CannotRun(f"vm{number} ended with {process.returncode}")

    async def ready(self, number):
        try:
            reader, writer = await asyncio.open_connection(self.ip(number), 8141)
            writer.write(b"GET /dahliastile/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            answer = await asyncio.wait_for(read_answer(reader), 2)
            writer.close()
            return answer.status == 200
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        for number in self.vms:
            while not await self.ready(number):
                self.check_alive()
                if time.monotonic() > end:
                    raise CannotRun(f"vm{number} is not ready")
                await asyncio.sleep(0.05)

    async def until(self, what, condition, seconds=20):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(f"not in time: {what}")
            await asyncio.sleep(0.02)

    def stop(self):
        for process in self.vms.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            print(f"logs are in {self.folder}", file=sys.stderr)
            return
        for name in os.listdir(self.folder):
            os.remove(os.path.join(self.folder, name))
        os.rmdir(self.folder)


def route(name, kind, service, attempts=1, timeout=4000, resumable=False, priority=1):
    return {
        "name": name,
        "host": "host.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout,
        "targetLatencyMs": 1000,
        "priority": priority,
        "service": service,
        "maxAttempts": attempts,
        "resumable": resumable,
        "gapAimMs": 400,
    }


def config(version, routes, engine=None, service="barge-desk"):
    services = [{"name": service, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False}]
    if engine:
        services.append(
            {
                "name": "planner-llm",
                "healthPath": "/health",
                "maxConns": 360,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            }
        )
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Client:
    """A client that keeps a channel open to one VM, and opens a new one where that has ended."""

    def __init__(self, ip):
        self.ip = ip
        self.stream = None

    async def ask(self, method, path, headers, body=b"", timeout=6):
        """Returns the answer, or none where the channel ended without a whole one."""
        try:
            return await asyncio.wait_for(self.exchange(method, path, headers, body), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            self.close()
            return None

    async def exchange(self, method, path, headers, body):
        if self.stream is None:
            self.stream = await asyncio.wait_for(asyncio.open_connection(self.ip, 8149), 1)
        reader, writer = self.stream
        lines = [f"{method} {path} HTTP/1.1", "Host: host.example"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        answer = await read_answer(reader)
        if answer.get("connection", "").lower() == "close" or not answer.whole:
            self.close()
        return answer

    def close(self):
        if self.stream:
            self.stream[1].close()
            self.stream = None


def new_id():
    return f"{random.getrandbits(64):016x}"


def run_case(folder, play):
    """Runs `play(fleet, record, trouble)`, which returns whether the rule held, and exits as the cases do."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble={int(trouble)}")
    # Whoever ends this program has the processes that it started ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def main():
        fleet = Fleet(record)
        try:
            await fleet.start_store()
            return await asyncio.wait_for(play(fleet, record, trouble), 110)
        finally:
            fleet.stop()

    try:
        held = asyncio.run(main())
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record.write(f"the rule {'held' if held else 'was broken'}")
    print(f"the rule {'held' if held else 'was broken'}")
    sys.exit(0 if held else 1)

"""A VM is cut off from the store for a moment, and a replica leaves without a word: do requests reach it too late?"""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from standin import CannotRun, Client, answer_bytes, config, new_id, read_request, route, run_case

# The zones of the replicas, and of the nine VMs of the site.
ZONES = ["jkt-hall", "sby-hall", "smg-hall"]
VM_ZONES = [zone for zone in ZONES for _ in range(3)]
SLOTS = 6
WORK_S = 0.030
# Requests a second of both kinds, as on the sheet of the site.
UNSAFE_PER_S, SAFE_PER_S = 17.5, 9.2
PLAY_S = 95
# The bound of the rule, and what this program may be late with the time of an arrival.
DRAIN_S, MARGIN_S = 2.0, 0.02
# One replica is replaced in each such time, and one VM is cut off from the store for so long.
GAP_S, CUT_S = 4.0, 0.9
BEAT_S = 1.2
# Channels of clients to each VM that watches the store, and to each of the others.
CHANNELS, CHANNELS_CALM = 3, 9


class Replica:
    """A replica of a plain service."""

    def __init__(self, number, zone, fleet, record):
        self.id = f"i-{new_id()[:8]}"
        self.number, self.zone, self.fleet, self.record = number, zone, fleet, record
        self.left_at = None
        self.late = []
        self.running = {}
        self.writers = set()
        self.lost = []
        self.slots = asyncio.Semaphore(SLOTS)
        self.state = "ready"

    async def start(self):
        ip = self.fleet.ip(20 + self.number)
        self.address = f"{ip}:{8080 + self.number}"
        self.server = await asyncio.start_server(self.serve, ip, 8080 + self.number)
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        seq = 0
        while True:
            self.fleet.store.put_json(f"servers/{self.id}", self.entry(seq))
            seq += 1
            await asyncio.sleep(BEAT_S)

    def entry(self, seq):
        return {
            "service": "plano-app",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": seq,
        }

    async def leave(self, is_silent):
        """Leaves as the pages say: with a report before, or by the removal of its entry alone."""
        if is_silent:
            self.beats.cancel()
            self.fleet.store.remove(f"servers/{self.id}")
            self.left_at = self.record.now()
            self.record.write(f"store confirms that {self.id} is gone; it has reported nothing before")
        else:
            self.state = "draining"
            self.fleet.store.put_json(f"servers/{self.id}", self.entry(0))
            self.left_at = self.record.now()
            self.record.write(f"store confirms that {self.id} is draining")
        await asyncio.sleep(DRAIN_S + random.uniform(0.1, 0.5))
        self.beats.cancel()
        self.fleet.store.remove(f"servers/{self.id}")
        self.server.close()
        self.lost = list(self.running)
        for writer in list(self.writers):
            writer.close()
        self.record.write(f"{self.id} exits with {len(self.lost)} requests under way {self.lost}")

    async def serve(self, reader, writer):
        vm = int(writer.get_extra_info("peername")[0].rsplit(".", 1)[1])
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                writer.write(await self.answer(vm, request, request.get("request-id", "")))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, vm, request, request_id):
        echo = [("Request-Id", request_id)]
        if request.get("expect-instance", self.id) != self.id:
            return answer_bytes(421, echo + [("Not-Executed", "1")], b"")
        now = self.record.now()
        self.record.write(f"{self.id} gets {request.method} {request_id} from vm{vm}")
        if self.left_at is not None and now - self.left_at > DRAIN_S + MARGIN_S:
            self.late.append((vm, request_id, now - self.left_at))
        self.running[request_id] = vm
        try:
            async with self.slots:
                await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
        finally:
            self.running.pop(request_id, None)
        seal = ("Server-Seal", f"{self.id}.{request_id}")
        return answer_bytes(200, echo + [seal], b"x" * 800)


async def send(client, method, path, record, answers):
    request_id = new_id()
    headers = [("Request-Id", request_id), ("Deadline-Ms", "1500")]
    answer = await client.ask(method, path, headers, b"x" * 600 if method == "POST" else b"")
    answers[request_id] = answer.status if answer else 0
    record.write(f"client gets {answers[request_id]} for {method} {request_id}")


async def replace(fleet, record, replicas, everyone, tasks, watchers, trouble):
    """Replaces one replica after the other, the new one first. With the disruption, one VM is cut off meanwhile."""
    number = len(ZONES)
    while True:
        await asyncio.sleep(GAP_S - 1)
        old = replicas.pop(0)
        new = Replica(number % 60, old.zone, fleet, record)
        await new.start()
        replicas.append(new)
        everyone.append(new)
        await asyncio.sleep(1)
        if trouble:
            vm = watchers[number % len(watchers)]
            record.write(f"vm{vm} is cut off from the store for {CUT_S} s")
            tasks.append(asyncio.ensure_future(fleet.store.cut(vm, CUT_S)))
            await asyncio.sleep(0.05)
        tasks.append(asyncio.ensure_future(old.leave(is_silent=True)))
        number += 1


async def play(fleet, record, trouble):
    fleet.region, fleet.zones = "jawa", ZONES
    replicas = [Replica(n, zone, fleet, record) for n, zone in enumerate(ZONES)]
    everyone = list(replicas)
    for replica in replicas:
        await replica.start()
    routes = [route("query", "unsafe", "plano-app", 1, 1500), route("lookup", "safe", "plano-app", 2, 1500)]
    fleet.store.put_json("op/config", config(1, routes, service="plano-app"))
    for number, zone in enumerate(VM_ZONES, 1):
        await fleet.start_vm(number, zone)
    await fleet.wait_ready()
    await asyncio.sleep(4)
    before = dict(fleet.store.watches)
    await asyncio.sleep(2)
    watchers = [vm for vm in fleet.vms if fleet.store.watches.get(vm, 0) > before.get(vm, 0)]
    record.write(f"these VMs watch the store: {watchers}")
    if len(watchers) == len(fleet.vms):
        raise CannotRun("all VMs watch")
    calm = [vm for vm in fleet.vms if vm not in watchers]
    tasks = []
    loop = asyncio.ensure_future(replace(fleet, record, replicas, everyone, tasks, watchers, trouble))
    # The platform spreads clients by a hash, so that shares are uneven; here most of them are at VMs without disruption.
    clients = [Client(fleet.ip(vm)) for vm in fleet.vms for _ in range(CHANNELS_CALM if vm in calm else CHANNELS)]
    idle, answers, requests = list(clients), {}, []
    end = record.now() + PLAY_S
    while record.now() < end:
        await asyncio.sleep(random.expovariate(UNSAFE_PER_S + SAFE_PER_S))
        fleet.check_alive()
        if not idle:
            continue
        client = idle.pop(random.randrange(len(idle)))
        is_unsafe = random.random() < UNSAFE_PER_S / (UNSAFE_PER_S + SAFE_PER_S)
        method, path = ("POST", "/query/1") if is_unsafe else ("GET", "/lookup/1")
        task = asyncio.ensure_future(send(client, method, path, record, answers))
        task.add_done_callback(lambda _, client=client: idle.append(client))
        requests.append(task)
    await asyncio.gather(*requests)
    loop.cancel()
    for task in tasks:
        task.cancel()
    late = [(replica.id, *late) for replica in everyone for late in replica.late]
    counted = [entry for entry in late if entry[1] in calm]
    for server, vm, request_id, after in late:
        kind = "DRAIN" if vm in calm else "not counted, it was cut off itself"
        record.write(f"{kind}: {request_id} reached {server} from vm{vm} {after:.3f} s after the confirmation")
    lost = [name for replica in everyone for name in replica.lost]
    served = sum(1 for status in answers.values() if status == 200)
    record.write(f"{len(answers)} sent, {served} served; {len(lost)} under way at an exit")
    record.write(f"{len(late)} late, {len(counted)} of them from VMs without any disruption")
    return not counted


if __name__ == "__main__":
    run_case(FOLDER, play)

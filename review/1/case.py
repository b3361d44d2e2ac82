"""Late extra answers of a replica: does an unsafe request run twice?"""

import asyncio
import collections
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))
from standin import Client, answer_bytes, config, new_id, read_request, route, run_case

ZONES = ["maasvlakte", "botlek", "delft-zuid", "dordrecht"]
SLOTS, QUEUE = 6, 24
WORK_S = 0.060
# Requests a second of both kinds, as on the sheet of the site.
UNSAFE_PER_S, SAFE_PER_S = 13.3, 9.19
PLAY_S = 60
# The doses of the two disruptions, at most those of the site file: share x of the requests that the replica sheds,
# share of its answers after which it sends one more.
SHED, EXTRA = 0.2, 0.03


class Replica:
    """A replica of a plain service."""

    def __init__(self, name, zone, record, runs):
        self.id = f"i-{new_id()[:8]}"
        self.name, self.zone, self.record, self.runs = name, zone, record, runs
        self.active = self.answers = self.extras = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.is_faulty = False

    async def start(self, ip):
        self.address = f"{ip}:8080"
        self.server = await asyncio.start_server(self.serve, ip, 8080)

    def entry(self):
        return {
            "service": "barge-desk",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 0,
        }

    async def serve(self, reader, writer):
        # The answer that is sent once more at the point where the next one is expected.
        extra = None
        try:
            while True:
                request = await read_request(reader)
                request_id = request.get("request-id", "")
                if extra:
                    self.record.write(f"{self.name} sends the answer to {extra[0]} once more, with {request_id} under way")
                    writer.write(extra[1])
                    extra = None
                answer, is_rejection = await self.answer(request, request_id)
                writer.write(answer)
                self.answers += 1
                if is_rejection and self.is_faulty and self.extras + 1 <= EXTRA * self.answers:
                    self.extras += 1
                    extra = (request_id, answer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request, request_id):
        echo = [("Request-Id", request_id)]
        if request.get("expect-instance", self.id) != self.id:
            return answer_bytes(421, echo + [("Not-Executed", "1")], b""), True
        sheds = self.is_faulty and random.random() < SHED
        if sheds or self.active >= SLOTS + QUEUE:
            self.record.write(f"{self.name} rejects {request_id}: 503, Not-Executed")
            return answer_bytes(503, echo + [("Not-Executed", "1")], b""), True
        self.active += 1
        try:
            async with self.slots:
                self.runs[request_id].append(self.name)
                self.record.write(f"{self.name} runs {request.method} {request_id}")
                await asyncio.sleep(random.uniform(0.5, 1.5) * WORK_S)
        finally:
            self.active -= 1
        seal = ("Server-Seal", f"{self.id}.{request_id}")
        return answer_bytes(200, echo + [seal], b"x" * 800), False


async def send(client, method, path, record, answers):
    request_id = new_id()
    record.write(f"client sends {method} {path} {request_id}")
    headers = [("Request-Id", request_id), ("Deadline-Ms", "4000")]
    answer = await client.ask(method, path, headers, b"x" * 600 if method == "POST" else b"")
    status = answer.status if answer else 0
    answers[request_id] = (method, status)
    record.write(f"client gets {status} for {request_id}")


async def play(fleet, record, trouble):
    runs, answers = collections.defaultdict(list), {}
    replicas = [Replica(f"desk{n}", zone, record, runs) for n, zone in enumerate(ZONES)]
    for number, replica in enumerate(replicas):
        await replica.start(fleet.ip(20 + number))
        fleet.store.put_json(f"servers/{replica.id}", replica.entry())
    routes = [route("eta", "unsafe", "barge-desk", 1, 2000), route("slot", "safe", "barge-desk", 2, 2000)]
    fleet.store.put_json("op/config", config(1, routes))
    for number, zone in enumerate(ZONES[:3], 1):
        await fleet.start_vm(number, zone)
    await fleet.wait_ready()
    # Both disruptions are on one replica of four.
    replicas[0].is_faulty = trouble
    clients = [Client(fleet.ip(number)) for number in (1, 2, 3) for _ in range(10)]
    idle = list(clients)
    tasks = []
    end = record.now() + PLAY_S
    while record.now() < end:
        await asyncio.sleep(random.expovariate(UNSAFE_PER_S + SAFE_PER_S))
        fleet.check_alive()
        if not idle:
            continue
        client = idle.pop(random.randrange(len(idle)))
        is_unsafe = random.random() < UNSAFE_PER_S / (UNSAFE_PER_S + SAFE_PER_S)
        method, path = ("POST", "/eta/1") if is_unsafe else ("GET", "/slot/1")
        task = asyncio.ensure_future(send(client, method, path, record, answers))
        task.add_done_callback(lambda _, client=client: idle.append(client))
        tasks.append(task)
    await asyncio.gather(*tasks)
    await asyncio.sleep(1)
    unsafe = {name for name, (method, _) in answers.items() if method == "POST"}
    twice = {name: where for name, where in runs.items() if name in unsafe and len(where) > 1}
    refused = [n for n in unsafe if answers[n][1] in (408, 421, 429, 503) and runs.get(n)]
    for name, where in sorted(twice.items()):
        record.write(f"TWICE: {name} ran at {', '.join(where)}; its client got {answers[name][1]}")
    for name in refused:
        record.write(f"REFUSED: {name} got {answers[name][1]} and ran at {runs[name]}")
    served = sum(1 for _, status in answers.values() if status == 200)
    record.write(f"{len(answers)} sent, {served} served, {replicas[0].extras} extra answers of {replicas[0].answers}")
    record.write(f"{len(twice)} unsafe requests ran more than once, {len(refused)} ran although refused")
    if served < len(answers) * 0.5:
        record.write("fewer than half were served")
    return not twice


if __name__ == "__main__":
    run_case(FOLDER, play)

"""All machines of a small system are stopped and started in turn; a request comes while one exits."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from world import *

GAP_S = 1.0
ROLLS = 6
CLIENTS = 12
DEADLINE_MS = 800


class Client:
    """Asks for addresses and uses them as PROTOCOL.md says under Ingress."""

    def __init__(self, world, number):
        self.world, self.zone = world, world.instances[number % len(world.instances)].zone
        self.factor = 3 if number % 3 == 0 else 1
        self.addresses, self.until = [], 0.0

    async def resolve(self):
        nodes = sorted(self.world.instances, key=lambda instance: instance.zone != self.zone)
        for node in nodes[:3]:
            target = f"/api/resolve?name={HOST}&region=hajar&zone={self.zone}"
            try:
                answer = await call("127.0.0.1", node.ports["directory"], "GET", target, timeout_s=1)
            except OSError:
                continue
            if answer.status == 200 and answer.json().get("addrs"):
                self.addresses = answer.json()["addrs"]
                lifetime_s = min(answer.json()["ttl_s"], BOUNDS["ttl_max_s"])
                self.until = time.monotonic() + lifetime_s * self.factor
                return
        # No new answer: the old addresses are kept.

    async def request(self):
        if time.monotonic() >= self.until:
            await self.resolve()
        by_address = {f"127.0.0.1:{instance.ports['front']}": instance for instance in self.world.instances}
        for address in self.world.random.sample(self.addresses, len(self.addresses)):
            instance, identity = by_address[address], f"{self.world.next_number():016x}"
            sent = time.monotonic()
            try:
                answer = await instance.call("POST", "/pledge/1", [
                    ("X-Flamingoscale-Request-Id", identity),
                    ("X-Flamingoscale-Deadline-Ms", str(DEADLINE_MS))], b"x", DEADLINE_MS / 1000)
                status = answer.status
            except ConnectionRefusedError:
                continue
            except OSError:
                status = "none"
            self.world.note("answered", id=identity, instance=instance.name, status=status, sent=sent,
                            took=round(time.monotonic() - sent, 3))
            return


async def scenario(world):
    for _ in range(4):
        await Server(world, "portal", work_s=0.08).start()
    world.configure([route("/pledge/", "non_idempotent", "portal")], [plain_service("portal")])
    await world.start(2)
    await asyncio.sleep(3)
    stop, stopped = False, {}

    async def run(client):
        await asyncio.sleep(world.random.random())
        while not stop:
            await client.request()
            await asyncio.sleep(0.1 + 0.2 * world.random.random())

    async def stop_and_start(instance):
        stopped.setdefault(instance.name, []).append(time.monotonic())
        instance.signal(signal.SIGTERM)
        await instance.process.wait()
        world.note("exited", instance=instance.name, code=instance.process.returncode)
        await instance.start(first_start=False)

    clients = [asyncio.create_task(run(Client(world, number))) for number in range(CLIENTS)]
    await asyncio.sleep(2)
    for _ in range(ROLLS if world.trouble else 0):
        # roll_term: share 1, x 1, gap_s 1.
        restarts = []
        for instance in world.instances:
            restarts.append(asyncio.create_task(stop_and_start(instance)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*restarts)
        for instance in world.instances:
            await instance.ready()
        await asyncio.sleep(3)
    if not world.trouble:
        await asyncio.sleep(20)
    stop = True
    await asyncio.gather(*clients)
    ran = {note["id"] for note in world.found("ran")}
    lost = 0
    for note in world.found("answered", status="none"):
        terms = [at for at in stopped.get(note["instance"], []) if at <= note["at"]]
        after_s = note["sent"] - max(terms) if terms else 0
        # The deadline wasn't reached, and the request came later than 3 s after the SIGTERM.
        if note["id"] in ran and note["took"] < DEADLINE_MS / 1000 - 0.02 and 3 < after_s < 9:
            lost += 1
            world.say(f"{note['id']} was sent {after_s:.3f} s after the SIGTERM, ran at a server and got no "
                      f"answer; its connection ended after {note['took']} s")
    world.say(f"{lost} of {len(world.found('answered'))} requests were lost")
    return lost == 0


main(scenario)

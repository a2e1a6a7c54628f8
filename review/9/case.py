"""A server fails part of the requests that it has begun, with a status 503 that doesn't say "not run"."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from world import *

SERVERS = 7  # one of them is 0.143 of all
FAILING_SHARE = 0.4
FAILING_S = 6.0


class Grey(Server):
    grey = False

    async def run(self, request, writer):
        if not self.grey or self.world.random.random() >= FAILING_SHARE:
            await super().run(request, writer)
            return
        identity = request.header("X-Flamingoscale-Request-Id")
        self.world.note("ran", server=self.id, id=identity)
        await asyncio.sleep(self.work_s)
        self.world.note("failed", server=self.id, id=identity, status=503)
        writer.write(response(503, self.echo(request)))


async def scenario(world):
    servers = [await Grey(world, "portal").start() for _ in range(SERVERS)]
    world.configure([route("/pledge/", "non_idempotent", "portal")], [plain_service("portal")])
    await world.start(3)
    stop = False

    async def client(instance):
        while not stop:
            identity = f"{world.next_number():016x}"
            try:
                answer = await instance.call("POST", "/pledge/1", [
                    ("X-Flamingoscale-Request-Id", identity), ("X-Flamingoscale-Deadline-Ms", "1500")], b"x")
                world.note("answered", id=identity, status=answer.status, instance=instance.name)
            except OSError:
                world.note("answered", id=identity, status="none", instance=instance.name)
            await asyncio.sleep(0.02)

    clients = [asyncio.create_task(client(instance)) for instance in world.instances for _ in range(6)]
    await asyncio.sleep(4)
    servers[0].grey = world.trouble
    await asyncio.sleep(FAILING_S)
    servers[0].grey = False
    await asyncio.sleep(2)
    stop = True
    await asyncio.gather(*clients)
    ran = {note["id"] for note in world.found("ran")}
    broken = [note for note in world.found("answered")
              if note["status"] in (408, 421, 429, 503) and note["id"] in ran]
    world.say(f"{len(broken)} of {len(world.found('answered'))} requests that may not be repeated were "
              f"answered with a promise that they have not run, though they had")
    return not broken


main(scenario)

"""The operator removes the route of a batch job whose results have been read."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from world import *

MODEL = "daka510000"
BATCH = "7c41e09b52d6a3f8"
TRAINER_HOST = "train.example"
SETTLE_MS = 1000


async def read(world, instance):
    answer = await instance.call("GET", f"/api/lots/{BATCH}?after=0", host=TRAINER_HOST)
    results = answer.json()["results"] if answer.status == 200 else []
    world.note("read", instance=instance.name, status=answer.status, results=len(results))
    return answer.status, [(result["id"], result["state"], result["output"]) for result in results]


async def scenario(world):
    for _ in range(4):
        await Engine(world, "models", [MODEL]).start()
    for _ in range(2):
        await Server(world, "portal").start()
    services = [engine_service("models", [MODEL]), plain_service("portal")]
    lookups = route("/card/", "idempotent", "portal")
    drafts = route("/draft/", "rollout", "models", timeout_ms=10000, host=TRAINER_HOST)
    world.configure([lookups, drafts], services)
    await world.start(3)
    await asyncio.sleep(6)
    items = [(f"{number:016x}", f"g{number // 4}", "/draft/1", b"log of saiq") for number in range(16)]
    answer = await world.instances[0].call("POST", "/draft/1", [("X-Flamingoscale-Request-Id", BATCH)],
                                           submission(MODEL, items, desired=4), host=TRAINER_HOST)
    world.note("answered", batch=BATCH, status=answer.status)
    if answer.status != 202:
        raise NotRun("the batch job was not accepted")
    for _ in range(40):
        status, before = await read(world, world.instances[1])
        if len(before) == len(items):
            break
        await asyncio.sleep(0.5)
    else:
        raise NotRun("the batch job was not finished")
    # config_change: a version that removes the route, or (without the disruption) changes its time-out.
    routes = [lookups] if world.trouble else [lookups, {**drafts, "timeout_ms": 9000}]
    world.configure(routes, services)
    world.note("configuration", version=world.configuration_version,
               routes=" ".join(item["path_prefix"] for item in routes))
    await asyncio.sleep((BOUNDS["config_ms"] + SETTLE_MS) / 1000 + 1)
    broken = 0
    for _ in range(3):
        for instance in world.instances:
            status, now = await read(world, instance)
            broken += status in (404, 410) or (status == 200 and now != before)
        await asyncio.sleep(0.7)
    world.say(f"{broken} of 9 reads of results that had been read before got 404, or other results")
    return broken == 0


main(scenario)

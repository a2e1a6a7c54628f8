"""Stand-ins of the platform's store, of servers, engines and clients, and the processes under test.

They follow PROTOCOL.md and use Python's standard library alone. All addresses are loopback addresses. A
case script builds a `World`, runs its scenario and returns whether the rule held.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import traceback
from urllib.parse import parse_qs, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(os.path.dirname(HERE))
PROGRAM = "target/release/flamingoscale-entry"
HOST = "notes.example"
KEY = "key-of-the-lodges"
TENANT = "lodges"

# Bounds of the small deployments (SYSTEM.md, Wadi Piste).
BOUNDS = {
    "grace_s": 8, "report_window_s": 5, "ttl_max_s": 5, "status_s": 120, "config_ms": 2000,
    "lease_ms": 3000, "drain_ms": 2000, "contact_ms": 3000,
}


USED_PORTS = set()


def free_ports(count):
    """Returns free ports of 127.0.0.1 below those that the system hands out by itself."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(12000, 30000)
        with socket.socket() as item:
            try:
                item.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            ports.append(port)
    return ports


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}

    def header(self, name):
        return self.headers.get(name.lower())


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, to_end=False):
    """Reads a body with a length, in chunks or (a response) to the end of the connection."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if to_end else b""


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class HttpServer:
    """Serves `handle(request, writer)`, which writes one response or closes the connection."""

    def __init__(self, handle, host="127.0.0.1", port=0):
        self.handle, self.host, self.port = handle, host, port
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(Request(method, target, headers, body), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        """Ends the server as the end of its process does: nothing listens, connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Partition:
    def __init__(self):
        self.records = []  # (key, value, raw)
        self.times = []
        self.first = 0  # the oldest offset that can be read
        self.producers = {}
        self.grown = asyncio.Event()

    def add(self, raw):
        length = raw[0]
        self.records.append((raw[1:1 + length].decode(), raw[1 + length:], raw))
        self.times.append(time.monotonic())
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()


class Store:
    """The platform's store. `down` holds the names of the instances that it turns away with 503."""

    def __init__(self, world):
        self.world = world
        self.partitions = {}
        self.down = set()
        self.lost = {}  # instance -> share of the appends that are done and not answered
        self.doors = {}
        self.history_s = 20

    async def door(self, instance):
        """Returns the address at which one instance reaches the store."""
        async def handle(request, writer):
            await self.handle(instance, request, writer)
        self.doors[instance] = await HttpServer(handle).start()
        return self.doors[instance].address

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, part), Partition())

    def write(self, topic, key, value, part=0):
        """Writes as the operator or a server does. `None` removes the key. Returns when it was done."""
        raw = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        self.partition(topic, part).add(bytes([len(key)]) + key.encode() + raw)
        return time.monotonic()

    async def handle(self, instance, request, writer):
        await asyncio.sleep(0.002)
        if instance in self.down or "*" in self.down:
            writer.write(response(503))
            return
        name = request.path.rsplit("/", 1)[-1]
        partition = self.partition(request.query.get("topic"), int(request.query.get("part", 0)))
        answer = await getattr(self, name.replace("-", "_"))(partition, request)
        if name == "log-append" and self.world.random.random() < self.lost.get(instance, 0):
            writer.transport.abort()
            return
        writer.write(answer)

    async def log_append(self, partition, request):
        producer = request.query.get("producer")
        first = len(partition.records)
        if producer is not None:
            epoch, seq = int(request.query["epoch"]), int(request.query["seq"])
            known = partition.producers.get(producer)
            if known and epoch < known[0]:
                return self.json(409, {"why": "fenced"})
            if known and epoch == known[0]:
                recent = known[2]
                if seq in recent:
                    return self.json(200, recent[seq])
                if seq != known[1] + 1:
                    return self.json(409, {"why": "seq", "seq": known[1] + 1})
            else:
                known = None
        at = 0
        while at < len(request.body):
            (length,) = struct.unpack(">I", request.body[at:at + 4])
            partition.add(request.body[at + 4:at + 4 + length])
            at += 4 + length
        text = {"offset": first, "end_offset": len(partition.records)}
        if producer is not None:
            recent = dict(known[2]) if known else {}
            recent[seq] = text
            while len(recent) > 5:
                recent.pop(min(recent))
            partition.producers[producer] = (epoch, seq, recent)
        return self.json(200, text)

    async def log_read(self, partition, request):
        start = int(request.query.get("from", 0))
        oldest = time.monotonic() - self.history_s
        while partition.first < len(partition.records) and partition.times[partition.first] < oldest:
            partition.first += 1
        if start < partition.first:
            return self.json(410, {"first": partition.first})
        until = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        while len(partition.records) <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(partition.grown.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        limit = int(request.query.get("max_kb", 1024)) * 1024
        body = struct.pack(">QQ", len(partition.records), partition.first)
        for _, _, raw in partition.records[start:]:
            if len(body) > 16 and len(body) + len(raw) > limit:
                break
            body += struct.pack(">I", len(raw)) + raw
        return response(200, (), body)

    async def log_newest(self, partition, request):
        newest = {}
        for offset, (key, value, _) in enumerate(partition.records):
            newest[key] = (offset, value)
        after = request.query.get("after", "")
        keys = sorted(key for key, (_, value) in newest.items() if value and key > after)
        items = [{"key": key, "value": base64.b64encode(newest[key][1]).decode(),
                  "offset": newest[key][0]} for key in keys[:500]]
        return self.json(200, {"items": items, "has_more": len(keys) > 500,
                               "end_offset": len(partition.records)})

    @staticmethod
    def json(status, value):
        return response(status, [("Content-Type", "application/json")], json.dumps(value).encode())


class Server:
    """A plain server: it works for `work_s` and answers. It records what reaches it and what runs."""

    def __init__(self, world, service, zone="saiq", work_s=0.025, slots=16, name=None):
        self.world, self.service, self.zone = world, service, zone
        self.work_s, self.slots = work_s, slots
        self.id = name or f"i-{service}-{world.next_number()}"
        self.born = int(time.time() * 1000)
        self.running = 0
        self.http = HttpServer(self.handle)

    async def start(self):
        await self.http.start()
        self.list()
        return self

    def entry(self, state="ready"):
        return {"service": self.service, "addr": self.http.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold_left_ms": 0, "seq": 1, "born": self.born}

    def list(self, state="ready"):
        return self.world.store.write("keyed.servers", self.id, self.entry(state))

    def unlist(self):
        return self.world.store.write("keyed.servers", self.id, None)

    async def handle(self, request, writer):
        if request.header("X-Flamingoscale-Target-Instance") not in (None, self.id):
            writer.write(response(421, self.echo(request)))
            return
        if request.path in ("/api/report", "/api/order"):
            await self.control(request, writer)
            return
        self.world.note("arrived", server=self.id, id=request.header("X-Flamingoscale-Request-Id"),
                        path=request.target)
        await self.run(request, writer)

    async def control(self, request, writer):
        writer.write(response(404))

    async def run(self, request, writer):
        self.world.note("ran", server=self.id, id=request.header("X-Flamingoscale-Request-Id"))
        await asyncio.sleep(self.work_s)
        writer.write(response(200, self.echo(request) + [self.seal()], b"card"))

    def echo(self, request):
        return [("X-Flamingoscale-Request-Id", request.header("X-Flamingoscale-Request-Id") or "")]

    def seal(self):
        return ("X-Flamingoscale-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")


class Engine(Server):
    """A model server. It generates `events(id)` events for each request, one each `event_s`."""

    def __init__(self, world, service, models, event_s=0.02, **options):
        super().__init__(world, service, **options)
        self.versions = {model: 1 for model in models}
        self.event_s, self.seq = event_s, 0

    def entry(self, state="ready"):
        models = [{"name": name, "version": version, "adapters": []}
                  for name, version in self.versions.items()]
        return {**super().entry(state), "stage": "dual", "models": models}

    async def control(self, request, writer):
        if request.path == "/api/report":
            entry = self.entry()
            text = {"stage": "dual", "models": entry["models"], "busy": False, "seq": self.seq,
                    "num_waiting": 0, "num_running": self.running, "kv_used": 0, "kv_total": 100000,
                    "handles": 0, "born": self.born}
            writer.write(Store.json(200, text))
            return
        order = json.loads(request.body)
        self.world.note("order", server=self.id, **order)
        if order.get("expected_rev", self.seq) != self.seq:
            writer.write(response(409))
            return
        self.seq += 1
        self.versions[order["model"]] = order["version"]
        self.list()
        writer.write(response(202))

    def data(self, request, event):
        return f"{request.header('X-Flamingoscale-Request-Id')}.{request.body.decode()}.{event}"

    def events(self, request):
        return 6

    async def run(self, request, writer):
        identity = request.header("X-Flamingoscale-Request-Id")
        version = self.versions.get(request.header("X-Flamingoscale-Model"), 1)
        first = int(request.header("Last-Event-Id") or 0) + 1
        self.running += 1
        try:
            await asyncio.sleep(self.event_s)
            self.world.note("ran", server=self.id, id=identity, first=first,
                            tenant=request.header("X-Flamingoscale-Tenant"))
            headers = self.echo(request) + [self.seal(), ("Content-Type", "text/event-stream"),
                                            ("X-Flamingoscale-Weight-Versions", version),
                                            ("Transfer-Encoding", "chunked")]
            lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            for event in range(first, self.events(request) + 1):
                if writer.is_closing():
                    return
                await self.before_event(request, event, writer)
                text = f"id: {event}\ndata: {self.data(request, event)}\n\n".encode()
                writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
                await asyncio.sleep(self.event_s)
            writer.write(b"0\r\n\r\n")
            self.world.note("finished", server=self.id, id=identity)
        finally:
            self.running -= 1

    async def before_event(self, request, event, writer):
        pass


class Instance:
    """One process under test, started with the command of the deploy file."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.process = None
        names = ("front", "ready_addr", "directory", "metrics", "relay")
        self.ports = dict(zip(names, free_ports(len(names))))

    async def start(self, first_start=True):
        if self.name not in self.world.store.doors:
            await self.world.store.door(self.name)
        path = os.path.join(self.world.folder, f"{self.name}.ini")
        with open(path, "w") as file:
            file.write(self.settings())
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FLAMINGOSCALE_CONFIG"] = path
        environment["FIRST_START"] = "true" if first_start else "false"
        with open(os.path.join(self.world.folder, f"{self.name}.log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(REPOSITORY, PROGRAM), cwd=REPOSITORY, env=environment, stdout=log,
                stderr=log)
        self.world.note("started", instance=self.name)

    def settings(self):
        """Returns deploy/settings.ini as the platform fills it in for a small deployment."""
        at = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        values = {
            "node": self.name, "zone": self.zone, "limits.cpu_share": 0.5, "listen.front": at["front"],
            "listen.ready_addr": at["ready_addr"], "listen.directory": at["directory"],
            "platform.addr": self.world.store.doors[self.name].address, "platform.read_mb_s": 80.0,
            "platform.record_bytes": 262144, "platform.call_bytes": 2097152,
            "cloud.addr": self.world.cloud.address, "cloud.duties": "metering",
            "bounds.cold_overshoot": "", "bounds.cold_slack": "",
            "{ip}:9464": "", "{ip}:{port_range.0}": "",
        }
        values.update({f"bounds.{name}": value for name, value in BOUNDS.items()})
        with open(os.path.join(REPOSITORY, "deploy/settings.ini")) as file:
            text = file.read()
        text = text.replace("{{ip}}:9464", at["metrics"]).replace("{{ip}}:{{port_range.0}}", at["relay"])
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        return text

    def signal(self, number):
        self.world.note("signal", instance=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def ready(self):
        for _ in range(300):
            try:
                answer = await call("127.0.0.1", self.ports["ready_addr"], "GET", "/api/readyz")
                if answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise NotRun(f"{self.name} did not become ready")

    async def call(self, method, target, headers=(), body=b"", timeout_s=30, key=KEY, host=HOST):
        headers = [("Host", host)] + ([("Authorization", f"Bearer {key}")] if key else []) + list(headers)
        return await call("127.0.0.1", self.ports["front"], method, target, headers, body, timeout_s)


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def json(self):
        return json.loads(self.body)


async def call(host, port, method, target, headers=(), body=b"", timeout_s=30):
    """Makes one call on a new connection. Raises OSError if there is no whole answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 22)
        try:
            lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
            if all(name.lower() != "host" for name, _ in headers):
                lines.append(f"Host: {host}:{port}")
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            line, found = await read_head(reader)
            return Answer(int(line.split()[1]), found, await read_body(reader, found, True))
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        raise OSError(f"no whole answer: {error!r}") from error


class NotRun(Exception):
    """The case could not run."""


class World:
    def __init__(self, folder_of_case, seed=1):
        self.random = random.Random(seed)
        self.folder_of_case = folder_of_case
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.notes, self.number = [], 0
        self.record = open(os.path.join(folder_of_case, "record.txt"), "w")
        self.store = Store(self)
        self.instances = []
        self.configuration_version = 0

    def next_number(self):
        self.number += 1
        return self.number

    def note(self, kind, **fields):
        """Keeps and records what was sent, answered or run."""
        fields = {"at": time.monotonic(), "kind": kind, **fields}
        self.notes.append(fields)
        shown = " ".join(f"{name}={value}" for name, value in fields.items() if name not in ("at", "kind"))
        self.record.write(f"{fields['at'] - self.began:9.3f} {kind} {shown}\n")

    def say(self, text):
        self.record.write(f"{time.monotonic() - self.began:9.3f} {text}\n")
        print(text, flush=True)

    def found(self, kind, **wanted):
        return [note for note in self.notes if note["kind"] == kind
                and all(note.get(name) == value for name, value in wanted.items())]

    async def start(self, count, zones=("saiq", "shams", "nizwa", "hamra")):
        async def cloud(request, writer):
            self.note("cloud", path=request.path, holder=request.header("X-Flamingoscale-Lease-Holder"),
                      fence=request.header("X-Flamingoscale-Fencing-Token"))
            writer.write(response(200))
        self.cloud = await HttpServer(cloud).start()
        for number in range(count):
            zone = zones[number % len(zones)]
            self.instances.append(Instance(self, f"front-{zone}-{number // len(zones) + 1}", zone))
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await instance.ready()

    def configure(self, routes, services, tenants=None):
        self.configuration_version += 3
        tenants = tenants or [{"name": TENANT, "api_keys": [KEY]}]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}
        self.store.write("keyed.op", "config", {
            "version": self.configuration_version, "routes": routes, "services": services,
            "limits": limits, "tenants": tenants})

    async def stop(self):
        for instance in self.instances:
            process = instance.process
            if process and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, kind, service, **fields):
    return {"name": prefix.strip("/"), "host": HOST, "path_prefix": prefix, "kind": kind, "service": service,
            "timeout_ms": 2000, "slo_ms": 400, "max_attempts": 3, "priority": 1, "retention_s": 40.0,
            "result_slo_ms": 7500, "resumable": kind == "stream", **fields}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 100, "cold_s": 0, "cold_per_s": 0}


def engine_service(name, models, slots=12):
    return {**plain_service(name), "engine": {"models": [{"name": model} for model in models],
                                              "slots": slots, "kv_capacity": 117197}}


def submission(model, items, step=0, min_version=1, desired=1):
    """Returns the body of a batch job. Items are (id, group, path, body)."""
    return json.dumps({
        "step": step, "model": model, "min_version": min_version, "desired": desired,
        "items": [{"id": identity, "path": path, "group": group, "tokens": 60,
                   "headers": {"X-Flamingoscale-Model": model, "X-Flamingoscale-Token-Usage": "20,40",
                               "X-Flamingoscale-Prompt-Prefix": f"{abs(hash(group)) % 0xffffff:x}:10,{abs(hash(identity)) % 0xffffff:x}:10"},
                   "body": base64.b64encode(body).decode()} for identity, group, path, body in items],
    }).encode()


def main(scenario):
    """Runs a scenario, which returns whether the rule held, and ends with the exit code of the case."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))

    async def run():
        world = World(folder)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            held = await asyncio.wait_for(scenario(world), 115)
            world.say("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (NotRun, asyncio.TimeoutError, OSError) as error:
            world.say(f"the case could not run: {error!r}")
            traceback.print_exc()
            return 2
        finally:
            await world.stop()
    sys.exit(asyncio.run(run()))

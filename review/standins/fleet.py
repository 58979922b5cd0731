"""Stand-ins for the cases under review/: the platform's store, backend servers, callers.

All of them run in this process on loopback addresses. The entry hosts are the
project's own program, started as in deploy/system.toml with settings that are
filled in from platform/settings/entry-host.json.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DEPLOY = (ROOT / "deploy/system.toml").read_text()
RUN = re.search(r'^run = "([^"]+)"', DEPLOY, re.M).group(1).split()
TEMPLATE = (ROOT / "platform/settings/entry-host.json").read_text()
MAX_FDS = 4100
BOUNDS = {"stable_ms": 3000, "drain_ms": 2000, "grace_s": 8, "config_ms": 2000, "recover_s": 12,
          "budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 52, "loss_slack_ms": 200}
ZONES = {"antioquia-a": 3, "antioquia-b": 2, "antioquia-c": 1}
REGION = "antioquia"


class CannotRun(Exception):
    """The case could not be set up; it shows nothing."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(text, flush=True)

    def close(self):
        self.file.close()


class HttpMessage:
    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """First line and headers, or None at the end of the connection."""
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Bytes of a chunked body, piece by piece; ends after the last chunk."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield piece[:-2]


async def read_request(reader):
    first, headers = await read_head(reader)
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        body = b"".join([piece async for piece in read_chunks(reader)])
    return HttpMessage(first, headers, body)


def answer(status, body=b"", headers=()):
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request",
               503: "Service Unavailable"}
    text = f"HTTP/1.1 {status} {reasons.get(status, 'Answer')}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    text += f"Content-Length: {len(body)}\r\n\r\n"
    return text.encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self, address):
        self.ip, self.port = address
        self.server = None
        self.connections = set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.connected, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def connected(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                if not await self.serve(await read_request(reader), reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve(self, request, reader, writer):
        raise NotImplementedError

    def stop(self):
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's store: objects by kind and name, one revision counter, watches."""

    def __init__(self, address=("127.0.0.1", 0)):
        super().__init__(address)
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        # A body holds a byte that is no text as it is, instead of as an escape.
        self.raw = False

    def changes(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Creates or replaces; the returned time is that of the acknowledgement."""
        known = self.objects.get((kind, name))
        if known and known["spec"] == spec:
            return time.monotonic()
        self.revision += 1
        created = known["meta"]["created"] if known else self.revision
        self.objects[kind, name] = {
            "meta": {"name": name, "revision": self.revision, "created": created,
                     "finalizers": [], "deleting": False}, "spec": spec, "status": None}
        self.history.append((self.revision, kind, self.objects[kind, name], False))
        self.changes()
        return time.monotonic()

    def remove(self, kind, name):
        known = self.objects.pop((kind, name), None)
        if known:
            self.revision += 1
            gone = dict(known, meta=dict(known["meta"], revision=self.revision))
            self.history.append((self.revision, kind, gone, True))
            self.changes()
        return time.monotonic()

    async def serve(self, request, _reader, writer):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query))
        parts = path.strip("/").split("/")
        if parts[0] != "objects" or len(parts) not in (2, 3):
            await self.send(writer, 404, {})
            return True
        kind = parts[1]
        if method == "GET" and len(parts) == 3:
            found = self.objects.get((kind, parts[2]))
            await self.send(writer, 200 if found else 404, found or {})
        elif method == "GET" and "watch" in query:
            await self.watch(writer, kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        elif method == "GET":
            await self.list(writer, kind, query.get("after", ""))
        else:
            await self.write(writer, method, kind, parts, request, query)
        return True

    async def list(self, writer, kind, after):
        names = sorted(name for its_kind, name in self.objects if its_kind == kind and name > after)
        await self.send(writer, 200, {"entries": [self.objects[kind, name] for name in names],
                                      "has_more": False, "current_rev": self.revision})

    async def watch(self, writer, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"tombstone": gone, "object": object_} for revision, its_kind, object_, gone
                      in self.history if revision > since and its_kind == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        await self.send(writer, 200, {"events": events, "current_rev": self.revision})

    async def write(self, writer, method, kind, parts, request, query):
        body = json.loads(request.body) if request.body else {}
        name = parts[2] if len(parts) == 3 else body["meta"]["name"]
        known = self.objects.get((kind, name))
        revision = body.get("meta", {}).get("revision", query.get("revision"))
        if method != "POST" and not known:
            await self.send(writer, 404, {})
        elif (method == "POST" and known) or (
                known and revision is not None and int(revision) != known["meta"]["revision"]):
            await self.send(writer, 409, known)
        elif method == "DELETE":
            self.remove(kind, name)
            await self.send(writer, 200, {})
        else:
            self.put(kind, name, body["spec"])
            await self.send(writer, 200, self.objects[kind, name])

    async def send(self, writer, status, value):
        await asyncio.sleep(0.004)
        body = json.dumps(value).encode()
        if self.raw:
            body = body.replace(b"\\udcff", b"\xff")
        writer.write(answer(status, body, [("Content-Type", "application/json")]))
        await writer.drain()


class Link:
    """The path of one entry host to the store. While it is cut, no byte passes either way."""

    GIVE_UP_S = 3.0  # After it the kernel of a host ends a connection whose peer is silent.

    def __init__(self, target):
        self.target = target
        self.server = None
        self.open = asyncio.Event()
        self.open.set()
        self.writers = set()
        self.address = ""

    async def start(self):
        self.server = await asyncio.start_server(self.connected, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def connected(self, reader, writer):
        self.writers.add(writer)
        await self.open.wait()
        try:
            ip, port = self.target().rsplit(":", 1)
            to_reader, to_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers.add(to_writer)
        await asyncio.gather(self.pass_on(reader, to_writer), self.pass_on(to_reader, writer))
        for one in (writer, to_writer):
            self.writers.discard(one)
            one.close()

    async def pass_on(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        writer.transport.abort()

    async def cut(self, for_s):
        """Silence for for_s. Connections from before are gone if it lasts longer than GIVE_UP_S."""
        self.open.clear()
        before = list(self.writers)
        await asyncio.sleep(min(for_s, self.GIVE_UP_S))
        if for_s > self.GIVE_UP_S:
            for writer in before:
                writer.transport.abort()
            await asyncio.sleep(for_s - self.GIVE_UP_S)
        self.open.set()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Server(HttpServer):
    """A backend server of one pool that registers itself and runs what it is sent."""

    def __init__(self, fleet, pool, name, zone, work_s=0.03, slots=6, ip=None):
        super().__init__((ip or fleet.next_ip(), 0))
        self.fleet = fleet
        self.pool = pool
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.running = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []

    def spec(self):
        return {"service": self.pool, "address": self.address, "az": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": 1,
                "born": self.born}

    async def start(self):
        await super().start()
        self.register()

    def register(self):
        acknowledged = self.fleet.store.put("servers", self.name, self.spec())
        self.fleet.record.write(f"store has acknowledged {self.name} as {self.state}")
        return acknowledged

    def drain(self):
        self.state = "draining"
        return self.register()

    def leave(self):
        self.stop()
        self.fleet.record.write(f"server {self.name} has ended; its entry is removed")
        return self.fleet.store.remove("servers", self.name)

    def load(self):
        return f"{self.running},0,{self.slots}"

    def signed(self, request, more=()):
        return [("X-Request-Id", request.header("X-Request-Id")),
                ("X-Replica-Stamp", f"{self.name}.{random.getrandbits(32):08x}"),
                ("X-Replica-Load", self.load()), ("Keep-Alive", "timeout=5"), *more]

    async def serve(self, request, reader, writer):
        arrived = time.monotonic()
        if request.header("X-Expect-Replica") not in ("", self.name):
            writer.write(answer(421, headers=[("X-Replica-Id", self.name), ("X-Not-Executed", "1")]))
            return True
        if request.first.startswith("GET /report"):
            writer.write(answer(200, json.dumps({"queued": 0, "busy": False, "free_mb": 9.0,
                                                 "born": self.born}).encode()))
            return True
        if not request.header("X-Request-Id"):
            writer.write(answer(400, headers=[("X-Not-Executed", "1")]))
            return True
        if self.running >= self.slots + 4 * self.slots:
            writer.write(answer(503, headers=[("X-Not-Executed", "1"),
                                              ("X-Request-Id", request.header("X-Request-Id"))]))
            return True
        self.runs.append((arrived, request.header("X-Request-Id")))
        self.fleet.record.write(f"server {self.name} runs {request.header('X-Request-Id')}")
        self.running += 1
        try:
            return await self.work(request, reader, writer)
        finally:
            self.running -= 1

    async def work(self, request, _reader, writer):
        await asyncio.sleep(self.work_s)
        writer.write(answer(200, f"done {request.header('X-Request-Id')}".encode(),
                            self.signed(request)))
        await writer.drain()
        return True


class Reply:
    def __init__(self, status, body=b"", complete=True, ended=0.0, sent=0.0, headers=None):
        self.status = status
        self.body = body
        self.complete = complete
        self.sent = sent
        self.ended = ended
        self.headers = headers or {}


async def call(address, method, path, headers, body=b"", timeout=5.0):
    """One request on a connection of its own. Status 0: no answer."""
    ip, port = address.rsplit(":", 1)
    sent = time.monotonic()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        text = f"{method} {path} HTTP/1.1\r\n"
        for name, value in headers.items():
            text += f"{name}: {value}\r\n"
        if body or method != "GET":
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode("latin-1") + b"\r\n" + body)
        first, got = await read_head(reader)
        status = int(first.split(" ")[1])
        if got.get("transfer-encoding", "").lower() == "chunked":
            content = b"".join([piece async for piece in read_chunks(reader)])
        else:
            content = await reader.readexactly(int(got.get("content-length", 0)))
        return Reply(status, content, headers=got)

    try:
        reply = await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        reply = Reply(0, complete=False)
    finally:
        if writer:
            writer.close()
    reply.sent = sent
    reply.ended = time.monotonic()
    return reply


def fill(template, values):
    """The settings template with its values; it has no sections."""
    def value(match):
        found = values
        for step in match.group(1).split("."):
            found = found[step]
        return json.dumps(found)
    return re.sub(r"\{\{([a-z_.]+)\|json\}\}", value, template)


def limit_descriptors():
    """What the settings call max_fds, for a process that is about to start."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    most = MAX_FDS if hard == resource.RLIM_INFINITY else min(MAX_FDS, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


class Host:
    """One entry host: a process of the project's program."""

    def __init__(self, fleet, name, zone, ip):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.ip = ip
        self.front, self.ready, self.control = (f"{ip}:{port}" for port in (8625, 8621, 8628))
        self.process = None
        self.starts = 0
        self.link = Link(fleet.store_address)

    def values(self):
        return {"node_name": self.name, "az": self.zone, "region": REGION,
                "listen": {"front": self.front, "ready": self.ready, "control": self.control},
                "platform": {"address": self.link.address}, "seeds": self.fleet.seeds(),
                "limits": {"cpu_share": 0.25, "cores": 1}, "bounds": BOUNDS}

    def start(self):
        settings = self.fleet.folder / f"{self.name}.json"
        settings.write_text(fill(TEMPLATE, self.values()))
        command = [str(ROOT / RUN[0]), *RUN[1:-1], str(settings)]
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.fleet.folder),
                       "LANG": "C.UTF-8", "JASMINECROFT_NODE_FILE": str(settings)}
        self.starts += 1
        log = open(self.fleet.folder / f"{self.name}.{self.starts}.log", "wb")
        self.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
            stderr=subprocess.STDOUT,
            preexec_fn=limit_descriptors)
        log.close()
        self.fleet.record.write(f"{self.name} started")

    def send(self, number):
        self.fleet.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.running():
            self.send(signal.SIGKILL)
            self.process.wait()

    async def is_ready(self):
        return (await call(self.ready, "GET", "/readyz", {"Host": self.ready}, timeout=1)).status == 200


class Fleet:
    """A small deployment: six entry hosts in three zones, a store and backend servers."""

    def __init__(self, record, zones=None):
        self.record = record
        self.zones = zones or ZONES
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.base = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.last_ip = 0
        self.store = Store()
        self.hosts = []
        self.servers = []
        self.requests = 0
        self.replies = []

    def next_ip(self):
        self.last_ip += 1
        return f"{self.base}.{self.last_ip}"

    def store_address(self):
        return self.store.address

    def seeds(self):
        return [host.control for host in self.hosts[:3]]

    async def start(self, config, servers):
        if not (ROOT / RUN[0]).exists():
            raise CannotRun("the deploy file's build has not been run")
        await self.store.start()
        self.store.put("config", "main", config)
        for server in servers:
            self.servers.append(server)
            await server.start()
        for zone, count in self.zones.items():
            for number in range(count):
                ip = self.next_ip()
                check_free(ip)
                self.hosts.append(Host(self, f"edge-{zone}-{number + 1}", zone, ip))
        for host in self.hosts:
            await host.link.start()
            host.start()
        await self.wait_ready()

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f"{host.name} did not become ready")
                await asyncio.sleep(0.05)
        self.record.write("all entry hosts are ready")

    def check_served(self):
        """A case in which nothing was served shows nothing."""
        if not any(reply.status == 200 for reply in self.replies):
            raise CannotRun("no request was served")

    def request_id(self):
        self.requests += 1
        return f"{self.requests:06d}{random.getrandbits(40):010x}"

    async def send(self, host, method, path, hostname, deadline_ms, body=b"", more=None, key=None):
        """One client attempt, recorded with its answer."""
        number = self.request_id()
        headers = {"Host": hostname, "X-Request-Id": number, "X-Deadline-Ms": str(deadline_ms)}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        headers.update(more or {})
        self.record.write(f"client sends {number} {method} {path} to {host.name}")
        reply = await call(host.front, method, path, headers, body, deadline_ms / 1000 + 1)
        reply.id = number
        self.record.write(f"client has the answer to {number}: "
                          f"{reply.status if reply.status else 'none'}")
        self.replies.append(reply)
        return reply

    def stop(self):
        for host in self.hosts:
            if host.running():
                host.process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 12
        for host in self.hosts:
            try:
                if host.process:
                    host.process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                host.process.kill()
                host.process.wait()
        for host in self.hosts:
            host.link.stop()
        for server in self.servers:
            server.stop()
        self.store.stop()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def check_free(ip):
    for port in (8625, 8621, 8628, 9464):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError as error:
                raise CannotRun(f"{ip}:{port} is in use") from error


def plain_config(pools, routes, version=7):
    """The operator's configuration. Pools: names, or objects as the pages show them."""
    services = [pool if isinstance(pool, dict) else
                {"name": pool, "health_path": "/healthz", "max_conns": 48, "protocol": "h1",
                 "tls": False} for pool in pools]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def route(name, pool, type_, prefix, attempts=1, timeout_ms=800, goal_ms=150, **more):
    return {"name": name, "hostname": "desk.example", "path_prefix": prefix, "type": type_,
            "timeout_ms": timeout_ms, "goal_ms": goal_ms, "priority": 1, "service": pool,
            "attempts": attempts, "public": True, "sticky": False, "resumable": False, **more}


def main(folder, case, limit_s=106):
    """Runs a case and exits with 1 if its rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(folder)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), limit_s))
        code = 1 if broken else 0
        record.say("RESULT: the rule was broken" if broken else "RESULT: the rule held")
    except asyncio.TimeoutError:
        record.say("RESULT: the case could not run: out of time")
        code = 2
    except Exception as problem:  # An error of the script shows nothing about the rule.
        record.say(f"RESULT: the case could not run: {type(problem).__name__}: {problem}")
        code = 2
    record.close()
    raise SystemExit(code)

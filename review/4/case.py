"""A request inside the body of another one runs if the outer one names an unknown transfer coding."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import fleet as f

CODINGS = ["identity", "gzip", "xchunked", "chunked, identity"]
ROUNDS = 3
WAIT_S = 1.5


class Recording(f.Server):
    """Keeps the path and the body of what it runs."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.got = []

    async def work(self, request, reader, writer):
        path = request.first.split(" ")[1]
        self.got.append((request.header("X-Request-Id"), path, request.body))
        self.fleet.record.write(f"server {self.name} got {path} with {len(request.body)} bytes")
        return await super().work(request, reader, writer)


async def send_raw(host, text):
    """Everything that comes back on one connection until it ends or is silent."""
    ip, port = host.front.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(text)
    got = b""
    try:
        while data := await asyncio.wait_for(reader.read(65536), WAIT_S):
            got += data
    except (asyncio.TimeoutError, ConnectionError):
        pass
    writer.close()
    return got


async def case(record):
    fleet = f.Fleet(record)
    servers = [Recording(fleet, "orders", f"i-{number}", zone)
               for number, zone in enumerate(fleet.zones, 1)]
    config = f.plain_config(["orders"], [
        f.route("order", "orders", "non_idempotent", "/order/")])
    sent = {}
    try:
        await fleet.start(config, servers)
        for number in range(ROUNDS * len(CODINGS)):
            host = fleet.hosts[number % len(fleet.hosts)]
            inner = (f"POST /order/inner HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
                     f"inner-{number}\r\nContent-Length: 0\r\n\r\n").encode()
            identity = fleet.request_id()
            sent[identity] = inner
            head = (f"POST /order/outer HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {identity}\r\n"
                    "X-Deadline-Ms: 1500\r\n")
            if f.trouble():
                coding = CODINGS[number % len(CODINGS)]
                text = f"{head}Transfer-Encoding: {coding}\r\n\r\n".encode() + inner
            elif number % 2:
                coding = "none"
                text = f"{head}Content-Length: {len(inner)}\r\n\r\n".encode() + inner
            else:
                coding = "chunked"
                text = (f"{head}Transfer-Encoding: chunked\r\n\r\n{len(inner):x}\r\n".encode()
                        + inner + b"\r\n0\r\n\r\n")
            record.write(f"client sends {identity} to {host.name}, transfer coding {coding}, "
                         f"body of {len(inner)} bytes")
            got = await send_raw(host, text)
            record.write(f"client got {got.count(b'HTTP/1.1 ')} answers, first line "
                         f"{got.split(b'%s' % bytes([13, 10]))[0].decode('latin-1')!r}")
        runs = [run for server in servers for run in server.got]
        unasked = [run for run in runs if run[0] not in sent]
        changed = [run for run in runs if run[0] in sent and run[2] != sent[run[0]]]
        record.say(f"{len(sent)} requests sent, {len(runs)} ran; {len(unasked)} with an id that no "
                   f"client sent, {len(changed)} with another body than the client's")
        return bool(unasked or changed)
    finally:
        fleet.stop()


f.main(FOLDER, case)

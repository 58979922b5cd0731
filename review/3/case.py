"""A late second copy of a refusal answers the same request's second send: refused, though it runs."""
import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import fleet as f

ZONES = {"mx-centro-a": 4, "mx-centro-b": 2, "mx-centro-c": 2}
CUT_ZONE = "mx-centro-a"
# Of the sheet of sites/actas-bajio, a third of it for the zone; deadline of both.
FILINGS_PER_S = 12.6 / 3
LOOKUPS_PER_S = 5.02 / 3
DEADLINE_MS = 2500
# Largest doses of the site file: zone_cut "reset", srv_grey "shed" and garble
# "extra late".
CUT_FOR_S = 5.5
GREY_X, GREY_FOR_S = 0.382, 7.71
EXTRA_X, EXTRA_FOR_S = 0.03, 5.0
PAUSE_S = 0.4
LENGTH_S = 98


class Registry(f.Server):
    """Refuses a part of the requests, and repeats some answers late. Every answer has its id."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.refuses = 0.0
        self.repeats = 0.0
        self.copies = {}

    def may_repeat(self, writer, text):
        if random.random() < self.repeats:
            self.copies[writer] = text

    async def serve(self, request, reader, writer):
        number = request.header("X-Request-Id")
        copy = self.copies.pop(writer, None)
        if copy:
            kind = "refusal" if b"X-Not-Executed" in copy else "answer"
            self.fleet.record.write(f"server {self.name} sends a second copy of its last {kind} "
                                    f"where that to {number} is expected")
            writer.write(copy)
        if number and random.random() < self.refuses:
            self.fleet.record.write(f"server {self.name} refuses {number}")
            text = f.answer(503, headers=[("X-Not-Executed", "1"), ("X-Request-Id", number),
                                          ("Keep-Alive", "timeout=5")])
            writer.write(text)
            self.may_repeat(writer, text)
            return True
        return await super().serve(request, reader, writer)

    async def work(self, request, _reader, writer):
        await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))
        text = f.answer(200, f"done {request.header('X-Request-Id')}".encode(), self.signed(request))
        writer.write(text)
        self.may_repeat(writer, text)
        await writer.drain()
        return True


async def cut(record, others, end):
    """The hosts of the zone cannot connect to the servers of the others, again and again."""
    while time.monotonic() < end:
        record.write(f"{CUT_ZONE} is cut off from the other zones for {CUT_FOR_S} s")
        for server in others:
            server.stop()
        await asyncio.sleep(min(CUT_FOR_S, max(0.1, end - time.monotonic())))
        for server in others:
            await f.HttpServer.start(server)
        await asyncio.sleep(PAUSE_S)


async def spells(record, server, field, dose, for_s, end):
    """One trouble of the server, again and again."""
    while time.monotonic() < end:
        record.write(f"{server.name}: {field} {dose} for {for_s} s")
        setattr(server, field, dose)
        await asyncio.sleep(min(for_s, max(0.1, end - time.monotonic())))
        setattr(server, field, 0.0)
        await asyncio.sleep(PAUSE_S)


async def case(record):
    fleet = f.Fleet(record, ZONES)
    servers = [Registry(fleet, "registry", f"i-{number}", zone)
               for number, zone in enumerate(ZONES, 1)]
    config = f.plain_config(["registry"], [
        f.route("filing", "registry", "non_idempotent", "/filing/", 1, DEADLINE_MS),
        f.route("lookup", "registry", "idempotent", "/lookup/", 2, DEADLINE_MS)])
    filings = []
    tasks = []
    try:
        await fleet.start(config, servers)
        zone = [host for host in fleet.hosts if host.zone == CUT_ZONE]
        end = time.monotonic() + LENGTH_S
        troubles = None
        if f.trouble():
            troubles = asyncio.gather(
                spells(record, servers[0], "refuses", GREY_X, GREY_FOR_S, end),
                spells(record, servers[0], "repeats", EXTRA_X, EXTRA_FOR_S, end),
                cut(record, servers[1:], end))
        while time.monotonic() < end:
            await asyncio.sleep(random.expovariate(FILINGS_PER_S + LOOKUPS_PER_S))
            host = random.choice(zone)
            if random.random() < FILINGS_PER_S / (FILINGS_PER_S + LOOKUPS_PER_S):
                filings.append(asyncio.create_task(fleet.send(
                    host, "POST", "/filing/2f", "desk.example", DEADLINE_MS, b"acta")))
            else:
                tasks.append(asyncio.create_task(fleet.send(
                    host, "GET", "/lookup/2f", "desk.example", DEADLINE_MS)))
        replies = await asyncio.gather(*filings)
        await asyncio.gather(*tasks)
        if troubles:
            await troubles
        fleet.check_served()
        ran = {}
        for server in servers:
            for _, number in server.runs:
                ran.setdefault(number, []).append(server.name)
        refused = [reply.id for reply in replies if reply.status in (429, 503) and reply.id in ran]
        twice = [reply.id for reply in replies if len(ran.get(reply.id, [])) > 1]
        for number in refused:
            record.write(f"{number} was refused and ran at {' and '.join(ran[number])}")
        record.say(f"{len(replies)} filings sent, {sum(r.status == 200 for r in replies)} served; "
                   f"{len(refused)} were answered 503 and had run; "
                   f"not judged: {len(twice)} ran more than once")
        return bool(refused)
    finally:
        fleet.stop()


f.main(FOLDER, case)

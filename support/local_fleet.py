"""Starts a small fleet on loopback: stand-ins and entry hosts as processes.

Used by support/demo and the measurements. Ends only what it started.
"""
import fcntl
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("JASMINECROFT_BUILD", ROOT / "build"))
CTL = BUILD / "packages/ctl/jasminecroftctl"
DAEMON = BUILD / "packages/entry/jasminecroftd"
STORE = BUILD / "packages/testing/standins/object-store-standin"
BACKEND = BUILD / "packages/testing/standins/backend-standin"
LOAD = BUILD / "packages/testing/standins/load-tool"
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 60
FIRST_PORT = 12_000
PORTS_PER_BLOCK = 96
PORT_BLOCKS = 200
HELD_LOCKS = []


def locked_block():
    """First port of the block that this process holds until it ends; as in local_fleet.cc."""
    for block in range(PORT_BLOCKS):
        lock = open(pathlib.Path(tempfile.gettempdir(), f"jasminecroft-test-ports-{block}"), "a")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        HELD_LOCKS.append(lock)
        return FIRST_PORT + block * PORTS_PER_BLOCK
    raise RuntimeError("every block of test ports is in use")


def free_ports(count):
    """Free ports of a block that no other test process uses."""
    first = locked_block()
    ports = []
    for port in range(first, first + PORTS_PER_BLOCK):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError("no free port in this process's block")


def call(address, path, body=None, headers=None, method=None, timeout=30):
    """One HTTP call; gives (status, text). Status 0 means not reached."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(f"http://{address}{path}", data=data,
                                     headers=headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError as error:
        return 0, str(error)


def wait_for(what, condition, timeout=START_TIMEOUT_S):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise RuntimeError(f"timed out waiting for {what}")


class Fleet:
    """Stand-ins and entry hosts; `hosts` maps names to callers' addresses."""

    def __init__(self, entry_hosts=3, zones=3, pools=None, base_us=2000):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="jasminecroft-"))
        self.base_us = base_us
        self.processes = {}
        self.logs = {}
        self.zones = [f"z{number + 1}" for number in range(zones)]
        self.pools = pools or {"encoder": 8, "retriever": 8, "reranker": 8,
                               "generator": 4, "bookings": 2}
        self.hosts = {}
        self.peers = {}
        self.backends = {}
        self.entry_count = entry_hosts
        self.store = ""

    def spawn(self, name, command):
        self.logs[name] = self.folder / f"{name}.log"
        with open(self.logs[name], "ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(part) for part in command], stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)

    def start(self):
        ports = free_ports(1 + 2 * self.entry_count + len(self.pools) * len(self.zones))
        self.store = f"127.0.0.1:{ports.pop()}"
        self.spawn("store", [STORE, "--address", self.store])
        wait_for("the object store", lambda: call(self.store, "/test/calls")[0] == 200)
        self.start_backends(ports)
        self.put_hosts()
        for number in range(self.entry_count):
            name = f"e{number + 1}"
            self.hosts[name] = f"127.0.0.1:{ports.pop()}"
            self.peers[name] = f"127.0.0.1:{ports.pop()}"
        for name in self.hosts:
            self.start_host(name)

    def start_backends(self, ports):
        for pool, slots in self.pools.items():
            addresses = []
            for zone in self.zones:
                name = f"{pool}-{zone}"
                self.backends[name] = (pool, zone, f"127.0.0.1:{ports.pop()}")
                addresses += ["--address", self.backends[name][2]]
            self.spawn(f"pool-{pool}", [BACKEND, "--slots", slots, "--base-us", self.base_us,
                                         *addresses])
        for pool, zone, address in self.backends.values():
            wait_for(f"a backend server of {pool}",
                     lambda at=address: call(at, "/v1/load")[0] == 200)

    def put_hosts(self, leaving=()):
        hosts = [{"kind": "backend_server", "name": name, "zone": zone, "region": "andes",
                  "address": address, "pool": pool, "run": 1,
                  "state": "leaving" if name in leaving else "live"}
                 for name, (pool, zone, address) in self.backends.items()]
        body = json.dumps({"kind": "hosts", "format": 1, "hosts": hosts})
        call(self.store, "/v1/objects/hosts", body, method="PUT")

    def settings_of(self, name):
        zone_of = {host: self.zones[number % len(self.zones)]
                   for number, host in enumerate(self.hosts)}
        return {"fleet": "escaleras", "host": name, "zone": zone_of[name], "region": "andes",
                "callers": self.hosts[name], "peers": self.peers[name], "platform": self.store,
                "seeds": [{"host": other, "zone": zone_of[other], "address": self.peers[other]}
                          for other in self.hosts if other != name],
                "balancer_lag_ms": 500}

    def start_host(self, name):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(self.settings_of(name)))
        self.spawn(name, [DAEMON, "--settings", path])

    def wait_ready(self, names=None):
        for name in names or self.hosts:
            wait_for(f"entry host {name} to be ready",
                     lambda at=self.hosts[name]: call(at, "/readyz")[0] == 200)

    def ctl(self, *arguments, check=True):
        command = [CTL, "--platform", self.store, *arguments]
        for address in self.hosts.values():
            command += ["--host", address]
        run = subprocess.run([str(part) for part in command], capture_output=True, text=True,
                             timeout=60, check=False)
        if check and run.returncode != 0:
            raise RuntimeError(f"jasminecroftctl {arguments}: {run.stderr}")
        return run.stdout + run.stderr

    def request(self, host, workspace, pipeline, body, **headers):
        path = f"/v1/workspaces/{workspace}/pipelines/{pipeline}"
        named = {name.replace("_", "-"): str(value) for name, value in headers.items()}
        return call(self.hosts[host], path, json.dumps(body), named)

    def terminate(self, name, timeout=STOP_TIMEOUT_S):
        """SIGTERM; gives the exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=timeout)

    def runs(self, pool):
        """The record of runs of all backend servers of a pool."""
        found = []
        for its_pool, _, address in self.backends.values():
            if its_pool == pool:
                found += json.loads(call(address, "/test/runs")[1])["runs"]
        return found

    def stop(self):
        """Stops all that still runs; gives the exit codes by name."""
        codes = {}
        for name in list(self.processes):
            process = self.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for name, process in self.processes.items():
            try:
                codes[name] = process.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = process.wait()
        self.processes = {}
        return codes

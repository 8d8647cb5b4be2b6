"""Stand-ins for the platform of PROTOCOL.md, and helpers for the scripts of the cases.

The store keeps topics in memory. Engines of a plain service run as processes of their own (engine.py), so that a
script can kill one; this module starts them and writes their registry entries and heartbeats. Everything listens on
127.0.0.1.
"""

import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
NODE = os.path.join(ROOT, "target", "release", "sesamecart-node")

# Bounds and limits of a small deployment (sites/barka-pound.toml).
HEARTBEAT_S = 1.2
DRAIN_MS = 2000
GRACE_S = 8
RETRY_RATIO = 0.2
RETRY_BURST = 132

LONGEST_RUN_S = 100


class CannotRun(Exception):
    """The case couldn't be set up, which says nothing about the rule."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Store:
    """The platform's store: topics with records, and one consumer group."""

    def __init__(self):
        self.lock = threading.Condition()
        self.topics = {}
        self.members = {}
        self.holder = None
        self.generation = 0
        store = self

        class Handler(StoreHandler):
            shared = store

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        # Nodes that are killed leave connections that break off.
        self.server.handle_error = lambda *_: None
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def append(self, topic, key, value):
        with self.lock:
            records = self.topics.setdefault(topic, [])
            records.append((key, value))
            self.lock.notify_all()
            return len(records) - 1

    def publish(self, key, value):
        """Writes a record of the operator."""
        return self.append("keyed.op", key, json.dumps(value).encode())

    def newest(self, topic):
        with self.lock:
            records = self.topics.get(topic, [])
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in newest.items()
                if value
            ]
            return {"items": items, "hasMore": False, "endOffset": len(records)}

    def read(self, topic, start, wait_s):
        deadline = time.monotonic() + wait_s
        with self.lock:
            while True:
                records = self.topics.get(topic, [])
                remaining = deadline - time.monotonic()
                if len(records) > start or remaining <= 0:
                    break
                self.lock.wait(remaining)
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                record = value
                if key is not None:
                    record = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(record)) + record
            return body

    def join(self, member, ttl_s):
        with self.lock:
            now = time.monotonic()
            before = set(self.members)
            self.members = {name: end for name, end in self.members.items() if end > now}
            self.members[member] = now + ttl_s
            if set(self.members) != before:
                self.generation += 1
            if self.holder not in self.members:
                self.holder = member
            parts = [["control", 0, 0]] if self.holder == member else []
            return {"generation": self.generation, "parts": parts}

    def leave(self, member):
        with self.lock:
            if self.members.pop(member, None) is not None:
                self.generation += 1
            if self.holder == member:
                self.holder = None
            return {}


class StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    shared = None

    def log_message(self, *_args):
        pass

    def answer(self, body, status=200):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            # The caller has closed the connection.
            self.close_connection = True

    def query(self):
        url = urlsplit(self.path)
        return url.path, {name: values[0] for name, values in parse_qs(url.query).items()}

    def do_GET(self):
        path, query = self.query()
        if path == "/log-newest":
            self.answer(self.shared.newest(query["topic"]))
        elif path == "/log-read":
            wait_s = float(query.get("waitMs", 0)) / 1000
            self.answer(self.shared.read(query["topic"], int(query["from"]), wait_s))
        else:
            self.answer({}, 404)

    def do_POST(self):
        path, query = self.query()
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if path == "/log-append":
            key, value = None, body[4:]
            if query["topic"].startswith("keyed."):
                key, value = value[1 : 1 + value[0]].decode(), value[1 + value[0] :]
            offset = self.shared.append(query["topic"], key, value)
            self.answer({"offset": offset, "endOffset": offset + 1})
        elif path == "/log-join":
            call = json.loads(body)
            self.answer(self.shared.join(call["member"], call["ttlMs"] / 1000))
        elif path == "/log-leave":
            self.answer(self.shared.leave(json.loads(body)["member"]))
        else:
            self.answer({}, 404)


class Engine:
    """An engine of a plain service: a process, and its entry in the store with heartbeats while it runs."""

    def __init__(self, case, engine_id, zone, service):
        self.case = case
        self.id = engine_id
        self.zone = zone
        self.service = service
        self.port = free_port()
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.stopped = threading.Event()
        command = [sys.executable, "-B", os.path.join(HERE, "engine.py"), engine_id, str(self.port), str(self.born)]
        self.log = os.path.join(case.folder, engine_id + ".log")
        self.process = subprocess.Popen(command, stdout=open(self.log, "w"), stderr=subprocess.STDOUT)
        case.processes.append(self.process)
        wait_until(lambda: connects(self.port), "engine %s listens" % engine_id)
        threading.Thread(target=self.beat, daemon=True).start()

    def entry(self):
        return {
            "service": self.service,
            "address": "127.0.0.1:%d" % self.port,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def register(self):
        self.sequence += 1
        self.case.store.append("keyed.servers", self.id, json.dumps(self.entry()).encode())

    def beat(self):
        while not self.stopped.is_set():
            self.register()
            self.stopped.wait(HEARTBEAT_S)

    def drain(self):
        """Reports that the engine is leaving. Returns when the store has accepted that; the process exits later."""
        self.state = "draining"
        self.register()
        self.process.terminate()

    def kill(self):
        self.stopped.set()
        self.process.kill()
        self.process.wait()

    def events(self):
        """Returns what the engine has recorded: lists of a time, a request's id and what became of it."""
        with open(self.log) as lines:
            return [json.loads(line) for line in lines if line.startswith("[")]


class Node:
    """A node, started as the deploy file says."""

    def __init__(self, case, name, zone):
        self.case = case
        self.name = name
        ports = [free_port() for _ in range(4)]
        self.callers, self.readiness, metrics, links = ports
        address = "127.0.0.1:%d"
        self.settings = {
            "node": name,
            "failure_domain": zone,
            "region": "region",
            "callers": address % self.callers,
            "readiness": address % self.readiness,
            "metrics": address % metrics,
            "links": address % links,
            "processor_share": 0.25,
            "memory_mb": 260,
            "max_files": 4200,
            "store": case.store.address,
            "first_start": True,
            "bounds": {
                "key_revocation_ms": 5000,
                "configuration_ms": 2000,
                "group_stall_ms": 5000,
                "leave_s": GRACE_S,
                "retry_ratio": RETRY_RATIO,
                "retry_burst": RETRY_BURST,
                "heartbeat_ms": int(HEARTBEAT_S * 1000),
                "lease_least_ms": 1000,
                "contact_ms": 3000,
                "drain_ms": DRAIN_MS,
            },
        }
        self.start()

    def start(self):
        if not os.path.exists(NODE):
            raise CannotRun("build target/release/sesamecart-node first")
        path = os.path.join(self.case.folder, self.name + ".json")
        with open(path, "w") as settings:
            json.dump(self.settings, settings)
        log = open(os.path.join(self.case.folder, self.name + ".log"), "a")
        environment = {**os.environ, "SESAMECART_CONFIG": path}
        command = [NODE, "--platform", "--log-format", "json"]
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.case.processes.append(self.process)

    def is_ready(self):
        try:
            head, _body, _ended = exchange(self.readiness, "GET /readiness HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", 1)
        except OSError:
            return False
        return head.startswith("HTTP/1.1 200")


def connects(port):
    try:
        socket.create_connection(("127.0.0.1", port), 0.5).close()
        return True
    except OSError:
        return False


def wait_until(holds, what, limit_s=20):
    deadline = time.monotonic() + limit_s
    while not holds():
        if time.monotonic() > deadline:
            raise CannotRun("not in time: " + what)
        time.sleep(0.05)


def exchange(port, request, timeout_s):
    """Sends a request on a new connection. Returns the head, the body and whether the answer is complete."""
    with socket.create_connection(("127.0.0.1", port), 1) as connection:
        connection.settimeout(timeout_s)
        connection.sendall(request.encode())
        received = b""
        while b"\r\n\r\n" not in received:
            data = connection.recv(65536)
            if not data:
                return received.decode("latin-1"), b"", False
            received += data
        head, rest = received.split(b"\r\n\r\n", 1)
        head = head.decode("latin-1")
        names = {}
        for line in head.split("\r\n")[1:]:
            name, value = line.split(":", 1)
            names[name.strip().lower()] = value.strip()
        more = lambda: connection.recv(65536)
        try:
            if "content-length" in names:
                length = int(names["content-length"])
                while len(rest) < length:
                    data = more()
                    if not data:
                        return head, rest, False
                    rest += data
                return head, rest[:length], True
            if names.get("transfer-encoding", "").lower() == "chunked":
                return (head, *read_chunks(rest, more))
            while data := more():
                rest += data
            return head, rest, True
        except OSError:
            return head, rest, False


def read_chunks(buffered, more):
    body = b""
    while True:
        while b"\r\n" not in buffered:
            data = more()
            if not data:
                return body, False
            buffered += data
        size, buffered = buffered.split(b"\r\n", 1)
        length = int(size.split(b";")[0], 16)
        while len(buffered) < length + 2:
            data = more()
            if not data:
                return body + buffered[:length], False
            buffered += data
        if length == 0:
            return body, True
        body, buffered = body + buffered[:length], buffered[length + 2 :]


def header(head, name):
    for line in head.split("\r\n")[1:]:
        key, value = line.split(":", 1)
        if key.strip().lower() == name.lower():
            return value.strip()
    return None


def configuration(routes, services):
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Case:
    """One run: a temporary folder, the store, the record, and all processes, which end with it."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.processes = []
        self.began = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.record_lock = threading.Lock()
        self.store = Store()

    def now(self):
        return time.monotonic() - self.began

    def say(self, text):
        with self.record_lock:
            print("%8.3f  %s" % (self.now(), text), file=self.record, flush=True)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def stop(number, _frame):
    raise CannotRun("ended by %s" % signal.Signals(number).name)


def run(folder, play):
    """Plays a case and exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.

    All processes are ended in each of these, and if the script is told to end or takes too long.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(LONGEST_RUN_S)
    case = None
    code = 2
    try:
        case = Case(folder)
        code = 1 if play(case) else 0
    except Exception as error:
        if case is not None:
            case.say("the case couldn't run: %r" % error)
        print("the case couldn't run: %r" % error, file=sys.stderr)
    finally:
        if case is not None:
            case.end()
    sys.exit(code)

"""A model engine, as a process: model_engine.py ID PORT BORN PEERS.

PEERS is a JSON file with the port of each engine, by which the head of a group notices that a member is gone. Orders,
reports and groups are those of PROTOCOL.md. Each answer is a stream that has no length and ends with its connection. The
script reads the engine's registry entry at `GET /entry`. Each line on standard output is a list: the time in
seconds, the request's id or the order, and what became of it.
"""

import json
import socket
import sys
import threading
import time

from engine import answer, note, read_request, seal

EVENTS = 24
EVENT_INTERVAL_S = 0.2
LOAD_S = 1.0
REJOIN_S = 0.2
FORM_S = 0.3
STALL_S = 5.0
MEMBER_CHECK_S = 0.1
KV_TOTAL = 1590000


def event(request_id, number):
    return ("id: %d\ndata: %s part %d of %d\n\n" % (number, request_id, number, EVENTS)).encode()


def whole_body(request_id):
    return b"".join(event(request_id, number) for number in range(1, EVENTS + 1))


class Engine:
    def __init__(self, engine_id, born, peers):
        self.id = engine_id
        self.born = born
        self.peers = peers
        self.lock = threading.RLock()
        self.sequence = 0
        self.fence = 0
        self.epoch = 0
        self.model = None
        self.group = None
        self.members = []
        self.running = 0
        # Since when a member has been gone, as the head has noticed.
        self.stalled_at = None

    def role(self):
        if self.group is None:
            return None
        return {key: self.group[key] for key in ("name", "epoch", "rank", "state")}

    def described(self):
        models = [{"name": self.model, "version": 1, "adapters": []}] if self.model else []
        staged = [self.model] if self.model else []
        return {"models": models, "staged": staged, "group": self.role(), "domain": "domain-0", "born": self.born}

    def report(self):
        with self.lock:
            report = {"stage": "both", "busy": False, "sequence": self.sequence, "queued": 0, "running": self.running}
            return {**report, "kvUsed": 0, "kvTotal": KV_TOTAL, "handles": 0, **self.described()}

    def order(self, order):
        """Carries an order out, or rejects it. Returns the status."""
        with self.lock:
            if order.get("fencingToken", self.fence) < self.fence:
                return 412
            self.fence = max(self.fence, order.get("fencingToken", 0))
            if order.get("expected", self.sequence) != self.sequence:
                return 409
            carry_out = getattr(self, "order_" + order["operation"], None)
            status = carry_out(order) if carry_out else 400
            self.sequence += status == 202
            return status

    def is_in(self, order):
        return self.group is not None and self.group["name"] == order["group"] and self.group["epoch"] == order["epoch"]

    def order_join(self, order):
        if order["epoch"] < self.epoch or self.is_in(order) and self.members != order["members"]:
            return 412
        if self.is_in(order):
            return 200
        self.epoch = order["epoch"]
        self.members = order["members"]
        rank = self.members.index(self.id)
        self.group = {"name": order["group"], "epoch": order["epoch"], "rank": rank, "state": "joining"}
        self.stalled_at = None
        delay = REJOIN_S if self.model == order["model"] else LOAD_S
        self.later(delay, self.group, "joining", "ready", order["model"])
        return 202

    def order_open(self, order):
        if not self.is_in(order) or self.group["rank"] != 0 or self.group["state"] not in ("ready", "open"):
            return 409
        if self.group["state"] == "open":
            return 200
        self.later(FORM_S, self.group, "ready", "open", self.model)
        return 202

    def order_close(self, order):
        if not self.is_in(order) or self.group["state"] != "open":
            return 409
        self.group["state"] = "closing" if self.running else "ready"
        return 202

    def order_leave(self, order):
        if not self.is_in(order):
            return 200
        self.group = None
        return 202

    def order_stage(self, order):
        if self.model == order["model"]:
            return 200
        threading.Timer(LOAD_S, self.staged, (order["model"],)).start()
        return 202

    def staged(self, model):
        with self.lock:
            self.model = model

    def later(self, delay, group, before, after, model):
        def change():
            with self.lock:
                if self.group is group and group["state"] == before:
                    group["state"] = after
                    self.model = model

        threading.Timer(delay, change).start()

    def watch_members(self):
        while True:
            time.sleep(MEMBER_CHECK_S)
            with self.lock:
                is_head = self.group is not None and self.group["rank"] == 0
                members = self.members[1:] if is_head else []
            is_whole = all(self.has_member(member) for member in members)
            with self.lock:
                if not is_whole and self.stalled_at is None:
                    self.stalled_at = time.monotonic()
                if self.stalled_at and time.monotonic() - self.stalled_at > STALL_S and self.group:
                    self.group["state"] = "broken"

    def has_member(self, member):
        try:
            socket.create_connection(("127.0.0.1", self.peers[member]), 0.5).close()
            return True
        except OSError:
            return False

    def run(self, connection, request_id):
        """Runs a request, as long as the group is there; stands still once a member is gone."""
        with self.lock:
            group = self.group
            if group is None or group["rank"] != 0 or group["state"] != "open":
                gone = {"Request-Id": request_id, "Not-Executed": "1", "At-Server": self.id}
                is_broken = group is not None and group["state"] == "broken"
                status = "503 Service Unavailable" if is_broken else "421 Misdirected Request"
                return answer(connection, status, gone, b"")
            self.running += 1
        note(request_id, "runs")
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\n"
        head += "Weight-Versions: 1\r\nConnection: close\r\n\r\n"
        try:
            for number in range(1, EVENTS + 1):
                if not self.take_step(group):
                    # The work is cut off: the connection is closed between two events.
                    return note(request_id, "cut off after %d of %d events" % (number - 1, EVENTS))
                if number == 1:
                    connection.sendall((head % (request_id, seal(whole_body(request_id)))).encode())
                connection.sendall(event(request_id, number))
            note(request_id, "answered whole")
        finally:
            with self.lock:
                self.running -= 1

    def take_step(self, group):
        """Waits until the next event is made. Returns whether there is one, or the group has ended."""
        time.sleep(EVENT_INTERVAL_S)
        while True:
            with self.lock:
                if self.group is not group or group["state"] == "broken":
                    return False
                if self.stalled_at is None:
                    return True
            time.sleep(0.02)


def serve(engine, connection):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    buffered = b""
    with connection:
        while request := read_request(connection, buffered):
            line, headers, buffered, body = request
            path = line.split(" ")[1]
            request_id = headers.get("request-id", "")
            if path == "/health":
                answer(connection, "200 OK", {"Instance-Id": engine.id}, b"")
            elif path == "/report":
                answer(connection, "200 OK", {}, json.dumps(engine.report()).encode())
            elif path == "/entry":
                with engine.lock:
                    entry = json.dumps(engine.described())
                answer(connection, "200 OK", {}, entry.encode())
            elif headers.get("expect-instance", engine.id) != engine.id:
                answer(connection, "421 Misdirected Request", {"Request-Id": request_id, "Not-Executed": "1"}, b"")
            elif path == "/order":
                order = json.loads(body)
                status = engine.order(order)
                note(order["operation"], "%s %s: %d" % (order.get("group"), order.get("epoch"), status))
                answer(connection, "%d Order" % status, {}, b"")
            else:
                engine.run(connection, request_id)
                return


def serve_until_closed(engine, connection):
    try:
        serve(engine, connection)
    except OSError:
        pass


def main():
    engine_id, port, born, peers = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4]
    with open(peers) as file:
        engine = Engine(engine_id, born, json.load(file))
    listener = socket.create_server(("127.0.0.1", port), backlog=256)
    threading.Thread(target=engine.watch_members, daemon=True).start()
    while True:
        connection, _peer = listener.accept()
        threading.Thread(target=serve_until_closed, args=(engine, connection), daemon=True).start()


if __name__ == "__main__":
    main()

"""An engine of a plain service, as a process: engine.py ID PORT BORN MODE.

MODE is one of these:
- `unframed`: each answer is written in parts over two seconds, has no length and ends with its connection.
- `full`: each request is rejected with 503 and Not-Executed.
- `plain`: each request is read to its end and answered 0.2 s later.

Each line on standard output is a list: the time in seconds, the request's id, and what became of it.
"""

import hashlib
import json
import socket
import sys
import threading
import time

PARTS = 20
PART_INTERVAL_S = 0.1
WORK_S = 0.2

LOCK = threading.Lock()


def part(request_id, number):
    """Returns one part of an answer's body, which is an event of a stream as well."""
    return ("id: %d\ndata: %s part %d of %d\n\n" % (number, request_id, number, PARTS)).encode()


def whole_body(request_id):
    return b"".join(part(request_id, number) for number in range(1, PARTS + 1))


def seal(body):
    """Returns the seal of a body: its length and a part of its hash."""
    return "%x.%s" % (len(body), hashlib.sha256(body).hexdigest()[:8])


def note(request_id, what):
    with LOCK:
        print(json.dumps([round(time.time(), 3), request_id, what]), flush=True)


def read_request(connection, buffered):
    """Returns the first line, the headers, what was read beyond the request, and its body, or nothing at the end."""
    while b"\r\n\r\n" not in buffered:
        data = connection.recv(65536)
        if not data:
            return None
        buffered += data
    head, rest = buffered.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = bytearray(rest)
    while len(body) < length:
        data = connection.recv(65536)
        if not data:
            return None
        body += data
    return lines[0], headers, bytes(body[length:]), bytes(body[:length])


def answer(connection, status, headers, body):
    lines = ["HTTP/1.1 " + status] + ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def run(connection, request_id):
    """Runs a request. The answer has no length and ends with its connection."""
    note(request_id, "runs")
    head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\n"
    head += "Connection: close\r\n\r\n"
    connection.sendall((head % (request_id, seal(whole_body(request_id)))).encode())
    for number in range(1, PARTS + 1):
        time.sleep(PART_INTERVAL_S)
        connection.sendall(part(request_id, number))
    note(request_id, "answered whole")


def serve(connection, engine_id, born, mode):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    buffered = b""
    own = {"Instance-Id": engine_id, "Server-Load": "0,0,6"}
    with connection:
        while request := read_request(connection, buffered):
            line, headers, buffered, _body = request
            path = line.split(" ")[1]
            request_id = headers.get("request-id")
            if path == "/health":
                answer(connection, "200 OK", own, b"")
            elif path == "/report":
                report = {"stage": "both", "models": [], "busy": False, "sequence": 0, "queued": 0, "running": 0}
                report.update({"kvUsed": 0, "kvTotal": 1, "handles": 0, "born": born})
                answer(connection, "200 OK", {"Content-Type": "application/json"}, json.dumps(report).encode())
            elif headers.get("expect-instance", engine_id) != engine_id:
                answer(connection, "421 Misdirected Request", {"Request-Id": request_id, "Not-Executed": "1"}, b"")
            elif mode == "full":
                note(request_id, "rejected")
                full = {"Request-Id": request_id, "Not-Executed": "1", "Server-Load": "6,24,6"}
                answer(connection, "503 Service Unavailable", full, b"")
            elif mode == "plain":
                note(request_id, "runs")
                time.sleep(WORK_S)
                done = b"done\n"
                answer(connection, "200 OK", {"Request-Id": request_id, "Response-Seal": seal(done)}, done)
            else:
                run(connection, request_id)
                return


def main():
    engine_id, port, born, mode = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4]
    listener = socket.create_server(("127.0.0.1", port), backlog=256)
    while True:
        connection, _peer = listener.accept()
        arguments = (connection, engine_id, born, mode)
        threading.Thread(target=serve_until_closed, args=arguments, daemon=True).start()


def serve_until_closed(connection, engine_id, born, mode):
    try:
        serve(connection, engine_id, born, mode)
    except OSError:
        pass


if __name__ == "__main__":
    main()

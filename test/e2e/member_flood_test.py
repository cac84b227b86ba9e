"""Floods of a daemon that is a member of a cell on the platform, at each of its listeners."""
import json
import pathlib
import socket
import sys
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from cell import HOST, NoAnswer, call  # noqa: E402  (needs the path above)
from flood import FEW_DESCRIPTORS, MOST_OF_FEW_DESCRIPTORS, TIMEOUT_S, Crowd, FloodStory, request  # noqa: E402
from soak_site import CALLERS_HOST, Site  # noqa: E402

SEED = 1
KEY = "key-school"
OTHER_KEY = "key-parts"
# The smallest machine that the daemon runs on.
MACHINE = {"memory_mb": 120, "max_fds": 3075}
# The largest request that a client may send, and how long it may take or pause.
MAX_HEADER_BYTES = 16384
MAX_BODY_BYTES = 262144
SLOW_HEADER_S = 2.5
IDLE_S = 14.0

CALLERS, READINESS, PEERS, METRICS = range(4)
LISTENERS = {"callers": CALLERS, "readiness": READINESS, "peers": PEERS, "metrics": METRICS}
HOST_HEADER = f"Host: {CALLERS_HOST}"
KEY_HEADER = f"Authorization: Bearer {KEY}"
SMALL_JOB = json.dumps({"spec": json.dumps({"steps": [{"ms": 50, "cpu": 250, "gang": 0}]}),
                        "job_steps": [{"count": 1, "cpu": 250, "mem_mb": 16, "estimate_ms": 50}]})
# As many steps as a job may have, in few bytes.
MANY_STEPS = json.dumps({"spec": "", "job_steps": [{"count": 1}] * 1000}, separators=(",", ":"))


class MemberFloodStory(FloodStory):
    """A daemon that is a member of a cell on the platform, with two workers."""

    def start(self, limits=None, most_descriptors=None):
        limits = limits or MACHINE
        self.site = Site(SEED, hosts=1, workers=2, limits=limits)
        self.addCleanup(lambda: self.site.close(keep_logs=False))
        self.site.start()
        self.observe(self.site.processes["host-0"].pid, limits, most_descriptors)
        self.jobs = 0
        self.key = KEY
        self.wait(lambda: self.submit()[0] == 200, "a first job is accepted")

    def folder(self):
        return self.site.folder

    def is_running(self):
        return self.site.is_running(0)

    def port(self, listener=CALLERS):
        return self.site.port(0, listener)

    def wait(self, condition, what):
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except NoAnswer:
                pass
            time.sleep(0.05)
        self.fail(f"expected within {TIMEOUT_S} s: {what}; logs in {self.folder()}")

    def ask(self, method, job, body=None):
        return call(self.port(), method, f"/plain/{job:016x}", body, self.key, timeout=TIMEOUT_S, host=CALLERS_HOST)

    def submit(self, body=SMALL_JOB):
        self.jobs += 1
        return self.ask("POST", self.jobs, body)

    def check_ordinary_call(self, when):
        status, _ = self.ask("GET", 1)
        self.assertEqual(200, status, f"the state of a job, {when}")
        status, answer = self.submit()
        self.assertEqual(200, status, f"a submission, {when}: {answer}")
        status, _ = call(self.port(READINESS), "GET", "/readyz", timeout=TIMEOUT_S)
        self.assertEqual(200, status, f"readiness, {when}")

    # -- answers that are not read --------------------------------------------------------------------------------

    def test_one_client_leaves_answers_without_a_route_unread(self):
        self.start()
        self.press(Crowd(self.port(), 1, repeated=request("GET", "/no/such/route", "Host: nowhere.example")))

    def test_clients_leave_answers_without_a_route_unread(self):
        self.start()
        self.press(Crowd(self.port(), 8, repeated=request("GET", "/no/such/route", "Host: nowhere.example")))

    def test_clients_read_answers_slower_than_they_send(self):
        self.start()
        self.press(Crowd(self.port(), 8, repeated=request("GET", "/no/such/route", "Host: nowhere.example"),
                         reads="slowly"))

    def test_clients_read_all_answers_and_send_without_pause(self):
        self.start()
        self.press(Crowd(self.port(), 8, repeated=request("GET", "/no/such/route", "Host: nowhere.example"),
                         reads="all"))

    def test_clients_without_a_host_header_leave_answers_unread(self):
        self.start()
        self.press(Crowd(self.port(), 8, repeated=request("GET", "/plain/0000000000000001", KEY_HEADER)))

    def test_clients_without_a_key_leave_answers_unread(self):
        self.start()
        self.press(Crowd(self.port(), 8, repeated=request("GET", "/plain/0000000000000001", HOST_HEADER)))

    def test_clients_leave_refusals_of_malformed_jobs_unread(self):
        self.start()
        self.press(Crowd(self.port(), 8, repeated=request(
            "POST", "/plain/00000000000000ff", HOST_HEADER, KEY_HEADER, body="this is no job")))

    def test_clients_leave_answers_to_submissions_unread(self):
        self.start()
        self.press(Crowd(self.port(), 40, repeated=request(
            "POST", "/plain/0000000000000001", HOST_HEADER, KEY_HEADER, body=SMALL_JOB)))

    def test_clients_leave_answers_to_cancellations_unread(self):
        self.start()
        self.press(Crowd(self.port(), 40, repeated=request(
            "DELETE", "/plain/00000000000000ff", HOST_HEADER, KEY_HEADER)))

    def test_clients_leave_states_of_jobs_unread(self):
        self.start()
        self.press(Crowd(self.port(), 8, repeated=request(
            "GET", "/plain/0000000000000001", HOST_HEADER, KEY_HEADER)))

    def test_clients_leave_answers_of_the_readiness_listener_unread(self):
        self.start()
        self.press(Crowd(self.port(READINESS), 8, repeated=request("GET", "/readyz", HOST_HEADER)))

    def test_clients_leave_answers_of_the_peers_listener_unread(self):
        self.start()
        self.press(Crowd(self.port(PEERS), 8, repeated=request("POST", "/rpc", HOST_HEADER, body="{}")))

    def test_clients_leave_answers_of_the_metrics_listener_unread(self):
        self.start()
        self.press(Crowd(self.port(METRICS), 200, repeated=request("GET", "/metrics", HOST_HEADER)))

    # -- what is no request ---------------------------------------------------------------------------------------

    def test_clients_send_an_unknown_method_and_connect_again(self):
        self.start()
        self.press(Crowd(self.port(), 8, repeated=request("BREW", "/plain/0000000000000001", HOST_HEADER),
                         reopens=True))

    def test_clients_send_what_is_no_http_and_connect_again(self):
        self.start()
        self.press(Crowd(self.port(), 40, repeated=b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 no http\r\n",
                         reopens=True))

    def test_clients_send_malformed_requests(self):
        self.start()
        head = b"POST /plain/00000000000000ff HTTP/1.1\r\n" + HOST_HEADER.encode() + b"\r\n" + KEY_HEADER.encode()
        bodies = [b"[" * 100000, b'{"a":' * 40000, b"9" * 200000, b'{"job_steps":[' + b"1e999," * 30000 + b"1]}",
                  b'"' + b"\\u0000" * 30000 + b'"', b"\x00" * 1000, b"\xff\xfe" * 1000]
        raw = [head + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body for body in bodies]
        raw += [head + line + b"\r\n\r\nx" for line in (
            b"\r\nContent-Length: 1\r\nContent-Length: 2", b"\r\nContent-Length: -1", b"\r\nContent-Length: 1x",
            b"\r\nContent-Length: 99999999999999999999", b"\r\nContent-Length: 4\r\nTransfer-Encoding: chunked",
            b"\r\nExpect: 100-continue\r\nContent-Length: 1", b"\r\nExpect: nothing\r\nContent-Length: 1",
            b"\r\n: empty", b"\r\n continued", b"\r\nNoColon", b"\r\nX: " + b"\x00" * 100)]
        raw += [head + b"\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks for chunks in (
            b"1\r\nx\r\n" * 50000, b"ffffffffffffffff\r\nx", b"-1\r\nx", b"zz\r\n", b"0\r\n" + b"T: x\r\n" * 50000,
            b"0" * 100000, b"7fffffffffffffff\r\n")]
        raw += [b"GET /\r\n\r\n", b"GET / HTTP/0.9\r\n\r\n", b"GET / HTTP/1.0\r\n\r\n", b"GET  HTTP/1.1\r\n\r\n",
                b"GET " + b"/" * 100000, b"\r\n" * 100000, b"\x00" * 100000, b"GET /%zz%00%ff HTTP/1.1\r\n\r\n",
                b"GET /?" + b"a&" * 8000 + b" HTTP/1.1\r\n\r\n", b"GET /?%=%&%00=%0 HTTP/1.1\r\n\r\n",
                b"GET http://[::1 HTTP/1.1\r\n\r\n", b"GET //:99999/ HTTP/1.1\r\n\r\n", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
                b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n" * 100]
        for listener in LISTENERS.values():
            for number, text in enumerate(raw):
                with self.subTest(listener=listener, number=number):
                    with socket.create_connection((HOST, self.port(listener)), timeout=0.05) as client:
                        try:
                            client.sendall(text)
                            client.shutdown(socket.SHUT_WR)
                            client.recv(65536)
                        except OSError:
                            pass
                    self.assertTrue(self.is_running(), f"expected the daemon to live after {text[:80]}")
        self.check_daemon("after malformed requests")

    # -- requests that don't end ----------------------------------------------------------------------------------

    def unfinished_body(self, path, size):
        head = f"POST {path} HTTP/1.1\r\n{HOST_HEADER}\r\n{KEY_HEADER}\r\nContent-Length: {size}\r\n\r\n"
        return head.encode() + b" " * (size - 1)

    def test_clients_leave_bodies_unfinished(self):
        self.start()
        self.press(Crowd(self.port(), 800, once=self.unfinished_body("/plain/00000000000000ff", MAX_BODY_BYTES),
                         reopens=True))

    def test_clients_leave_chunks_unfinished(self):
        self.start()
        head = f"POST /plain/00000000000000ff HTTP/1.1\r\n{HOST_HEADER}\r\n{KEY_HEADER}\r\n"
        size = MAX_BODY_BYTES - 1
        once = f"{head}Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n".encode() + b" " * (size - 1)
        self.press(Crowd(self.port(), 800, once=once, reopens=True))

    def test_clients_leave_headers_of_many_lines_unfinished(self):
        self.start()
        once = b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 4000
        self.press(Crowd(self.port(), 800, once=once, reopens=True))

    def test_clients_leave_bodies_unfinished_at_the_readiness_listener(self):
        self.start()
        self.press(Crowd(self.port(READINESS), 60, once=self.unfinished_body("/readyz", 4 << 20), reopens=True))

    def test_clients_leave_bodies_unfinished_at_the_peers_listener(self):
        self.start()
        self.press(Crowd(self.port(PEERS), 60, once=self.unfinished_body("/rpc", 4 << 20), reopens=True))

    def test_clients_leave_bodies_unfinished_at_the_metrics_listener(self):
        self.start()
        self.press(Crowd(self.port(METRICS), 60, once=self.unfinished_body("/explain/", 4 << 20), reopens=True))

    # -- requests that wait for their answers ---------------------------------------------------------------------

    def test_many_large_jobs_wait_for_their_answers(self):
        self.start()
        # Submissions are answered once they are stored, and none is while the store is silent.
        self.site.links[0].set_mode("cut")
        self.addCleanup(self.site.links[0].repair)
        crowd = Crowd(self.port(), 800, reopens=True, once=request(
            "POST", "/plain/00000000000000ff", HOST_HEADER, KEY_HEADER, body=MANY_STEPS))
        try:
            crowd.press(self.observed, self.most_kb)
        finally:
            crowd.close()
            self.site.links[0].repair()
        self.wait(lambda: self.submit()[0] == 200, "submissions are accepted again")
        self.wait(lambda: call(self.port(READINESS), "GET", "/readyz")[0] == 200, "the host is ready again")
        self.check_daemon("after the crowd has left")

    def test_clients_leave_before_the_answer_and_connect_again(self):
        self.start()
        text = request("GET", "/plain/00000000000000ff", HOST_HEADER, KEY_HEADER, "X: " + "x" * 16000)
        deadline = time.monotonic() + 10.0
        while time.monotonic() < deadline and self.observed.peak_kb() <= self.most_kb:
            with socket.create_connection((HOST, self.port()), timeout=TIMEOUT_S) as client:
                client.sendall(text)
        self.check_daemon("after clients that left")

    def test_floods_follow_one_another(self):
        self.start()
        refused = request("GET", "/no/such/route", "Host: nowhere.example")
        body = self.unfinished_body("/plain/00000000000000ff", MAX_BODY_BYTES)
        for _ in range(3):
            self.press(Crowd(self.port(), 8, repeated=refused))
            self.press(Crowd(self.port(), 200, once=body, reopens=True))

    def test_an_organisation_submits_jobs_of_many_tasks(self):
        self.start()
        first = self.jobs
        body = json.dumps({"spec": json.dumps({"steps": [{"ms": 60000, "cpu": 250, "gang": 0}]}),
                           "job_steps": [{"count": 4000, "cpu": 250, "mem_mb": 16, "estimate_ms": 60000}]})
        for _ in range(300):
            if self.observed.peak_kb() <= self.most_kb:
                self.submit(body)
        # The organisation's own jobs may be refused now, those of another one are not.
        self.key = OTHER_KEY
        self.check_daemon("after many tasks")
        self.assertEqual(200, self.ask("GET", first)[0], "the state of a job that was accepted before")

    # -- connections that are held --------------------------------------------------------------------------------

    def hold(self, listener, connections, once=b"", repeated=b""):
        self.start({**MACHINE, "max_fds": FEW_DESCRIPTORS}, MOST_OF_FEW_DESCRIPTORS)
        self.press(Crowd(self.port(listener), connections, once=once, repeated=repeated))

    def test_idle_connections_leave_room_for_callers(self):
        self.hold(CALLERS, 300)

    def test_connections_that_made_a_call_leave_room_for_callers(self):
        self.hold(CALLERS, 300, once=request("GET", "/plain/0000000000000001", HOST_HEADER, KEY_HEADER))

    def test_unfinished_headers_leave_room_for_callers(self):
        self.hold(CALLERS, 300, once=b"GET / HTTP/1.1\r\nHost: ")

    def test_unread_answers_leave_room_for_callers(self):
        self.hold(CALLERS, 300, repeated=request("GET", "/no/such/route", "Host: nowhere.example"))

    def test_idle_connections_at_the_readiness_listener_leave_room(self):
        self.hold(READINESS, 300)

    def test_idle_connections_at_the_peers_listener_leave_room(self):
        self.hold(PEERS, 300)

    def test_idle_connections_at_the_metrics_listener_leave_room(self):
        self.hold(METRICS, 300)

    def test_idle_connections_at_all_listeners_leave_room(self):
        self.start({**MACHINE, "max_fds": FEW_DESCRIPTORS}, MOST_OF_FEW_DESCRIPTORS)
        crowds = [Crowd(self.port(listener), 300) for listener in LISTENERS.values()]
        try:
            for crowd in crowds:
                crowd.press(self.observed, self.most_kb)
            # The connection to the store has to be opened anew, for which descriptors must be left.
            self.site.links[0].reset()
            self.wait(lambda: self.submit()[0] == 200, "a submission is accepted over a new connection to the store")
            self.check_daemon("while the crowds stay")
        finally:
            for crowd in crowds:
                crowd.close()
        self.check_daemon("after the crowds have left")

    # -- clients inside the limits --------------------------------------------------------------------------------

    def connect(self):
        client = socket.create_connection((HOST, self.port()), timeout=TIMEOUT_S)
        self.addCleanup(client.close)
        return client

    def receive(self, client, answers):
        """Returns the status codes of that many answers."""
        text = b""
        while text.count(b"HTTP/1.1 ") < answers or not text.endswith(b"}"):
            part = client.recv(1 << 20)
            self.assertTrue(part, f"expected {answers} answers, the connection ended after {text[-200:]}")
            text += part
        return [int(rest[:3]) for rest in text.split(b"HTTP/1.1 ")[1:]]

    def test_a_header_of_the_greatest_size_is_served(self):
        self.start()
        start = f"GET /plain/0000000000000001 HTTP/1.1\r\n{HOST_HEADER}\r\n{KEY_HEADER}\r\nX: "
        client = self.connect()
        client.sendall((start + "x" * (MAX_HEADER_BYTES - len(start) - 4) + "\r\n\r\n").encode())
        self.assertEqual([200], self.receive(client, 1))

    def test_a_body_of_the_greatest_size_is_served(self):
        self.start()
        status, answer = self.submit(SMALL_JOB + " " * (MAX_BODY_BYTES - len(SMALL_JOB)))
        self.assertEqual(200, status, answer)

    def test_a_chunked_body_of_the_greatest_size_is_served(self):
        self.start()
        client = self.connect()
        body = SMALL_JOB + " " * (MAX_BODY_BYTES - len(SMALL_JOB))
        client.sendall(f"POST /plain/00000000000000fe HTTP/1.1\r\n{HOST_HEADER}\r\n{KEY_HEADER}\r\n"
                       f"Transfer-Encoding: chunked\r\n\r\n{len(body):x}\r\n{body}\r\n0\r\n\r\n".encode())
        self.assertEqual([200], self.receive(client, 1))

    def test_a_job_of_many_steps_is_served(self):
        self.start()
        step = {"count": 1, "cpu": 250, "mem_mb": 16, "estimate_ms": 50}
        status, answer = self.submit(json.dumps({"spec": "", "job_steps": [step] * 900}))
        self.assertEqual(200, status, answer)

    def test_a_slow_header_and_an_idle_connection_are_served(self):
        self.start()
        client = self.connect()
        text = request("GET", "/plain/0000000000000001", HOST_HEADER, KEY_HEADER)
        client.sendall(text[:20])
        time.sleep(SLOW_HEADER_S)
        client.sendall(text[20:])
        self.assertEqual([200], self.receive(client, 1))
        time.sleep(IDLE_S)
        client.sendall(text)
        self.assertEqual([200], self.receive(client, 1))

    def test_requests_sent_ahead_are_all_answered(self):
        self.start()
        client = self.connect()
        client.sendall(request("GET", "/plain/0000000000000001", HOST_HEADER, KEY_HEADER) * 2000)
        self.assertEqual([200] * 2000, self.receive(client, 2000))


if __name__ == "__main__":
    unittest.main()

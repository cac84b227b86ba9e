"""Floods of a daemon of a cell of its own, at both of its addresses."""
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from cell import Cell, call, key_of, seat_check, setup_objects  # noqa: E402  (needs the path above)
from flood import FEW_DESCRIPTORS, MOST_OF_FEW_DESCRIPTORS, TIMEOUT_S, Crowd, FloodStory, request  # noqa: E402

# The machines of an ordinary entry host.
MACHINE = {"memory_mb": 260, "max_fds": 4100}


class CellFloodStory(FloodStory):
    """A daemon of a cell of its own, with one worker and one runner."""

    def start(self, limits=None, most_descriptors=None):
        limits = limits or MACHINE
        self.cell = Cell(entries=1, workers=1, runners=1, max_fds=limits["max_fds"])
        self.addCleanup(self.cell.close)
        self.cell.start()
        self.observe(self.cell.processes["e0"].pid, limits, most_descriptors)
        self.requests = 0
        self.assertEqual("accepted", self.cell.ticket(1, setup_objects()))
        self.assertTrue(self.cell.wait_claimed(), "the backend servers were not all claimed")
        self.assertTrue(self.cell.wait(lambda: self.ask()[1].get("outcome") == "done"), "lookups are not served")

    def folder(self):
        return self.cell.folder

    def is_running(self):
        return self.cell.processes["e0"].poll() is None

    def ask(self):
        self.requests += 1
        return self.cell.ask(0, seat_check(f"ordinary-{self.requests}"), key_of("ovens"), timeout=TIMEOUT_S)

    def check_ordinary_call(self, when):
        status, answer = self.ask()
        self.assertEqual((200, "done"), (status, answer.get("outcome")), f"a lookup, {when}: {answer}")
        status, _ = call(self.cell.entry_port(0), "GET", "/readyz", timeout=TIMEOUT_S)
        self.assertEqual(200, status, f"readiness, {when}")

    def unread(self, port, path="/no/such/route", connections=8):
        self.press(Crowd(port, connections, repeated=request("GET", path, "Host: nowhere.example")))

    def test_clients_leave_answers_unread_at_the_address_for_callers(self):
        self.start()
        self.unread(self.cell.caller_port(0))

    def test_clients_leave_answers_unread_at_the_address_for_all(self):
        self.start()
        self.unread(self.cell.entry_port(0))

    def test_clients_leave_metrics_unread(self):
        self.start()
        self.unread(self.cell.entry_port(0), "/metrics", 200)

    def unfinished(self, port, path):
        size = 16 << 20
        once = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n".encode() + b" " * (size - 1)
        self.press(Crowd(port, 40, once=once, reopens=True))

    def test_clients_leave_bodies_unfinished_at_the_address_for_callers(self):
        self.start()
        self.unfinished(self.cell.caller_port(0), "/v1/requests")

    def test_clients_leave_bodies_unfinished_at_the_address_for_all(self):
        self.start()
        self.unfinished(self.cell.entry_port(0), "/rpc")

    def test_peer_messages_of_many_small_values(self):
        self.start()
        body = "[" + "0," * ((16 << 20) // 2 - 1000) + "0]"
        self.press(Crowd(self.cell.entry_port(0), 1, once=request("POST", "/rpc", "Host: a", body=body)))

    def test_idle_connections_leave_room_for_callers(self):
        self.start({**MACHINE, "max_fds": FEW_DESCRIPTORS}, MOST_OF_FEW_DESCRIPTORS)
        self.press(Crowd(self.cell.caller_port(0), 300))

    def test_idle_connections_leave_room_for_peers(self):
        self.start({**MACHINE, "max_fds": FEW_DESCRIPTORS}, MOST_OF_FEW_DESCRIPTORS)
        self.press(Crowd(self.cell.entry_port(0), 300))

    def test_idle_connections_at_both_addresses_leave_room(self):
        self.start({**MACHINE, "max_fds": FEW_DESCRIPTORS}, MOST_OF_FEW_DESCRIPTORS)
        self.press(*(Crowd(port, 300) for port in (self.cell.caller_port(0), self.cell.entry_port(0))))


if __name__ == "__main__":
    unittest.main()

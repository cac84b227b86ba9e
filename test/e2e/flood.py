"""What the tests of floods share: clients that send more, read less or hold longer than they should, and the checks.

A test starts one daemon on loopback, lets a small crowd press on it, and then checks what doesn't depend on the
machine's speed: the daemon lives, it stayed within the memory and the descriptors of its machine, and one ordinary call
is answered, both while the crowd stays and after it has left. A crowd stops by itself: after a time, an amount of data,
or once the server reads no more.

The bounds are those of the machines that the daemon runs on. They come from the settings that a test gives to the
daemon, not from measurements.
"""
import pathlib
import selectors
import socket
import time
import unittest

from cell import HOST

TIMEOUT_S = 30.0
# A machine with so few descriptors that a small crowd can use them all. A quarter of them must remain for the store,
# other hosts and workers.
FEW_DESCRIPTORS = 400
MOST_OF_FEW_DESCRIPTORS = 300
KB_PER_MB = 1024
# The longest time that a crowd sends, and the time without progress after which it stops.
PRESS_S = 10.0
STALLED_S = 2.0
# The most that a crowd sends in all. More than any bound of the tests, so that a server that keeps it all exceeds them.
MAX_SENT = 1 << 30
CHUNK_BYTES = 64 * 1024
SMALL_WINDOW_BYTES = 4096
# How much a slow reader reads at a time.
SLOW_READ_BYTES = 512
# How often the observed process is looked at, and how often connections are read from.
LOOK_PERIOD_S = 0.05


def request(method, path, *headers, body=""):
    """Returns the bytes of a request. Without a body, the request has no Content-Length."""
    lines = [f"{method} {path} HTTP/1.1", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class Observed:
    """Memory and descriptors of a running process."""

    def __init__(self, pid):
        self._folder = pathlib.Path("/proc", str(pid))
        self.most_descriptors = 0

    def peak_kb(self):
        """Returns the most memory that the process has had resident, in kB."""
        for line in (self._folder / "status").read_text(encoding="utf-8").splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
        return 0  # The process has ended.

    def look(self):
        self.most_descriptors = max(self.most_descriptors, sum(1 for _ in (self._folder / "fd").iterdir()))


class Crowd:
    """Connections that all send the same. Each begins with `once`, and then repeats `repeated` if that isn't empty.

    `reads` is "nothing", "slowly" or "all". With `reopens`, a connection that the server closes is replaced.
    """

    def __init__(self, port, connections, once=b"", repeated=b"", reads="nothing", reopens=False):
        self._port = port
        self._once = once
        self._chunk = repeated * max(1, CHUNK_BYTES // len(repeated)) if repeated else b""
        self._reads = reads
        self._reopens = reopens
        self._selector = selectors.DefaultSelector()
        self._unsent = {}
        self.sent = 0
        for _ in range(connections):
            self._open()

    def _open(self):
        one = socket.socket()
        if self._reads != "all":
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW_BYTES)
        one.setblocking(False)
        one.connect_ex((HOST, self._port))
        self._unsent[one] = memoryview(self._once or self._chunk)
        self._selector.register(one, selectors.EVENT_WRITE)

    def _drop(self, one):
        if one in self._selector.get_map():
            self._selector.unregister(one)
        del self._unsent[one]
        one.close()

    def _is_closed(self, one):
        """Reads what this crowd reads. Returns whether the server has closed the connection."""
        try:
            if self._reads == "all":
                while one.recv(CHUNK_BYTES):
                    pass
                return True
            if self._reads == "slowly":
                return not one.recv(SLOW_READ_BYTES)
            return not one.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _send(self, one):
        """Sends what the connection accepts. Returns whether the connection still stands."""
        try:
            sent = one.send(self._unsent[one])
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.sent += sent
        self._unsent[one] = self._unsent[one][sent:] or memoryview(self._chunk)
        if not self._unsent[one]:
            self._selector.unregister(one)
        return True

    def _replace(self, closed):
        for one in closed:
            self._drop(one)
            if self._reopens:
                self._open()

    def press(self, observed, most_kb):
        """Sends until no server reads on, or the time or the amount is used up, or the process exceeds `most_kb`."""
        begun = last_progress = looked = time.monotonic()
        while self._unsent and self.sent < MAX_SENT:
            now = time.monotonic()
            if now > begun + PRESS_S or now > last_progress + STALLED_S:
                return
            before = self.sent
            closed = [key.fileobj for key, _ in self._selector.select(LOOK_PERIOD_S) if not self._send(key.fileobj)]
            self._replace(closed)
            if self.sent > before or closed:
                last_progress = now
            if now > looked + LOOK_PERIOD_S:
                looked = now
                self._replace([one for one in self._unsent if self._is_closed(one)])
                observed.look()
                if observed.peak_kb() > most_kb:
                    return

    def close(self):
        for one in list(self._unsent):
            self._drop(one)
        self._selector.close()


class FloodStory(unittest.TestCase):
    """What the tests of both kinds of daemon share."""

    # Set by observe().
    observed = None
    most_kb = 0
    most_descriptors = 0

    def observe(self, pid, limits, most_descriptors=None):
        """Sets the daemon to check, and the limits of its machine. `most_descriptors` is by default all of them."""
        self.observed = Observed(pid)
        self.most_kb = limits["memory_mb"] * KB_PER_MB
        self.most_descriptors = most_descriptors or limits["max_fds"]

    def press(self, *crowds):
        """Lets crowds press one after the other, and checks the daemon while they stay and after they have left."""
        try:
            for crowd in crowds:
                crowd.press(self.observed, self.most_kb)
            self.check_daemon("while the crowd stays")
        finally:
            for crowd in crowds:
                crowd.close()
        self.check_daemon("after the crowd has left")

    def check_daemon(self, when):
        self.assertTrue(self.is_running(), f"expected the daemon to live {when}; logs in {self.folder()}")
        self.observed.look()
        self.assertLessEqual(self.observed.peak_kb(), self.most_kb,
                             f"kB of resident memory at the peak, {when}; expected at most the machine's memory")
        self.assertLessEqual(self.observed.most_descriptors, self.most_descriptors, f"open descriptors, {when}")
        self.check_ordinary_call(when)

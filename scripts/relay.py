"""A TCP relay on loopback that lets a test disturb the traffic between a client and a server.

While cut, the relay accepts connections but forwards no data, like a firewall that drops all packets; it can be cut in
one direction only. repair() closes the connections that were cut, since the data in transit is lost. While it refuses,
nothing listens on its ports. block() cuts the connections from one source address only. limit_rate() gives the link a
bandwidth towards the client, which all connections share.
"""
import asyncio
import threading

HOST = "127.0.0.1"
CHUNK_BYTES = 65536

# For each mode of the relay: whether it forwards data to the target, and data from the target.
FORWARDS = {"pass": (True, True), "cut": (False, False), "deaf": (False, True), "mute": (True, False),
          "delay": (True, True), "refuse": (False, False)}
DELAY_S = 0.4


class Relay:
    """Forwards connections from each listening port to its target port, on a thread of its own, until close()."""

    def __init__(self, target_of):
        self._target_of = target_of
        self._loop = asyncio.new_event_loop()
        self._connections = set()
        self._servers = []
        self._mode = "pass"
        self._blocked_source = None
        self._is_blocked_refused = False
        self._bytes_per_s = None
        # When the link has sent all that was handed to it, by the loop's clock.
        self._free_at = 0.0
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._run(self._listen())

    def cut(self):
        self.set_mode("cut")

    def repair(self):
        self.set_mode("pass")

    def set_mode(self, mode):
        """Sets one of the modes in FORWARDS; `pass` also drops all present connections."""
        self._run(self._set_mode(mode))

    def block(self, source, is_refused=False):
        """Cuts the connections from the address `source` only, or closes each; None lifts that and drops all."""
        self._run(self._block(source, is_refused))

    def limit_rate(self, bytes_per_s):
        """Limits the bandwidth from the server to the client; None lifts the limit."""
        self._bytes_per_s = bytes_per_s

    def reset(self):
        """Drops all present connections; new ones are served."""
        self._run(self._drop_connections())

    def close(self):
        self._run(self._drop_connections())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _listen(self):
        for port, target in self._target_of.items():
            self._servers.append(await asyncio.start_server(
                lambda reader, writer, to=target: self._serve(reader, writer, to), HOST, port))

    async def _set_mode(self, mode):
        self._mode = mode
        if mode == "refuse":
            for server in self._servers:
                server.close()
            self._servers.clear()
        elif not self._servers:
            await self._listen()
        if mode in ("pass", "refuse"):
            await self._drop_connections()

    async def _block(self, source, is_refused):
        self._blocked_source = source
        self._is_blocked_refused = is_refused
        if source is None or is_refused:
            await self._drop_connections()

    def _is_blocked(self, source):
        return self._blocked_source is not None and source == self._blocked_source

    async def _drop_connections(self):
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer, target):
        source = writer.get_extra_info("peername")[0]
        if self._is_blocked(source) and self._is_blocked_refused:
            writer.close()
            return
        task = asyncio.current_task()
        self._connections.add(task)
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, target)
            try:
                await asyncio.gather(self._forward(reader, far_writer, 0, source),
                                     self._forward(far_reader, writer, 1, source))
            finally:
                far_writer.close()
        except (OSError, asyncio.CancelledError):
            pass  # One side closed the connection, or the relay dropped it.
        finally:
            self._connections.discard(task)
            writer.close()

    async def _wait_for_bandwidth(self, size, bytes_per_s):
        now = self._loop.time()
        self._free_at = max(self._free_at, now) + size / bytes_per_s
        await asyncio.sleep(self._free_at - now)

    async def _forward(self, reader, writer, direction, source):
        while data := await reader.read(CHUNK_BYTES):
            if self._mode == "delay":
                await asyncio.sleep(DELAY_S)
            # Read once, since another thread may lift the limit meanwhile.
            rate = self._bytes_per_s
            if direction == 1 and rate:
                await self._wait_for_bandwidth(len(data), rate)
            if FORWARDS[self._mode][direction] and not self._is_blocked(source):
                writer.write(data)
                await writer.drain()
        writer.close()

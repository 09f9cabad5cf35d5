"""Minimal HTTP/1.1 server, client and TCP proxy on loopback, for the stand-ins of this review."""
import asyncio
import json
import pathlib
import random
import socket

HOST = "127.0.0.1"


def free_ports(count):
    """Returns free ports below the range that the system gives to connections, so that none takes them before the program listens."""
    first = int(pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = []
    while len(ports) < count:
        port = random.randrange(10000, max(first, 11000))
        with socket.socket() as listener:
            try:
                listener.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_message(reader):
    """Returns the first line, the headers (lower-case names) and the body of a message; None at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class HttpServer:
    """Serves requests by `handler(method, target, headers, document) -> (status, document)`, or None for no answer at all."""

    def __init__(self, handler, port=0):
        self.handler = handler
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port, reuse_address=True, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def stop(self):
        """Closes the listener and resets all connections, like the loss of the process."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            abort(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                document = json.loads(body) if body else None
                answer = await self.handler(method, target, headers, document)
                if answer is None:
                    await asyncio.sleep(30)
                    break
                status, content = answer
                data = json.dumps(content, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def abort(writer):
    """Resets a connection."""
    try:
        writer.transport.abort()
    except RuntimeError:
        pass


async def call(address, method, target, host, document=None, timeout=4.0, headers=()):
    """Sends one request on a connection of its own. Returns (status, document), or (0, text) if there is no whole answer in time."""

    async def exchange():
        name, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(name, int(port), limit=1 << 22)
        try:
            body = json.dumps(document).encode() if document is not None else b""
            lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(body)}"]
            if body:
                lines.append("Content-Type: application/json")
            lines += [f"{key}: {value}" for key, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            line, _, content = await read_message(reader)
            try:
                parsed = json.loads(content) if content else None
            except ValueError:
                parsed = content.decode("latin-1")
            return int(line.split(" ")[1]), parsed
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return 0, type(error).__name__


class Proxy:
    """Forwards TCP connections to a port. While it is cut, nothing passes in either direction, and new connections stay without an answer.
    What was under way or came meanwhile is lost: its connections are reset when the cut ends."""

    def __init__(self, target_port):
        self.target = target_port
        self.passing = asyncio.Event()
        self.passing.set()
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def cut(self):
        self.passing.clear()

    def heal(self):
        for writer in list(self.writers):
            abort(writer)
        self.passing.set()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            abort(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        other_writer = None
        try:
            if not self.passing.is_set():
                await self.passing.wait()
                return
            other_reader, other_writer = await asyncio.open_connection(HOST, self.target)
            self.writers.add(other_writer)
            await asyncio.gather(self.pump(reader, other_writer), self.pump(other_reader, writer))
        except OSError:
            pass
        finally:
            for one in (writer, other_writer):
                if one:
                    abort(one)
                    self.writers.discard(one)

    async def pump(self, source, sink):
        try:
            while data := await source.read(65536):
                await self.passing.wait()
                sink.write(data)
                await sink.drain()
            await self.passing.wait()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            abort(sink)

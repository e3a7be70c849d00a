"""Shared parts of the cases: MessagePack, HTTP, TCP links that can be cut, and a site of the project's
own stand-ins (`sageloom emulate`) with controllers that are started by the deploy file's command.

Only the standard library is used, and only loopback addresses."""

import asyncio
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


# MessagePack -------------------------------------------------------------------------------------


def pack(value):
    out = bytearray()
    _pack(value, out)
    return bytes(out)


def _pack(value, out):
    if value is None:
        out.append(0xC0)
    elif value is True:
        out.append(0xC3)
    elif value is False:
        out.append(0xC2)
    elif isinstance(value, int):
        if 0 <= value < 128:
            out.append(value)
        elif value >= 0:
            out += b"\xcf" + struct.pack(">Q", value)
        else:
            out += b"\xd3" + struct.pack(">q", value)
    elif isinstance(value, float):
        out += b"\xcb" + struct.pack(">d", value)
    elif isinstance(value, str):
        data = value.encode()
        out += b"\xdb" + struct.pack(">I", len(data)) + data
    elif isinstance(value, (list, tuple)):
        out += b"\xdd" + struct.pack(">I", len(value))
        for item in value:
            _pack(item, out)
    elif isinstance(value, dict):
        out += b"\xdf" + struct.pack(">I", len(value))
        for key, item in value.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(value))


def unpack(data):
    value, _ = _unpack(data, 0)
    return value


def _unpack(d, i):
    b = d[i]
    i += 1
    if b < 0x80:
        return b, i
    if b < 0x90:
        return _unpack_map(d, i, b & 0x0F)
    if b < 0xA0:
        return _unpack_list(d, i, b & 0x0F)
    if b < 0xC0:
        n = b & 0x1F
        return d[i : i + n].decode(), i + n
    if b >= 0xE0:
        return b - 0x100, i
    simple = {0xC0: None, 0xC2: False, 0xC3: True}
    if b in simple:
        return simple[b], i
    numbers = {
        0xCA: ">f", 0xCB: ">d", 0xCC: ">B", 0xCD: ">H", 0xCE: ">I", 0xCF: ">Q",
        0xD0: ">b", 0xD1: ">h", 0xD2: ">i", 0xD3: ">q",
    }
    if b in numbers:
        size = struct.calcsize(numbers[b])
        return struct.unpack_from(numbers[b], d, i)[0], i + size
    lengths = {0xD9: ">B", 0xDA: ">H", 0xDB: ">I", 0xDC: ">H", 0xDD: ">I", 0xDE: ">H", 0xDF: ">I"}
    if b not in lengths:
        raise ValueError(f"byte {b:#x}")
    n = struct.unpack_from(lengths[b], d, i)[0]
    i += struct.calcsize(lengths[b])
    if b <= 0xDB:
        return d[i : i + n].decode(), i + n
    return _unpack_list(d, i, n) if b <= 0xDD else _unpack_map(d, i, n)


def _unpack_list(d, i, n):
    items = []
    for _ in range(n):
        item, i = _unpack(d, i)
        items.append(item)
    return items, i


def _unpack_map(d, i, n):
    entries = {}
    for _ in range(n):
        key, i = _unpack(d, i)
        entries[key], i = _unpack(d, i)
    return entries, i


# The record ---------------------------------------------------------------------------------------


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# HTTP ---------------------------------------------------------------------------------------------


class HttpClient:
    """One connection, which stays open until one side closes it, as the protocol says."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns status and decoded body, or None and the reason if there was no response."""
        try:
            return await asyncio.wait_for(self._request(method, path, body), timeout)
        except asyncio.TimeoutError:
            self.close()
            return None, f"no response within {timeout} s"
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError) as error:
            self.close()
            return None, f"connection failure ({type(error).__name__})"

    async def _request(self, method, path, body):
        if not self.writer:
            host, port = self.address.rsplit(":", 1)
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        data = b"" if body is None else pack(body)
        head = f"{method} {path} HTTP/1.1\r\nhost: {self.address}\r\ncontent-length: {len(data)}\r\n\r\n"
        self.writer.write(head.encode() + data)
        await self.writer.drain()
        status, headers, data = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(status.split()[1]), (unpack(data) if data else None)


async def read_message(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    data = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, data


# Links --------------------------------------------------------------------------------------------


class Link:
    """A TCP link to an address. While it is cut, packets are held back and no error is seen; what was
    held is delivered in order once the cut ends."""

    def __init__(self, target):
        self.target = target
        self.passing = asyncio.Event()
        self.passing.set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self.address

    def cut(self):
        self.passing.clear()

    def restore(self):
        self.passing.set()

    async def _serve(self, reader, writer):
        await self.passing.wait()
        host, port = self.target.rsplit(":", 1)
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pump(reader, up_writer), self._pump(up_reader, writer))

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.passing.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        await self.passing.wait()
        writer.close()


class InspectingLink:
    """A link that passes HTTP messages on as they are and shows each exchange to `seen(method, path,
    request, status, response)`, with decoded bodies; the status is None if there was no response."""

    def __init__(self, target, seen):
        self.target, self.seen = target, seen

    async def start(self, address):
        host, port = address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        up_writer = None
        try:
            host, port = self.target.rsplit(":", 1)
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
            while True:
                line, headers, data = await read_message(reader)
                up_writer.write(write_message(line, headers, data))
                method, path = line.split()[:2]
                request = unpack(data) if data else None
                try:
                    line, headers, data = await read_message(up_reader)
                except (OSError, asyncio.IncompleteReadError):
                    self.seen(method, path, request, None, None)
                    return
                self.seen(method, path, request, int(line.split()[1]), unpack(data) if data else None)
                writer.write(write_message(line, headers, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            if up_writer:
                up_writer.close()


def write_message(line, headers, data):
    text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{line}\r\n{text}\r\n".encode() + data


def free_ports(count, taken=set()):
    """Free ports below those that the system gives out by itself, so that nothing else takes them."""
    ports = []
    while len(ports) < count:
        port = random.randrange(12000, 32000)
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            ports.append(port)
    return [f"127.0.0.1:{port}" for port in ports]


# Processes ----------------------------------------------------------------------------------------


class Processes:
    """The processes that a case started; all of them are ended with it."""

    def __init__(self):
        self.running = []

    async def start(self, args, log, env=None):
        with open(log, "ab") as output:
            process = await asyncio.create_subprocess_exec(
                *args, cwd=ROOT, stdout=output, stderr=output, env={**os.environ, **(env or {})}
            )
        self.running.append(process)
        return process

    async def end_all(self):
        for process in self.running:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.running:
            await process.wait()
        self.running.clear()


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as file:
        return shlex.split(tomllib.load(file)["run"])


async def wait_healthy(address, has_ended, limit=10.0):
    end = time.monotonic() + limit
    while time.monotonic() < end and not has_ended():
        client = HttpClient(address)
        status, _ = await client.request("GET", "/healthz", timeout=1.0)
        client.close()
        if status == 200:
            return True
        await asyncio.sleep(0.2)
    return False


def run_case(folder, case):
    """Runs a case: `case(record, temporary folder, processes)` returns the exit code."""

    async def main():
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        record = Record(folder)
        record(f"TROUBLE={'1' if TROUBLE else '0'}")
        processes = Processes()
        with tempfile.TemporaryDirectory() as work:
            try:
                code = await asyncio.wait_for(case(record, work, processes), 118)
            except (Exception, asyncio.CancelledError) as error:  # the case could not run, or was ended
                record(f"the case could not run: {type(error).__name__}: {error}")
                code = NOT_RUN
            finally:
                await processes.end_all()
                if logs := os.environ.get("KEEP_LOGS"):
                    shutil.copytree(work, logs, dirs_exist_ok=True)
        record({HELD: "result: the rule held", BROKEN: "result: the rule was broken"}.get(code, "result: not run"))
        os._exit(code)

    asyncio.run(main())

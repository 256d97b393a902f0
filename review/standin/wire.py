"""MessagePack and HTTP/1.1, as far as the protocol page needs them."""
import asyncio
import struct


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
        if len(data) < 32:
            out.append(0xA0 | len(data))
        else:
            out += b"\xdb" + struct.pack(">I", len(data))
        out += data
    elif isinstance(value, (list, tuple)):
        if len(value) < 16:
            out.append(0x90 | len(value))
        else:
            out += b"\xdd" + struct.pack(">I", len(value))
        for item in value:
            _pack(item, out)
    elif isinstance(value, dict):
        if len(value) < 16:
            out.append(0x80 | len(value))
        else:
            out += b"\xdf" + struct.pack(">I", len(value))
        for key, item in value.items():
            _pack(key, out)
            _pack(item, out)
    else:
        raise TypeError(type(value))


def unpack(data):
    value, end = _unpack(data, 0)
    if end != len(data):
        raise ValueError("bytes after the message")
    return value


_FIXED = {0xCA: (">f", 4), 0xCB: (">d", 8), 0xCC: (">B", 1), 0xCD: (">H", 2), 0xCE: (">I", 4), 0xCF: (">Q", 8),
          0xD0: (">b", 1), 0xD1: (">h", 2), 0xD2: (">i", 4), 0xD3: (">q", 8)}
_LENGTHS = {0xD9: (">B", 1), 0xDA: (">H", 2), 0xDB: (">I", 4), 0xC4: (">B", 1), 0xC5: (">H", 2), 0xC6: (">I", 4),
            0xDC: (">H", 2), 0xDD: (">I", 4), 0xDE: (">H", 2), 0xDF: (">I", 4)}


def _unpack(data, at):
    mark = data[at]
    at += 1
    if mark < 0x80:
        return mark, at
    if mark >= 0xE0:
        return mark - 256, at
    if mark == 0xC0:
        return None, at
    if mark in (0xC2, 0xC3):
        return mark == 0xC3, at
    if mark in _FIXED:
        form, size = _FIXED[mark]
        return struct.unpack_from(form, data, at)[0], at + size
    if mark in _LENGTHS:
        form, size = _LENGTHS[mark]
        length = struct.unpack_from(form, data, at)[0]
        at += size
    elif mark < 0x90:
        length = mark & 15
    elif mark < 0xA0:
        length = mark & 15
    else:
        length = mark & 31
    if 0xA0 <= mark < 0xC0 or mark in (0xD9, 0xDA, 0xDB):
        return data[at:at + length].decode(), at + length
    if mark in (0xC4, 0xC5, 0xC6):
        return data[at:at + length], at + length
    if 0x90 <= mark < 0xA0 or mark in (0xDC, 0xDD):
        items = []
        for _ in range(length):
            item, at = _unpack(data, at)
            items.append(item)
        return items, at
    result = {}
    for _ in range(length):
        key, at = _unpack(data, at)
        result[key], at = _unpack(data, at)
    return result, at


REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


async def read_head(reader):
    line = await reader.readline()
    if not line:
        raise EOFError
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n"):
            break
        if not header:
            raise EOFError
        name, _, content = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = content.strip()
    return line.decode("latin-1").strip(), headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """Serves `handler(method, path, query, body) -> (status, value)`. A status of None closes the connection without
    an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 22)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self.address

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                path, _, text = target.partition("?")
                query = dict(part.partition("=")[::2] for part in text.split("&") if part)
                status, value = await self.handler(method, path, query, unpack(body) if body else None)
                if status is None:
                    return
                data = pack(value)
                head = "HTTP/1.1 %d %s\r\ncontent-type: application/msgpack\r\ncontent-length: %d\r\n\r\n" % (
                    status, REASONS.get(status, "Status"), len(data))
                writer.write(head.encode() + data)
                await writer.drain()
        except (EOFError, OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Connection:
    """A client's connection that stays open between requests. A request that fails closes it."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def _send(self, method, path, value):
        if self.writer is None:
            host, port = self.address.rsplit(":", 1)
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
        body = b"" if value is None else pack(value)
        head = "%s %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %d\r\n\r\n" % (method, path, self.address, len(body))
        self.writer.write(head.encode() + body)
        await self.writer.drain()
        line, headers = await read_head(self.reader)
        body = await read_body(self.reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), unpack(body) if body else None

    async def request(self, method, path, value=None, timeout=4.0):
        """Returns status and value; (None, reason) where no answer came."""
        try:
            return await asyncio.wait_for(self._send(method, path, value), timeout)
        except asyncio.TimeoutError:
            self.close()
            return None, "no answer within %g s" % timeout
        except (EOFError, OSError, ValueError, IndexError, asyncio.IncompleteReadError) as error:
            self.close()
            return None, "connection failed: %s" % (error or type(error).__name__)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def request(address, method, path, value=None, timeout=4.0):
    connection = Connection(address)
    try:
        return await connection.request(method, path, value, timeout)
    finally:
        connection.close()

"""HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

import asyncio


async def read_head(reader):
    """Returns the first line and the headers (names in lower case); None at the end of input."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if size == 0:
                return b"".join(parts)
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


async def read_answer(reader):
    """Returns (status, headers, body); None when the connection closed without a whole answer."""
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return None
            status = int(head[0].split()[1])
            if status >= 200:
                return status, head[1], await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


async def call(address, method, target, body=b"", headers=(), timeout=2.0):
    """One call on a connection of its own; None without an answer in time."""
    ip, port = address.rsplit(":", 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, int(port))
            lines = [f"{method} {target} HTTP/1.1", f"Host: {address}",
                     f"Content-Length: {len(body)}", "Connection: close", *headers]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()

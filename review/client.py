"""A stand-in client: one request on a new connection, and a strict reading of the answer."""

import asyncio
import secrets
import time

from fleet import HOST, KEY


class Answer:
    """What a client received. `problem` names bytes that are no answer in the protocol."""

    def __init__(self, request):
        self.request = request
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.problem = None
        self.error = None
        self.took = 0.0


async def request(address, method, path, fields=None, body=b"", deadline_ms=6000, request_id=None):
    """Sends a request and reads its answer until the deadline."""
    answer = Answer(request_id or secrets.token_hex(8))
    began = time.monotonic()
    try:
        await asyncio.wait_for(
            exchange(address, method, path, fields or {}, body, deadline_ms, answer),
            deadline_ms / 1000,
        )
    except asyncio.TimeoutError:
        answer.error = "deadline"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.error = f"cut ({type(error).__name__})"
    answer.took = time.monotonic() - began
    return answer


async def exchange(address, method, path, fields, body, deadline_ms, answer):
    host, port = address
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Topazmount-Request-Id: {answer.request}",
            f"Topazmount-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
        ]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        await read_answer(reader, answer)
    finally:
        writer.close()


async def read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    for line in head[1:]:
        if line:
            name, value = line.split(":", 1)
            answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        await read_chunks(reader, answer)
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.is_complete = True
    else:
        answer.body = await reader.read(-1)
        answer.is_complete = True


async def read_chunks(reader, answer):
    while True:
        line = await reader.readuntil(b"\r\n")
        try:
            size = int(line.split(b";")[0], 16)
        except ValueError:
            answer.problem = f"where the length of a chunk is due came {line!r}"
            return
        data = await reader.readexactly(size + 2)
        if data[-2:] != b"\r\n":
            answer.problem = f"a chunk ends with {data[-2:]!r}"
            return
        if size == 0:
            answer.is_complete = True
            return
        answer.body += data[:-2]


def events(body):
    """Numbers of the events in a stream's body."""
    lines = body.decode("latin-1").split("\n")
    return [int(line[3:]) for line in lines if line.startswith("id:")]

"""A stand-in replica, as PROTOCOL.md describes it: a language-model replica or a plain service.

Its only argument is a JSON object. Each run is reported as a line of JSON on standard output.

Options: `service`, `zone`, `address` (where it listens), `advertised` (the address that it
registers, that of a proxy for instance), `controls`, `heartbeat_ms`, `slots`, and

- `kind`: `engine` (streams of events) or `plain`.
- `prefill_ms`, `step_ms`: time to the first event, and between events.
- `unframed_share`: the share of streams that have no length and end with their connection, inside
  `unframed_times`, a list of begins and ends in Unix seconds.
- `work_ms`, `body_bytes`: of a plain service.
"""

import asyncio
import json
import os
import random
import secrets
import sys
import time


def report(**fields):
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


class Replica:
    def __init__(self, settings):
        self.settings = settings
        self.id = "i-" + secrets.token_hex(5)
        self.sequence = 0
        self.active = 0
        self.slots = settings.get("slots", 64)

    # Registration.

    def heartbeat_body(self):
        self.sequence += 1
        body = {
            "service": self.settings["service"],
            "address": self.settings["advertised"],
            "zone": self.settings["zone"],
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }
        if self.settings["kind"] == "engine":
            body |= {"stage": "both", "models": [{"name": "m0", "version": 1, "adapters": []}]}
        return body

    async def beat_once(self, address):
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = json.dumps(self.heartbeat_body()).encode()
            head = (
                f"POST /topazmount/Instances.Heartbeat/{self.id} HTTP/1.1\r\nHost: {address}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            status = (await reader.readline()).split()
            return len(status) > 1 and status[1].startswith(b"2")
        finally:
            writer.close()

    async def beat(self):
        controls = list(self.settings["controls"])
        while True:
            began = time.monotonic()
            for _ in range(len(controls)):
                try:
                    if await asyncio.wait_for(self.beat_once(controls[0]), 1.0):
                        break
                except (OSError, asyncio.TimeoutError):
                    pass
                controls.append(controls.pop(0))
            rest = self.settings["heartbeat_ms"] / 1000 - (time.monotonic() - began)
            await asyncio.sleep(max(rest, 0.1))

    # Requests.

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        method, target, headers = head
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        path = target.split("?")[0]
        if path.startswith("/topazmount/") or path == "/health":
            return await self.serve_status(path, headers, writer)
        request = headers.get("topazmount-request-id", "")
        if headers.get("topazmount-expect-instance", self.id) != self.id:
            return await self.answer(writer, "421 Misdirected Request", request, b"", sealed=False)
        if self.active >= self.slots:
            extra = "Topazmount-Not-Executed: 1\r\n"
            status = "503 Service Unavailable"
            return await self.answer(writer, status, request, b"", extra, sealed=False)
        self.active += 1
        watch = asyncio.ensure_future(wait_for_end(reader))
        run = asyncio.ensure_future(self.run(method, request, headers, body, writer))
        try:
            await asyncio.wait({watch, run}, return_when=asyncio.FIRST_COMPLETED)
            if run.done():
                return run.result()
            report(run=request, at=self.id, end="the connection closed")
            return False
        finally:
            self.active -= 1
            run.cancel()
            watch.cancel()
            await asyncio.gather(run, watch, return_exceptions=True)

    async def run(self, method, request, headers, body, writer):
        if self.settings["kind"] == "engine":
            return await self.stream(request, headers, writer)
        report(run=request, at=self.id, begin=method, bytes=len(body))
        await asyncio.sleep(self.settings.get("work_ms", 60) / 1000)
        text = (f"result of {request} " * 64).encode()[: self.settings.get("body_bytes", 800)]
        report(run=request, at=self.id, end="200")
        return await self.answer(writer, "200 OK", request, text)

    async def stream(self, request, headers, writer):
        """Sends the events after Last-Event-Id. The body ends a step after the last token, when the
        batch finds that the run is over."""
        last = int(headers.get("topazmount-token-counts", "1,8").split(",")[1])
        first = int(headers.get("last-event-id", "0")) + 1
        unframed = self.is_unframed()
        report(run=request, at=self.id, begin="stream", first=first, last=last, unframed=unframed)
        step = self.settings.get("step_ms", 20) / 1000
        await asyncio.sleep(self.settings.get("prefill_ms", 60) / 1000)
        framing = "Connection: close\r\n" if unframed else "Transfer-Encoding: chunked\r\n"
        writer.write((self.head("200 OK", request) + framing +
                      "Topazmount-Weight-Versions: 1\r\n"
                      "Content-Type: text/event-stream\r\n\r\n").encode())
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: token-{number}-of-{request}\n\n".encode()
            writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            report(run=request, at=self.id, sent=number)
            await asyncio.sleep(step)
        if not unframed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        report(run=request, at=self.id, end="200")
        return not unframed

    def is_unframed(self):
        now = time.time()
        times = self.settings.get("unframed_times", [])
        if not any(begin <= now < end for begin, end in times):
            return False
        return random.random() < self.settings["unframed_share"]

    def head(self, status, request, sealed=True):
        seal = f"Topazmount-Response-Seal: 1.{secrets.token_hex(4)}\r\n" if sealed else ""
        return (
            f"HTTP/1.1 {status}\r\nTopazmount-Request-Id: {request}\r\n{seal}"
            f"Topazmount-Instance-Id: {self.id}\r\n"
        )

    async def answer(self, writer, status, request, body, extra="", sealed=True):
        head = self.head(status, request, sealed) + extra + f"Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        return True

    async def serve_status(self, path, headers, writer):
        if path == "/topazmount/report":
            value = {
                "stage": "both",
                "models": [{"name": "m0", "version": 1, "adapters": []}],
                "busy": False, "sequence": 0, "queued": 0, "active": self.active,
                "kv_used": 0, "kv_total": 110556, "handles": 0,
            }
        elif path == "/topazmount/kv-events":
            await asyncio.sleep(int(headers.get("wait-ms", "200")) / 1000)
            value = {"boot_epoch": 1, "next_token": 1, "lost": False, "events": []}
        else:
            value = {}
        return await self.answer(writer, "200 OK", "", json.dumps(value).encode(), sealed=False)


async def read_head(reader):
    """Method, target and headers of the next request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    fields = (line.split(":", 1) for line in lines[1:] if line)
    return method, target, {name.strip().lower(): value.strip() for name, value in fields}


async def wait_for_end(reader):
    """Waits until the peer has closed the connection; no request comes before the answer."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


async def main():
    replica = Replica(json.loads(sys.argv[1]))
    host, port = replica.settings["address"].rsplit(":", 1)
    server = await asyncio.start_server(replica.serve, host, int(port), backlog=256)
    report(started=replica.id, address=replica.settings["address"], pid=os.getpid())
    asyncio.ensure_future(replica.beat())
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())

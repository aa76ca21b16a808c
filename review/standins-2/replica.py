"""A sound replica of a plain service: slots, a queue, a health check and heartbeats (PROTOCOL.md)."""

import asyncio
import hashlib
import json
import random

from wire_http import call, read_body, read_head


class Replica:
    def __init__(self, service, ip, controls, slots=6, queue=24, max_connections=100, work_s=0.05):
        self.service, self.ip, self.controls = service, ip, controls
        self.slots, self.queue, self.max_connections = slots, queue, max_connections
        self.work_s = work_s
        self.id = f"i-{random.randrange(16**8):08x}"
        self.address = None
        self.runs = {}
        self.connections = 0
        self.waiting = 0
        self.places = asyncio.Semaphore(slots)
        self.sequence = 0
        self.tasks = []
        # Share of the requests whose answer is lost after they ran (`answer_lost`), and those lost.
        self.lost_share = 0.0
        self.lost = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, self.ip, 0, limit=2**20)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        self.server = server
        self.tasks.append(asyncio.create_task(self.beat()))

    async def beat(self):
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": self.address, "zone": "gent-hal",
                    "version": "v1", "slots": self.slots, "state": "ready",
                    "cold_remaining_ms": 0, "sequence": self.sequence}
            for control in random.sample(self.controls, len(self.controls)):
                answer = await call(control, "POST", f"/topazmount/Instances.Heartbeat/{self.id}",
                                    json.dumps(body).encode(), timeout=1.0)
                if answer and answer[0] // 100 == 2:
                    break
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            if self.connections > self.max_connections:
                writer.transport.abort()
                return
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                answer = await self.answer(head, body)
                if self.loses(head[1]):
                    await reader.read()  # Silent until the caller closes.
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    def loses(self, headers):
        request = headers.get("topazmount-request-id")
        is_lost = request in self.runs and random.random() < self.lost_share
        if is_lost:
            self.lost.add(request)
        return is_lost

    async def answer(self, head, body):
        (method, target, _), headers = head[0].split(" "), head[1]
        request = headers.get("topazmount-request-id")
        if target == "/health":
            return reply(200, [f"Topazmount-Instance-Id: {self.id}"])
        echo = [f"Topazmount-Request-Id: {request}"]
        expected = headers.get("topazmount-expect-instance")
        if expected not in (None, self.id):
            return reply(421, echo + ["Topazmount-Not-Executed: 1"])
        if request is None:
            return reply(400, ["Topazmount-Not-Executed: 1"])
        if self.places.locked() and self.waiting >= self.queue:
            return reply(503, echo + ["Topazmount-Not-Executed: 1"])
        self.waiting += 1
        async with self.places:
            self.waiting -= 1
            self.runs[request] = self.runs.get(request, 0) + 1
            await asyncio.sleep(self.work_s)
        content = hashlib.sha256(body).hexdigest().encode()
        return reply(200, echo + [f"Topazmount-Response-Seal: {self.id}.{request}"], content)


def reply(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

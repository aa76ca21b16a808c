"""Clients that keep their connections and send requests at a fixed rate."""

import asyncio
import random
import time

from wire_http import read_answer


class Client:
    """Sends requests to one gateway; an idle kept connection is used before a new one."""

    def __init__(self, address, host, key=None):
        self.address, self.host, self.key = address, host, key
        self.idle = []
        self.log = []

    async def connect(self):
        ip, port = self.address.rsplit(":", 1)
        return await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1.0)

    async def request(self, target, body, deadline_ms):
        """Sends one request and logs its end: a status, "closed", "refused" or "late"."""
        entry = {"id": f"{random.randrange(16**16):016x}", "sent": time.time(), "kept": False}
        self.log.append(entry)
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self.idle:
                    reader, writer = self.idle.pop()
                    entry["kept"] = True
                else:
                    reader, writer = await self.connect()
                lines = [f"POST {target} HTTP/1.1", f"Host: {self.host}",
                         f"Topazmount-Request-Id: {entry['id']}",
                         f"Topazmount-Deadline-Ms: {deadline_ms}", f"Content-Length: {len(body)}"]
                if self.key:
                    lines.append(f"Authorization: Bearer {self.key}")
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
                writer.write(body)
                await writer.drain()
                answer = await read_answer(reader)
                entry["end"] = answer[0] if answer else "closed"
        except TimeoutError:
            entry["end"], answer = "late", None
        except OSError:
            entry["end"], answer = ("closed" if writer else "refused"), None
        entry["took"] = round(time.time() - entry["sent"], 3)
        if answer and answer[1].get("connection", "").lower() != "close":
            self.idle.append((reader, writer))
        elif writer:
            writer.close()

    async def drive(self, rate_at, length_s, target, body, deadline_ms):
        """Sends `rate_at(seconds)` requests a second, evenly spaced, and waits for their ends."""
        began = due = time.time()
        tasks = []
        while (now := time.time()) < began + length_s:
            if now < due:
                await asyncio.sleep(due - now)
                continue
            due += 1 / rate_at(due - began)
            tasks.append(asyncio.create_task(self.request(target, body, deadline_ms)))
        await asyncio.gather(*tasks)

    def close(self):
        for _, writer in self.idle:
            writer.close()

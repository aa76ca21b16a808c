"""Shows the lock order of REPORT.md, "A hang that is no case". Not a case: it goes beyond the limits of the pages.

One gateway is cut off from all replicas by proxies, so that its requests go through two others (tunnels); the metrics of all three
are read again and again. Arguments: seconds between two readings, seconds in all. Prints when a gateway no longer answers.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))

import fleet
import proxy

CONNECTIONS = 12
REPLICAS = 4
ANSWER_S = 3.0


class NoRecord:
    def write(self, text):
        pass


class CutProxy(proxy.Proxy):
    """Resets the connections of one caller."""

    cut = None

    async def carry(self, reader, writer):
        if writer.get_extra_info("peername")[0] == CutProxy.cut:
            return proxy.abort(writer)
        await super().carry(reader, writer)


def request_bytes():
    return (
        f"GET /get/x HTTP/1.1\r\nHost: {fleet.HOST}\r\nTopazmount-Request-Id: {random.getrandbits(64):016x}\r\n"
        f"Topazmount-Deadline-Ms: 4000\r\nAuthorization: Bearer {fleet.KEY}\r\n\r\n"
    ).encode()


class Stress:
    def __init__(self, gap, seconds):
        self.gap, self.seconds = gap, seconds
        self.fleet = fleet.Fleet(NoRecord(), controls=1, gateways=3)
        self.served = self.readings = 0
        self.hung = []

    async def load(self, ip):
        while True:
            try:
                reader, writer = await asyncio.open_connection(ip, self.fleet.front_port)
                while True:
                    writer.write(request_bytes())
                    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
                    length = head.lower().split(b"content-length: ")[1].split(b"\r")[0]
                    await reader.readexactly(int(length))
                    self.served += head.startswith(b"HTTP/1.1 200")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.05)

    async def read_metrics(self, ip):
        while True:
            try:
                reader, writer = await asyncio.open_connection(ip, self.fleet.metrics_port)
                writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                await asyncio.wait_for(reader.read(-1), ANSWER_S)
                writer.close()
                self.readings += 1
            except asyncio.TimeoutError:
                self.hung.append(ip)
                return
            except OSError:
                pass
            await asyncio.sleep(self.gap)

    async def run(self):
        self.fleet.start()
        loop = asyncio.get_running_loop()
        routes = [fleet.route("get", "/get/", "idempotent", "checkout-api", 2000, 300, 2)]
        body = fleet.configuration(1, routes, [fleet.plain_service("checkout-api")])
        put = lambda: self.fleet.operate("POST", "/topazmount/Config.Put", body)
        await loop.run_in_executor(None, put)
        for number in range(REPLICAS):
            advertised = f"{self.fleet.subnet}.{200 + number}:{self.fleet.front_port + 1}"
            options = {"kind": "plain", "work_ms": 2, "slots": 200}
            process, address = self.fleet.start_replica(
                f"replica-{number}", "checkout-api", fleet.ZONES[number % 3], options, advertised=advertised
            )
            fleet.read_reports(process, lambda line: None)
            await CutProxy(advertised, address).start()
        await loop.run_in_executor(None, self.fleet.wait_until_ready)
        await loop.run_in_executor(None, self.fleet.wait_for_replicas, REPLICAS)
        CutProxy.cut = self.fleet.gateway_ips[0]
        began = time.monotonic()
        tasks = [asyncio.ensure_future(self.load(CutProxy.cut)) for _ in range(CONNECTIONS)]
        tasks += [asyncio.ensure_future(self.read_metrics(ip)) for ip in self.fleet.gateway_ips]
        while time.monotonic() < began + self.seconds and not self.hung:
            await asyncio.sleep(0.2)
        took = time.monotonic() - began
        print(f"served={self.served} readings={self.readings} took_s={took:.1f} no_answer_from={self.hung}")
        for ip in self.hung:
            process = self.fleet.processes[f"gateway-{self.fleet.gateway_ips.index(ip)}"]
            for task in os.listdir(f"/proc/{process.pid}/task"):
                waits = pathlib.Path(f"/proc/{process.pid}/task/{task}/wchan").read_text()
                print(f"  thread {task} waits in {waits}")
        for task in tasks:
            task.cancel()
        return 1 if self.hung else 0


def main():
    stress = Stress(float(sys.argv[1]), float(sys.argv[2]))
    try:
        return asyncio.run(stress.run())
    finally:
        stress.fleet.stop()


if __name__ == "__main__":
    sys.exit(main())

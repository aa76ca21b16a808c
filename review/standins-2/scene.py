"""What each script does: start a deployment, configure it, wait until it serves, and end it."""

import asyncio
import json
import os
import random
import time

from deployment import CannotRun, Platform
from wire_http import call

LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}


class Record:
    """The record of a run: record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.time()

    def note(self, text):
        self.file.write(f"{time.time() - self.began:8.3f} {text}\n")
        self.file.flush()


class Scene:
    def __init__(self, record, **sizes):
        self.record = record
        self.platform = Platform(note=record.note, **sizes)
        self.controls = [f"{ip}:{self.platform.ports['control']}" for ip in self.platform.controls]
        self.gateways = [f"{ip}:{self.platform.ports['front']}" for ip in self.platform.gateways]

    async def until(self, what, check, limit_s=20.0):
        end = time.time() + limit_s
        while time.time() < end:
            if await check():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(what)

    async def put(self, configuration, address=None, limit_s=20.0):
        """Sends a configuration as the operator does, until it is acknowledged."""
        body = json.dumps(configuration).encode()

        async def sent():
            answer = await call(address or random.choice(self.controls), "POST",
                                "/topazmount/Config.Put", body, timeout=1.0)
            return answer is not None and answer[0] == 200

        await self.until("the configuration isn't acknowledged", sent, limit_s)
        self.record.note(f"configuration {configuration['version']} acknowledged")

    async def ready(self):
        for ip in self.platform.gateways:
            async def is_ready():
                answer = await call(f"{ip}:{self.platform.ports['ready']}", "GET",
                                    "/topazmount/readiness")
                return answer is not None and answer[0] == 200

            await self.until(f"the gateway {ip} isn't ready", is_ready)
        self.record.note("gateways are ready")


def route(name, service, **more):
    return {"name": name, "host": "jepu9.example", "path_prefix": f"/{name}/",
            "kind": "idempotent", "timeout_ms": 10000, "target_latency_ms": 800, "priority": 1,
            "service": service, "retry_attempts": 2, "public": True, "session_affinity": False,
            "resumable": False} | more


def service(name, max_connections=100):
    return {"name": name, "health_path": "/health", "max_connections": max_connections,
            "protocol": "h1", "tls": False}


def configuration(version, routes, services, tenants=()):
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS,
            "tenants": list(tenants)}


def run(folder, scene):
    """Runs `scene(record, is_trouble)`, an async function that returns whether the rule held."""
    record = Record(folder)
    is_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = asyncio.run(asyncio.wait_for(scene(record, is_trouble), 110))
    except (CannotRun, OSError, TimeoutError) as error:
        record.note(f"the case can't run: {error!r}")
        return 2
    record.note("the rule held" if held else "THE RULE WAS BROKEN")
    return 0 if held else 1

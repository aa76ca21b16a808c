"""Starts a small deployment of the project's own programs on loopback addresses.

The processes are started with the commands of deploy/system.toml and with settings as
deploy/process.toml.template makes them, with the bounds of the Lakeshore deployment
(sites/lsp-topaz.toml). The operator's calls are made here as well.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
PROGRAM = "target/release/topazmount-platform"
LIBRARY = pathlib.Path(__file__).resolve().parent
ZONES = ["erie-hall", "huron-hall", "superior-hall"]
HOST = "lake.example"
KEY = "key-of-tenant-1"
HEARTBEAT_MS = 1200

BOUNDS = """[bounds]
stop_s = 8
revocation_ms = 5000
lease_ms = 3000
spread_ms = 8000
retry_ratio = 0.2
retry_slack = 54
retry_window_s = 10
"""


class CannotRun(Exception):
    """The case could not be set up."""


def free_subnet():
    """The first three bytes of a loopback network on which no socket was found listening."""
    return f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"


def free_ports(address, count):
    """Ports that are free at this address and at 127.0.0.1, below the ephemeral range."""
    ports = []
    while len(ports) < count:
        port = random.randint(12_000, 31_000)
        if port in ports or port + 1 in ports or port - 1 in ports:
            continue
        try:
            for host in (address, "127.0.0.1"):
                with socket.socket() as probe:
                    probe.bind((host, port))
            ports.append(port)
        except OSError:
            continue
    return ports


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} s  {text}\n")
            self.file.flush()


class Fleet:
    """Control members, gateways and stand-in replicas."""

    def __init__(self, record, controls=3, gateways=2):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="topazmount-review-"))
        self.subnet = free_subnet()
        ports = free_ports(f"{self.subnet}.1", 6)
        self.control_port, self.directory_port, self.peer_port = ports[:3]
        self.front_port, self.ready_port, self.metrics_port = ports[3:]
        self.control_ips = [f"{self.subnet}.{10 + number}" for number in range(controls)]
        self.gateway_ips = [f"{self.subnet}.{100 + number}" for number in range(gateways)]
        self.processes = {}
        self.next_replica_ip = 150
        self.config_version = 0

    def settings(self, name, ip, role, number, form_group):
        seeds = ", ".join(f'"{ip}:{self.control_port}"' for ip in self.control_ips[:3])
        lines = [
            f'name = "{name}"',
            f'zone = "{ZONES[number % len(ZONES)]}"',
            'region = "great-lakes"',
            'cluster_key = "topazmount-platform"',
            f"peer_port = {self.peer_port}",
            f"seeds = [{seeds}]",
            f"form_group = {str(form_group).lower()}",
            f"heartbeat_ms = {HEARTBEAT_MS}",
        ]
        if role == "control":
            lines.append(f'data_folder = "{self.folder / name}"')
            listen = [
                f'control = "{ip}:{self.control_port}"',
                f'directory = "{ip}:{self.directory_port}"',
            ]
        else:
            listen = [
                f'clients = "{ip}:{self.front_port}"',
                f'ready = "{ip}:{self.ready_port}"',
            ]
        listen.append(f'metrics = "{ip}:{self.metrics_port}"')
        text = "\n".join(lines + ["[listen]"] + listen) + "\n" + BOUNDS
        if role == "gateway":
            # The machine's own address, as a process on a machine of its own would have.
            text += f'[connections]\nlocal_ip = "{ip}"\n'
        return text

    def start_process(self, name, ip, role, number, form_group=True):
        path = self.folder / f"{name}.toml"
        path.write_text(self.settings(name, ip, role, number, form_group))
        log = open(self.folder / f"{name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["TOPAZMOUNT_BOOT"] = str(path)
        process = subprocess.Popen(
            [PROGRAM, role], cwd=REPOSITORY, env=environment, stdout=log, stderr=log
        )
        self.processes[name] = process
        return process

    def start(self):
        if not (REPOSITORY / PROGRAM).exists():
            raise CannotRun(f"{PROGRAM} is not built")
        for number, ip in enumerate(self.control_ips):
            self.start_process(f"control-{number}", ip, "control", number)
        for number, ip in enumerate(self.gateway_ips):
            self.start_process(f"gateway-{number}", ip, "gateway", number)

    def start_replica(self, name, service, zone, options, address=None, advertised=None):
        """Starts a stand-in replica as a process; its reports are lines of JSON on its output."""
        if address is None:
            address = f"{self.subnet}.{self.next_replica_ip}:{self.front_port + 1}"
            self.next_replica_ip += 1
        settings = {
            "service": service,
            "zone": zone,
            "address": address,
            "advertised": advertised or address,
            "controls": [f"{ip}:{self.control_port}" for ip in self.control_ips],
            "heartbeat_ms": HEARTBEAT_MS,
            **options,
        }
        process = subprocess.Popen(
            [sys.executable, str(LIBRARY / "replica.py"), json.dumps(settings)],
            stdout=subprocess.PIPE,
            cwd=self.folder,
        )
        self.processes[name] = process
        return process, address

    def call(self, ip, port, method, path, body=None, timeout=1.0):
        """One call with a body of JSON, encoded or not; returns status and text, or None without an answer."""
        connection = http.client.HTTPConnection(ip, port, timeout=timeout)
        try:
            text = body if body is None or isinstance(body, str) else json.dumps(body)
            headers = {"Content-Type": "application/json"} if text else {}
            connection.request(method, path, body=text, headers=headers)
            answer = connection.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def operate(self, method, path, body=None, limit=15.0, timeout=1.0):
        """Repeats an operator's call at one control member after the other until it is answered."""
        until = time.monotonic() + limit
        turn = 0
        ips = self.control_ips
        while time.monotonic() < until:
            ip = ips[turn % len(ips)]
            answer = self.call(ip, self.control_port, method, path, body, timeout)
            if answer and answer[0] < 500 and answer[0] not in (408, 429):
                return answer
            turn += 1
            time.sleep(0.1)
        raise CannotRun(f"no answer to {path}")

    def wait_until_ready(self, limit=15.0):
        until = time.monotonic() + limit
        for ip in self.gateway_ips:
            while True:
                answer = self.call(ip, self.ready_port, "GET", "/topazmount/readiness")
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"the gateway at {ip} is not ready")
                time.sleep(0.1)

    def wait_for_replicas(self, count, limit=15.0):
        until = time.monotonic() + limit
        for ip in self.gateway_ips:
            while True:
                answer = self.call(ip, self.metrics_port, "GET", "/metrics")
                if answer and f'"replicas"}} {count}\n' in answer[1]:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"the gateway at {ip} does not know {count} replicas")
                time.sleep(0.1)

    def stop(self):
        """Ends all processes that were started here."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes, services):
    """A configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": "tenant-1", "api_keys": [KEY], "priority": 1, "isolated": False}
        ],
    }


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts, resumable=False):
    fields = {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "service": service,
        "retry_attempts": attempts,
        "public": False,
    }
    if kind == "streaming":
        fields |= {"session_affinity": True, "resumable": resumable, "gap_target_ms": 500}
    return fields


def engine_service(name, slots=64):
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 360,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": slots,
            "kv_capacity": 110556,
            "kv_token_bytes": 163840,
            "link_mbps": 1100000.0,
            "max_in_flight": 12,
            "models": [{"name": "m0"}],
        },
    }


def plain_service(name):
    return {
        "name": name,
        "health_path": "/health",
        "max_connections": 100,
        "protocol": "h1",
        "tls": False,
    }


def read_reports(process, on_report):
    """Passes on the reports of a replica, in a thread, until its output ends."""

    def read():
        for line in process.stdout:
            try:
                report = json.loads(line)
            except ValueError:
                continue  # The replica was killed while it wrote the line.
            on_report(report)

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    return thread

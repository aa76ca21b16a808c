"""The platform's part: settings, starts, kills and the memory limit of the project's processes.

Processes run with the commands of deploy/system.toml, each on a loopback address of its own. A process
that ends is started again; one over `memory_mb` is killed first (DEPLOY.md, "Memory and descriptors").
"""

import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

from template import fill

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
METRICS_PORT = 9464
RESTART_DELAY_S = 0.5  # "it starts again after a short delay" (DEPLOY.md, "Ends")
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "back_ms": 250,
    "max_skew_ms": 5000, "fail_closed": True, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 54, "recover_s": 12, "transit_ms": 120,
    "retry_after_s": 10, "fencing_required": True, "lease_ms": 3000, "thaw_ms": 300,
    "version_ms": 8000, "version_all_ms": 11000, "ttl_max_s": 5,
}
ZONES = {"gent-hal": "be-flanders", "brugge-hal": "be-flanders", "antwerpen-hal": "be-flanders"}


class CannotRun(Exception):
    """The case can't run on this machine."""


def is_free(ip, port):
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
            return True
        except OSError:
            return False


def free_ports(ips, count):
    """Returns ports that are free at all of the addresses."""
    start = random.randrange(21_000, 30_000)
    found = []
    for port in range(start, start + 2_000):
        if all(is_free(ip, port) for ip in ips):
            found.append(port)
            if len(found) == count:
                return found
    raise CannotRun("no free ports")


class Process:
    """One process of the project on one machine."""

    def __init__(self, platform, name, role, fields):
        self.platform, self.name, self.role, self.fields = platform, name, role, fields
        self.folder = os.path.join(platform.folder, name)
        os.makedirs(self.folder)
        self.child = None
        self.peak_mb = 0.0
        self.ends = []
        self.starts_at = None
        self.is_wanted = True

    def start(self):
        self.starts_at = None
        path = os.path.join(self.folder, "boot.yaml")
        with open(path, "w") as file:
            file.write(fill(self.role["text"], self.fields))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["TOPAZMOUNT_BOOT"] = path
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.child = subprocess.Popen(
                self.role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def resident_mb(self):
        """Resident memory of its own, without mapped files such as the program."""
        try:
            with open(f"/proc/{self.child.pid}/statm") as file:
                _, resident, shared = file.read().split()[:3]
                return (int(resident) - int(shared)) * os.sysconf("SC_PAGE_SIZE") / 2**20
        except (OSError, IndexError):
            return 0.0

    def watch(self):
        """Applies the memory limit, and starts the process again when it has ended."""
        if self.child is None or not self.is_wanted:
            return
        if self.child.poll() is not None:
            if self.starts_at is None:
                self.starts_at = time.time() + RESTART_DELAY_S
                self.ends.append(self.child.returncode)
                self.platform.note(f"{self.name}: ended with {self.child.returncode}")
            elif time.time() >= self.starts_at:
                self.start()
            return
        used = self.resident_mb()
        self.peak_mb = max(self.peak_mb, used)
        limit = self.fields["limits"]["memory_mb"]
        if used > limit:
            self.platform.note(f"{self.name}: {used:.0f} MB is over memory_mb {limit}: killed")
            self.child.send_signal(signal.SIGKILL)
            self.child.wait()

    def stop(self):
        self.is_wanted = False
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class Platform:
    """A small deployment: control members and gateways on loopback addresses."""

    def __init__(self, controls=3, gateways=2, note=print, bounds=None):
        self.note = note
        self.folder = tempfile.mkdtemp(prefix="topazmount-review-")
        self.is_running = True
        # While power is off nothing is watched or started again.
        self.has_power = True
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            deploy = tomllib.load(file)
        net = f"127.{random.randrange(30, 220)}.{random.randrange(1, 250)}"
        ips = [f"{net}.{number + 10}" for number in range(controls + gateways)]
        if not all(is_free(ip, METRICS_PORT) for ip in ips):
            raise CannotRun(f"port {METRICS_PORT} is taken on {net}.0")
        ports = free_ports(ips, 20)
        self.ports = dict(zip(("front", "ready", "control", "directory"), ports))
        self.peer_ports = [ports[4], ports[-1]]
        self.peer_ports = self.consecutive(ips)
        self.processes = []
        self.controls = ips[:controls]
        self.gateways = ips[controls:]
        for number, ip in enumerate(ips):
            name = "control" if ip in self.controls else "gateway"
            role = dict(deploy["roles"][name])
            with open(os.path.join(ROOT, role["template"])) as file:
                role["text"] = file.read()
            fields = self.fields(name, number, ip, bounds or {})
            self.processes.append(Process(self, f"{name}-{ip}", role, fields))

    def consecutive(self, ips):
        for _ in range(200):
            first = random.randrange(15_000, 20_000)
            if all(is_free(ip, first + step) for ip in ips for step in range(16)):
                return [first, first + 15]
        raise CannotRun("no free port range")

    def fields(self, role, number, ip, bounds):
        zones = list(ZONES)
        serves = ["edge"] if role == "gateway" else ["control_plane", "directory"]
        names = ["front", "ready"] if role == "gateway" else ["control", "directory"]
        is_core = role == "control"
        folder = os.path.join(self.folder, f"disk-{number}")
        if is_core:
            os.makedirs(folder)
        return {
            "node_name": f"{role}-{number}", "role": role, "serves": serves, "ip": ip,
            "machine_class": "core" if is_core else "edge",
            "zone": zones[number % 3], "region": ZONES[zones[number % 3]], "zones": ZONES,
            "listen": {name: f"{ip}:{self.ports[name]}" for name in names},
            "port_range": self.peer_ports,
            "seeds": [f"{seed}:{self.ports['control']}" for seed in self.controls[:3]],
            "bootstrap": True, "fault_domain_member": is_core,
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 256 if is_core else 260,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 128 if is_core else 0},
            "data_dir": folder if is_core else None,
            "discovery": "registration", "entry": "directory", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "kvcache",
                          "stream", "engine", "tenants"],
            "fault_tolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS | bounds, "config_mode": "highest",
        }

    def start(self):
        for process in self.processes:
            process.start()
            process.fields = process.fields | {"bootstrap": False}
        threading.Thread(target=self.watch, daemon=True).start()

    def watch(self):
        while self.is_running:
            for process in self.processes:
                if self.is_running and self.has_power:
                    process.watch()
            time.sleep(0.01)

    def named(self, ip):
        return next(process for process in self.processes if process.fields["ip"] == ip)

    def power_on(self):
        """Starts all processes again after all machines have lost power."""
        for process in self.processes:
            process.child.wait()
            process.start()
        self.has_power = True

    def stop(self):
        self.is_running = False
        time.sleep(0.05)
        for process in self.processes:
            process.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

"""Case 6: members that were killed before a sync acknowledge, after their start, what no disk holds."""

import asyncio
import json
import os
import random
import shutil
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

from disk import LONGEST_PAUSE_S, Log, watch_until  # noqa: E402
from members import control_address, find_leader, open_put, running  # noqa: E402
from scene import Scene, configuration, route, run, service  # noqa: E402
from wire_http import call  # noqa: E402

KILLED = 3  # of five members
CONTACT_S = 3.0  # the operator reads for at least contact_ms
RESTART_S = 0.25  # "back within a second"
REACH_S = 0.002  # for a change to reach the other members, once one has it
DOWN_S = 1.0
RECOVER_S = 12.0
AGAIN_S = 9.0  # until the member with the empty disk counts again
ROUNDS_END_S = 80.0


def document(version):
    routes = [route("match", "drawings", timeout_ms=2000 + version)]
    return configuration(version, routes, [service("drawings")])


def kill_in_sync(logs, connection, change):
    """Sends a change and kills each of the members as soon as it has written it, the rest after REACH_S.

    Returns the longest pause of the watching, or None if no member wrote.
    """
    connection.sendall(change)
    killed = {}

    def is_over(logs, now):
        for log in logs:
            if log.writes() and log not in killed:
                log.process.child.send_signal(signal.SIGKILL)
                killed[log] = now
        first = min(killed.values(), default=now)
        return len(killed) == len(logs) or (killed and now > first + REACH_S)

    pause = watch_until(logs, is_over, 0.5)
    for log in logs:
        log.process.child.send_signal(signal.SIGKILL)
        log.process.child.wait()
        log.look(time.perf_counter())
    return pause


def is_acknowledged(connection, timeout_s):
    connection.settimeout(timeout_s)
    try:
        return connection.recv(100).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def empty(folder):
    """The disk of a machine is lost."""
    shutil.rmtree(folder)
    os.makedirs(folder)


async def power_round(stage, version, record):
    """Returns the version that was acknowledged, or 0; after it all machines have lost power and are back."""
    platform = stage.platform
    leader = find_leader(stage, document(version))
    await asyncio.sleep(1.0)
    if leader is None:
        return 0
    others = [process for process in running(stage) if process is not leader]
    random.shuffle(others)
    logs = [Log(process) for process in others[:KILLED]]
    spared = [Log(process) for process in others[KILLED:]]
    connection, change = open_put(control_address(stage, leader), document(version + 1))
    platform.has_power = False
    time.sleep(0.05)
    pause = kill_in_sync(logs, connection, change)
    is_met = pause is not None and pause < LONGEST_PAUSE_S and all(log.writes() == 1 for log in logs)
    # The leader and the spared member hold the change: a reply of one of the killed would have committed it.
    is_early = is_acknowledged(connection, RESTART_S)
    for log in spared:
        log.look(time.perf_counter())
    is_met = is_met and len(spared) == 1 and spared[0].writes() == 1
    for log in logs:
        log.process.start()
    is_acked = is_early or is_acknowledged(connection, 4.0)
    for process in platform.processes:
        process.child.send_signal(signal.SIGKILL)
    connection.close()
    for process in platform.processes:
        process.child.wait()
    is_counted = is_met and is_acked and not is_early and all(log.is_unchanged() for log in logs)
    record.note(f"version {version + 1}: leader {leader.name}, killed "
                f"{[log.process.name for log in logs]}, spared member wrote {[log.writes() for log in spared]}, wrote {[log.writes() for log in logs]}, "
                f"acknowledged before their start {is_early}, after it {is_acked}; unchanged since "
                f"{[log.is_unchanged() for log in logs]}; counted {is_counted}")
    if is_counted:
        for log in logs:
            log.lose_last_write()
        empty(leader.fields["data_dir"])
    await asyncio.sleep(DOWN_S)
    platform.power_on()
    return version + 1 if is_acked else 0


async def calm_round(stage, version, record):
    await stage.put(document(version + 1))
    await asyncio.sleep(2.0)
    return version + 1


async def read_back(stage, limit_s):
    end = time.time() + limit_s
    while time.time() < end:
        answer = await call(random.choice(stage.controls), "GET", "/topazmount/Config.Get", timeout=1.0)
        if answer and answer[0] == 200:
            return json.loads(answer[2])["version"]
        await asyncio.sleep(0.1)
    return 0


async def scene(record, is_trouble):
    stage = Scene(record, controls=5, gateways=1)
    acknowledged = version = 1
    try:
        stage.platform.start()
        await stage.put(document(1))
        await stage.ready()
        await asyncio.sleep(6.0)  # until all five count
        while time.time() < record.began + ROUNDS_END_S:
            version += 2
            acked = await (power_round if is_trouble else calm_round)(stage, version, record)
            acknowledged = max(acknowledged, acked)
            found = await read_back(stage, RECOVER_S)
            await asyncio.sleep(CONTACT_S)
            found = max(found, await read_back(stage, 1.0))
            record.note(f"acknowledged {acknowledged}, read back {found}")
            if found < acknowledged:
                return False
            version = max(version, found)
            await asyncio.sleep(AGAIN_S)
        return True
    finally:
        stage.platform.stop()


sys.exit(run(FOLDER, scene))

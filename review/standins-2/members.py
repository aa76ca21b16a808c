"""Control members: who runs, who leads."""

import json
import random
import socket

from disk import Log, watch_until


def members(stage):
    return [process for process in stage.platform.processes if process.fields["role"] == "control"]


def control_address(stage, process):
    return f"{process.fields['ip']}:{stage.platform.ports['control']}"


def running(stage):
    return [process for process in members(stage) if process.child.poll() is None]


def open_put(address, configuration):
    """A connection for a change, and the bytes of the call."""
    ip, port = address.rsplit(":", 1)
    body = json.dumps(configuration).encode()
    head = (f"POST /topazmount/Config.Put HTTP/1.1\r\nHost: {address}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n")
    return socket.create_connection((ip, int(port)), 1.0), head.encode() + body


def find_leader(stage, configuration):
    """The member that writes a change first."""
    logs = [Log(process) for process in members(stage)]
    address = control_address(stage, random.choice(running(stage)))
    connection, call = open_put(address, configuration)
    with connection:
        connection.sendall(call)
        watch_until(logs, lambda logs, _: any(log.writes() for log in logs), 1.0)
        return next((log.process for log in logs if log.writes()), None)

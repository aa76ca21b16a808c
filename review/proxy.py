"""A TCP proxy before a replica, which can reset some of the connections that it carries."""

import asyncio
import random
import socket
import struct


class Proxy:
    def __init__(self, address, target):
        self.address = split(address)
        self.target = split(target)
        self.connections = {}
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.carry, *self.address, backlog=256)

    async def carry(self, reader, writer):
        caller = writer.get_extra_info("peername")[0]
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            abort(writer)
            return
        key = object()
        self.connections[key] = (caller, writer, up_writer)
        try:
            await asyncio.gather(pass_on(reader, up_writer), pass_on(up_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.connections.pop(key, None)
            abort(writer)
            abort(up_writer)

    def of_caller(self, ip):
        """Keys of the open connections of a caller."""
        return [key for key, (caller, *_) in self.connections.items() if caller == ip]

    def reset(self, key):
        _, writer, up_writer = self.connections.pop(key)
        abort(writer)
        abort(up_writer)


def reset_share(proxies, ip, share, chance=random):
    """Resets a share of a caller's connections at all proxies; returns how many."""
    found = [(proxy, key) for proxy in proxies for key in proxy.of_caller(ip)]
    chosen = chance.sample(found, round(len(found) * share))
    for proxy, key in chosen:
        proxy.reset(key)
    return len(chosen), len(found)


async def pass_on(reader, writer):
    """Passes on bytes; the end of one side is passed on as well."""
    while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()
    if writer.can_write_eof():
        writer.write_eof()


def abort(writer):
    """Closes so that the peer sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)

"""Memory for messages that have arrived in part: clients that stop half way must not use up the process's limit."""

import contextlib
import socket
import threading
from pathlib import Path

from platform_peers import Client, Discovery, Endpoint, Process, frame, settings, wait_until, write_configuration

CLIENTS = 80
MESSAGE_BYTES, SENT_BYTES = 2**20 - 10, 1_000_000
MAX_GROWTH_MB = 40  # 16 MiB of incomplete messages, and what the allocator keeps
MAX_KEPT = 17  # 16 MiB hold so many of these messages
WRITERS = 8


def resident_mb(process):
    fields = Path(f"/proc/{process.process.pid}/status").read_text(encoding="ascii").split()
    return int(fields[fields.index("VmHWM:") + 1]) / 1024


def is_closed(client):
    client.setblocking(False)
    try:
        while client.recv(65536):
            pass
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def test_clients_that_stop_half_way_through_large_messages_stay_within_the_memory_limit(tmp_path):
    endpoint = Endpoint("s0", "a")
    discovery = Discovery([endpoint.entry()])
    path = write_configuration(tmp_path, discovery.address, discovery.members, settings=settings(proxies=CLIENTS + 1))
    process = Process(path)
    try:
        address = process.wait_for_log("controller ready")["address"]
        host, _, port = address.rpartition(":")
        clients = [socket.create_connection((host, int(port)), 5.0) for _ in range(CLIENTS)]
        for number, client in enumerate(clients):
            client.sendall(frame({"t": "attach", "id": number, "site": "a", "rps": 1.0, "new": True}))
        wait_until(lambda: process.wait_for_log("tables assigned")["with_calendar"] == CLIENTS, "all proxies joined")
        before_mb = resident_mb(process)
        half = MESSAGE_BYTES.to_bytes(4, "big") + b'{"t":"client_stats","lane":"' + b"x" * SENT_BYTES

        def send_halves(chosen):
            for client in chosen:
                with contextlib.suppress(OSError):
                    client.sendall(half)

        writers = [threading.Thread(target=send_halves, args=(clients[first::WRITERS],)) for first in range(WRITERS)]
        for writer in writers:
            writer.start()
        for writer in writers:
            writer.join()
        # The largest ones are closed; those that fit the limit may go on.
        wait_until(lambda: sum(map(is_closed, clients)) >= CLIENTS - MAX_KEPT, "connections over the limit closed")
        other = Client(address)
        other.send({"t": "hb"})
        assert other.received.get(timeout=5.0) == {"t": "hb_ok"}
        assert resident_mb(process) - before_mb < MAX_GROWTH_MB
        other.close()
        for client in clients:
            client.close()
    finally:
        process.stop()
        discovery.close()
        endpoint.close()

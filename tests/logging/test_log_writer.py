"""The thread that writes log lines."""

import os
import threading

from platform_peers import wait_until

from quillstep.log_writer import MAX_QUEUED_LINES, LogWriter


def test_lines_are_dropped_and_counted_while_too_many_wait_and_the_others_keep_their_order():
    reader, writer_end = os.pipe()
    writer = LogWriter(writer_end)
    total = MAX_QUEUED_LINES + 3000
    for number in range(total):
        writer.write(f"{number} {'x' * 40}\n")
    received = []

    def read():
        while data := os.read(reader, 65536):
            received.append(data)

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    wait_until(lambda: b"log lines dropped" in b"".join(received), "the count of dropped lines")
    writer.flush(20.0)
    os.close(writer_end)
    thread.join(20.0)
    os.close(reader)
    lines = b"".join(received).decode().splitlines()
    dropped = sum(int(line.rpartition(" ")[2].rstrip("}")) for line in lines if "dropped" in line)
    numbers = [int(line.split()[0]) for line in lines if "dropped" not in line]
    assert dropped > 0 and len(numbers) + dropped == total and numbers == sorted(numbers)


def test_a_closed_log_loses_its_lines_alone():
    reader, writer_end = os.pipe()
    os.close(reader)
    writer = LogWriter(writer_end)
    writer.write("lost\n")
    writer.flush(20.0)
    writer.write("lost as well\n")
    writer.flush(20.0)
    os.close(writer_end)

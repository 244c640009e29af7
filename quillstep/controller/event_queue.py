"""What comes to the deciding thread, in two lanes: news, and sums of load reports.  News always goes first.

Both are bounded; whoever brings more waits in its own thread, or where it must not wait, has what adds up added up.
"""

import threading
import time
from collections import deque
from collections.abc import Callable, Hashable

Entry = tuple[float, tuple]  # when it came, what it is


class EventQueue:
    """`max_queued_events` and `sums_most` entries at most; a put blocks while its lane is full."""

    def __init__(self, max_queued_events: int, sums_most: int) -> None:
        self.lock = threading.Lock()
        self.some = threading.Condition(self.lock)
        self.room = threading.Condition(self.lock)
        self.news: deque[Entry] = deque()
        self.sums: deque[Entry] = deque()
        self.added: dict[Hashable, Entry] = {}  # what came while the lane of news was full, added up by its key
        self.most = {id(self.news): max_queued_events, id(self.sums): sums_most}

    def put(self, entry: Entry) -> None:
        self.enter(self.news, entry)

    def put_sums(self, entry: Entry) -> None:
        self.enter(self.sums, entry)

    def bring(self, entry: Entry, key: Hashable = None, add: Callable[[Entry, Entry], Entry] | None = None) -> None:
        """Never waits: without `add` the entry is kept in any case, with it what comes to a full lane adds up."""
        with self.lock:
            if add is None or len(self.news) < self.most[id(self.news)]:
                self.news.append(entry)
            else:
                self.added[key] = add(self.added[key], entry) if key in self.added else entry
            self.some.notify()

    def enter(self, lane: deque[Entry], entry: Entry) -> None:
        with self.lock:
            while len(lane) >= self.most[id(lane)]:
                self.room.wait()
            lane.append(entry)
            self.some.notify()

    def wait(self, seconds: float) -> None:
        """Until there is anything in either lane, or the time is over."""
        until = time.monotonic() + seconds
        with self.lock:
            while not self.news and not self.sums and not self.added:
                left = until - time.monotonic()
                if left <= 0 or not self.some.wait(left):
                    return

    def take(self, max_queued_events: int) -> list[Entry]:
        """News up to so many, and after them one entry of sums."""
        with self.lock:
            found = [self.news.popleft() for _ in range(min(max_queued_events, len(self.news)))]
            if self.added and not self.news:
                found += self.added.values()
                self.added = {}
            if self.sums and not self.news:
                found.append(self.sums.popleft())
            if found:
                self.room.notify_all()
            return found

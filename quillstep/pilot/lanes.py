"""What comes to the deciding thread, in two lanes: news, and sums of load reports.  News always goes first.

Both are bounded; whoever brings more waits in its own thread.
"""

import threading
import time
from collections import deque

Entry = tuple[float, tuple]  # when it came, what it is


class Lanes:
    """`news_most` and `sums_most` entries at most; a put blocks while its lane is full."""

    def __init__(self, news_most: int, sums_most: int) -> None:
        self.lock = threading.Lock()
        self.some = threading.Condition(self.lock)
        self.room = threading.Condition(self.lock)
        self.news: deque[Entry] = deque()
        self.sums: deque[Entry] = deque()
        self.most = {id(self.news): news_most, id(self.sums): sums_most}

    def put(self, entry: Entry) -> None:
        self.enter(self.news, entry)

    def put_sums(self, entry: Entry) -> None:
        self.enter(self.sums, entry)

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
            while not self.news and not self.sums:
                left = until - time.monotonic()
                if left <= 0 or not self.some.wait(left):
                    return

    def take(self, news_most: int) -> list[Entry]:
        """News up to so many, and after them one entry of sums."""
        with self.lock:
            found = [self.news.popleft() for _ in range(min(news_most, len(self.news)))]
            if self.sums and not self.news:
                found.append(self.sums.popleft())
            if found:
                self.room.notify_all()
            return found

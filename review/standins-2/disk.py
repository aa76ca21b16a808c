"""The disks of the control members: which writes a loss of power finds without a sync, and what is left of them.

DEPLOY.md, "Disk": "After a loss of power a file has what its last `fsync` or `fdatasync` covered; of later
writes each is there, missing or torn." A member writes and syncs with one thread, so that only the last write
of its log can be without a sync. A member is killed as soon as its write is seen in the file.
"""

import os
import random
import time

SECTOR = 512  # bytes that a disk writes as a whole
PAGE = 4096  # bytes by which the kernel extends a file within one write
LONGEST_PAUSE_S = 0.0003  # of the watching; a longer one could hide a write


class Log:
    """The newest log file of a member, and the writes seen on it."""

    def __init__(self, process):
        folder = process.fields["data_dir"]
        names = sorted(name for name in os.listdir(folder) if name.startswith("log-"))
        self.process = process
        self.path = os.path.join(folder, names[-1])
        self.sizes = [os.stat(self.path).st_size]
        self.seen_at = [0.0]

    def look(self, now):
        size = os.stat(self.path).st_size
        if size == self.sizes[-1]:
            return
        is_same_write = self.writes() > 0 and self.sizes[-1] % PAGE == 0
        if is_same_write:
            self.sizes[-1] = size
        else:
            self.sizes.append(size)
            self.seen_at.append(now)

    def writes(self):
        return len(self.sizes) - 1

    def last_write(self):
        """Length of the last write in bytes; 0 without one."""
        return self.sizes[-1] - self.sizes[-2] if self.writes() else 0

    def is_unchanged(self):
        """Whether nothing was written since the last look."""
        return os.stat(self.path).st_size == self.sizes[-1]

    def lose_last_write(self):
        """The last write is missing."""
        with open(self.path, "r+b") as file:
            file.truncate(self.sizes[-2])
            os.fsync(file.fileno())

    def tear_last_write(self):
        """Keeps or loses each sector of the last write by lot; returns what was kept, as text.

        With TEAR=prefix in the environment it keeps the first sectors only, for comparison.
        """
        begin, end = self.sizes[-2], self.sizes[-1]
        is_prefix = os.environ.get("TEAR") == "prefix"
        cut = random.randrange(begin, end)
        kept = []
        with open(self.path, "r+b") as file:
            position = begin
            while position < end:
                until = min((position // SECTOR + 1) * SECTOR, end)
                is_kept = until <= cut if is_prefix else random.random() < 0.5
                kept.append("+" if is_kept else "-")
                if not is_kept:
                    file.seek(position)
                    file.write(bytes(until - position))
                position = until
            os.fsync(file.fileno())
        return f"{begin}..{end} {''.join(kept)}"


def watch_until(logs, is_over, limit_s):
    """Looks at the logs until `is_over(logs, now)`; returns the longest pause, or None at the limit."""
    began = last = time.perf_counter()
    longest = 0.0
    while (now := time.perf_counter()) < began + limit_s:
        longest = max(longest, now - last)
        last = now
        for log in logs:
            log.look(now)
        if is_over(logs, now):
            return longest
    return None

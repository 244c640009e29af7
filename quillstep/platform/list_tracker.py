"""Decides which endpoint lists are new, and from which revision a watch resumes.  Performs no I/O."""

from quillstep.platform.endpoint_list import DiscoveryUpdate


class ListTracker:
    """Tracks the revisions received from discovery.

    A rejected entry is missing until a list with a valid version of it arrives.  While entries are missing, a watch
    resumes from before the revision that held the first of them, so that later valid revisions do not hide it.
    """

    def __init__(self, revision: int, *, has_missing_entries: bool) -> None:
        """Start from a known list, of which entries may have been rejected."""
        self.newest_revision = revision
        # Of the latest complete list, which contains all changes up to it; -1 if entries of it were rejected.
        self.complete_revision = -1
        self.resume_revision = 0 if has_missing_entries else revision
        self.has_missing_entries = has_missing_entries
        self.rejected = 0  # number of rejected entries and outdated changes

    def accept_from_watch(self, update: DiscoveryUpdate, is_first: bool) -> bool:
        """Record a list received from a watch; return whether to publish it.

        Changes older than the newest revision are rejected.  The first list of a watch contains all changes since
        `resume_revision`, so that no entry is missing after it.
        """
        if not update.is_complete and update.revision < self.newest_revision:
            self.rejected += 1
            return False
        if not update.is_complete and update.revision == self.complete_revision:
            return False  # a refresh already returned this revision
        self._record(update, update.is_complete or is_first)
        return True

    def accept_from_refresh(self, update: DiscoveryUpdate) -> bool:
        """Record a complete list received from a refresh; return whether to publish it.

        It is published if it is newer than the watch's lists, or of the same revision while entries are missing.
        """
        if update.revision < self.newest_revision + (not self.has_missing_entries):
            return False
        self._record(update, update.is_complete)
        return True

    def _record(self, update: DiscoveryUpdate, includes_all_changes: bool) -> None:
        self.newest_revision = update.revision
        if update.is_complete:
            self.complete_revision = -1 if update.rejected else update.revision
        if update.rejected:
            self.has_missing_entries = True
            self.resume_revision = min(self.resume_revision, max(0, update.revision - 1))
            self.rejected += len(update.rejected)
        elif includes_all_changes or not self.has_missing_entries:
            self.has_missing_entries, self.resume_revision = False, update.revision

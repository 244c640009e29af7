"""Which endpoint lists are new, and from which revision a watch has to resume.  Without I/O."""

from quillstep.platform.endpoint_list import DiscoveryUpdate


class ListTracker:
    """What has been received of discovery, by revision.

    Entries that were rejected are missing until a list that holds them has come: as long as any is missing, a watch
    resumes from before the list that it was in, so that a later valid one does not hide it.
    """

    def __init__(self, revision: int, *, has_missing_entries: bool) -> None:
        """Begin with a list that is known already, some of whose entries may have been rejected."""
        self.newest_revision = revision
        self.complete_revision = -1  # of the last complete list without a rejected entry: it holds all up to there
        self.resume_revision = 0 if has_missing_entries else revision
        self.has_missing_entries = has_missing_entries
        self.rejected = 0  # entries, and changes that came after newer ones

    def accept_from_watch(self, update: DiscoveryUpdate, is_first: bool) -> bool:
        """Take a line of a watch; return whether it is to be published.

        Changes with an older revision than the newest are rejected.  The first line of a watch holds everything that
        changed after `resume_revision`, so that nothing is missing after it.
        """
        if not update.is_complete and update.revision < self.newest_revision:
            self.rejected += 1
            return False
        if not update.is_complete and update.revision == self.complete_revision:
            return False  # a refresh was quicker than the watch
        self._record(update, update.is_complete or is_first)
        return True

    def accept_from_refresh(self, update: DiscoveryUpdate) -> bool:
        """Take a complete list that was requested; return whether it is to be published.

        It is where it is newer than what the watch has brought, or as new while entries are missing.
        """
        if update.revision < self.newest_revision + (not self.has_missing_entries):
            return False
        self._record(update, update.is_complete)
        return True

    def _record(self, update: DiscoveryUpdate, holds_everything: bool) -> None:
        self.newest_revision = update.revision
        if update.is_complete:
            self.complete_revision = -1 if update.rejected else update.revision
        if update.rejected:
            self.has_missing_entries = True
            self.resume_revision = min(self.resume_revision, max(0, update.revision - 1))
            self.rejected += len(update.rejected)
        elif holds_everything or not self.has_missing_entries:
            self.has_missing_entries, self.resume_revision = False, update.revision

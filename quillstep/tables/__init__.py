"""Tables and their versions, without I/O: what each proxy should hold, holds and has refused."""

from quillstep.tables.content import Content, Key
from quillstep.tables.ledger import Change, Ledger, Refusal
from quillstep.tables.world import Push, Tables

__all__ = ["Change", "Content", "Key", "Ledger", "Push", "Refusal", "Tables"]

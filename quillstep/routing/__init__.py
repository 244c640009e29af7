"""Tables and their versions, without I/O: what each proxy should hold, holds and has refused."""

from quillstep.routing.proxy_state import Change, Ledger, Refusal
from quillstep.routing.resources import Content, Key
from quillstep.routing.tables import Push, Tables

__all__ = ["Change", "Content", "Key", "Ledger", "Push", "Refusal", "Tables"]

"""The desired, in-flight and acknowledged state of all proxies, and the versions of tables.  Performs no I/O."""

from quillstep.routing.changes import Change, Nack
from quillstep.routing.proxy_state import ProxyState
from quillstep.routing.resources import Key, Resource
from quillstep.routing.tables import ProxyUpdate, Tables

__all__ = ["Change", "Key", "Nack", "ProxyState", "ProxyUpdate", "Resource", "Tables"]

"""Tables and their versions, without I/O: what each proxy should hold, holds and has refused."""

from quillstep.routing.proxy_state import Change, Nack, ProxyState
from quillstep.routing.resources import Key, Resource
from quillstep.routing.tables import ProxyUpdate, Tables

__all__ = ["Change", "Resource", "Key", "ProxyState", "ProxyUpdate", "Nack", "Tables"]

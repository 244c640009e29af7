"""The platform's protocol: length-prefixed JSON messages from proxies and collectors, and updates to proxies.

All names on the wire are defined in `names` and used by this package only.
"""

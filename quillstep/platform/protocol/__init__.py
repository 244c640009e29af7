"""The platform's protocol: JSON objects behind their length, from proxies and collectors, and updates to proxies.

`names` holds every name of the wire; no other package knows them.
"""

"""Stand-ins for the outside: endpoints, proxies, a roster.  Processes of their own, never imported by the program."""

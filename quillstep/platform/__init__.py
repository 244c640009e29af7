"""One pilot in service on the platform: its start, configuration, discovery and signals."""

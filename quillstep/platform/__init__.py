"""One controller in service on the platform: start, configuration, discovery, signals, and the deciding thread."""

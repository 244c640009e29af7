"""The controller process on the platform: configuration, discovery, signals and the deciding thread."""

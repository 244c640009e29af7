"""The platform's protocol: JSON objects in frames; streams of proxies, collectors, strangers, orders."""

"""Stand-ins for endpoints, proxies and endpoint discovery: separate processes that a controller never imports."""

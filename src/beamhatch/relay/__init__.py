"""The relay: forwards HTTP requests to upstreams by routes, in two stages where prefill and decode run apart.

The modules that decide use neither clock nor sockets; ``http_client``, ``http_server`` and ``daemon`` own sockets and
timers. ``api`` defines the abstract classes that a platform adapter implements.
"""
